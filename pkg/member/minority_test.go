package member

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// Guards against a partitioned instance that takes itself for the majority once it has declared the
// others dead, and against one without others that takes itself for partitioned.
func TestMinority(t *testing.T) {
	gom := gomega.NewWithT(t)
	now := clock.Hour
	alone := New("10.0.0.1:1#a", "z", "", now)
	gom.Expect(alone.IsMinority(now + clock.Minute)).To(gomega.BeFalse())
	lst := New("10.0.0.1:1#a", "z", "", now)
	others := []ident.Incarnation{"10.0.0.2:1#b", "10.0.0.3:1#c"}
	for _, who := range others {
		lst.Merge([]Update{{ID: who, Zone: "z", Seq: 1}}, now)
	}
	gom.Expect(lst.IsMinority(now)).To(gomega.BeFalse())
	for range 20 {
		now += Period
		lst.Tick(now)
	}
	gom.Expect(lst.IsMinority(now)).To(gomega.BeTrue(), "no other answers")
	for _, who := range others {
		lst.MarkEnded(who, now)
	}
	gom.Expect(lst.IsMinority(now)).To(gomega.BeFalse(), "the others are proved to have ended")
}
