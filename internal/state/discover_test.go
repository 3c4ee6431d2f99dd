package state

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

// Guards against handshakes between all pairs, and against ended processes that become members,
// when all instances of a large system start again at once. The store lists each of them twice,
// before and now; an ended process at a member's address would give callers addresses twice and
// coordinate pools.
func TestManyNewInstancesNeedNoHandshake(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := newEndpts().ctl
	var list []proto.Instance
	for _, boot := range []string{"old", "new"} {
		for i := range 86 {
			addr := fmt.Sprintf("10.0.0.%d:1", i)
			list = append(list, proto.Instance{Name: addr + "#" + boot, Addr: addr, Zone: "z", Caller: addr, Capacity: 0.4})
		}
	}
	ctl.learnInstances(list, false, 1000)
	all := ctl.list.All()
	gom.Expect(all).To(gomega.HaveLen(87))
	for _, mbr := range all {
		if mbr.ID() != ctl.set.Self {
			gom.Expect(mbr.ID().Boot()).To(gomega.Equal("new"))
			gom.Expect(mbr.Status()).To(gomega.Equal(member.Alive))
		}
	}
	gom.Expect(ctl.unknown(list)).To(gomega.BeEmpty())
}

// Guards against ended instances that stay members after all have restarted: whatever follows from
// the members would differ between instances. They end once their entries are replaced by others
// with the same address. Two entries with one address prove nothing, nor does one that is missing.
func TestReplacedAreEnded(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := newEndpts().ctl
	entry := func(name string) proto.Instance {
		return proto.Instance{Name: name, Addr: ident.Incarnation(name).Addr(), Zone: "z"}
	}
	live := func(name string) bool { return ctl.list.IsLive(ident.Incarnation(name)) }
	learn := func(names ...string) {
		for _, name := range names {
			ctl.list.Merge([]member.Update{{ID: ident.Incarnation(name), Seq: 1}}, 1000)
		}
	}
	learn("a:1#old", "a:1#new", "b:1#old", "c:1#old")
	ctl.learnInstances([]proto.Instance{entry("a:1#old"), entry("b:1#old"), entry("c:1#old")}, true, 1000)
	ctl.learnInstances([]proto.Instance{entry("a:1#old"), entry("a:1#new"), entry("b:1#old")}, true, 1300)
	gom.Expect(live("a:1#old")).To(gomega.BeTrue(), "its entry may have been written late")
	gom.Expect(live("c:1#old")).To(gomega.BeTrue(), "no other entry has its address")
	ctl.learnInstances([]proto.Instance{entry("a:1#new"), entry("b:1#new")}, true, 1800)
	gom.Expect(live("a:1#old")).To(gomega.BeFalse())
	gom.Expect(live("b:1#old")).To(gomega.BeFalse())
	gom.Expect(live("a:1#new")).To(gomega.BeTrue())
}
