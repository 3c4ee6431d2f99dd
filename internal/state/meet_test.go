package state

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

// TestManyAreBelieved: all instances of a large system lost power and start at once.
// The store lists each of them twice, before and now. The present ones are members at
// once, without a handshake each; the lines of ended processes at the same addresses
// are passed over, or callers would be named addresses twice and pieces gathered by
// the dead.
func TestManyAreBelieved(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := newEndpts().ctl
	var list []talk.Instance
	for _, boot := range []string{"old", "new"} {
		for i := range 86 {
			addr := fmt.Sprintf("10.0.0.%d:1", i)
			list = append(list, talk.Instance{Name: addr + "#" + boot, Addr: addr, Zone: "z", Caller: addr, Capacity: 0.4})
		}
	}
	ctl.greet(list, false, 1000)
	all := ctl.list.All()
	gom.Expect(all).To(gomega.HaveLen(87))
	for _, mbr := range all {
		if mbr.Who() != ctl.set.Self {
			gom.Expect(mbr.Who().Boot()).To(gomega.Equal("new"))
			gom.Expect(mbr.Status()).To(gomega.Equal(member.Alive))
		}
	}
	gom.Expect(ctl.unknown(list)).To(gomega.BeEmpty())
}

// TestReplacedAreEnded: all instances start again. This one reads the store while half of
// the others have not written their lines, and takes those before them for alive. A
// moment later the old lines are withdrawn by who is at the address now: they are ended
// at once, for whatever follows from who is alive would differ between the instances
// meanwhile. Two lines with one address prove nothing, nor does one that is gone alone.
func TestReplacedAreEnded(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := newEndpts().ctl
	line := func(name string) talk.Instance {
		return talk.Instance{Name: name, Addr: ident.Incarnation(name).Addr(), Zone: "z"}
	}
	live := func(name string) bool { return ctl.list.IsLive(ident.Incarnation(name)) }
	learn := func(names ...string) {
		for _, name := range names {
			ctl.list.Learn([]member.News{{Who: ident.Incarnation(name), Seq: 1}}, 1000)
		}
	}
	learn("a:1#old", "a:1#new", "b:1#old", "c:1#old")
	ctl.greet([]talk.Instance{line("a:1#old"), line("b:1#old"), line("c:1#old")}, true, 1000)
	ctl.greet([]talk.Instance{line("a:1#old"), line("a:1#new"), line("b:1#old")}, true, 1300)
	gom.Expect(live("a:1#old")).To(gomega.BeTrue(), "its line may have been written late")
	gom.Expect(live("c:1#old")).To(gomega.BeTrue(), "nobody is at its address")
	ctl.greet([]talk.Instance{line("a:1#new"), line("b:1#new")}, true, 1800)
	gom.Expect(live("a:1#old")).To(gomega.BeFalse())
	gom.Expect(live("b:1#old")).To(gomega.BeFalse())
	gom.Expect(live("a:1#new")).To(gomega.BeTrue())
}
