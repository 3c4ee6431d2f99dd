package state

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/talk"
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
