package coord

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// Guards against slots that stay taken since the message that releases them was lost, and against
// repeating such messages for ever.
func TestLostReleasesAreRepeatedOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	crd := New(Setup{After: func(clock.Milli, func()) {}})
	const inc = ident.Incarnation("a:1#1")
	list := []report{{Ticket: "slot", Slot: "i-1", Ended: true}, {Ticket: "prompt", Ended: true}}
	for _, want := range [][]string{{"slot"}, nil} {
		crd.reports.repeatReleases(crd, inc, list)
		list = crd.reports.byCoordinator[inc]
		delete(crd.reports.byCoordinator, inc)
		var tickets []string
		for _, rpt := range list {
			tickets = append(tickets, rpt.Ticket)
		}
		gom.Expect(tickets).To(gomega.Equal(want))
	}
}
