package rumor_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/rumor"
)

// knowers is a fleet in which some instances learn facts.
type knowers struct{ *fleet.Fleet }

func newKnowers(count int, lost float64, seed uint64) knowers {
	return knowers{fleet.New(fleet.Setup{Count: count, Lost: lost, Seed: seed, Begin: func(ins *fleet.Instance) {
		ins.Spread().Bound(rumor.EndedUnder, rumor.Bounds{Keep: clock.Hour, Most: 1000})
	}})}
}

// learn has an instance learn a fact by itself.
func (knw knowers) learn(i int, key string) {
	spread := knw.Instances()[i].Spread()
	if fct, ok := spread.Set(rumor.EndedUnder, key, "x", knw.Now()); ok {
		spread.Learned(fct)
	}
}

// knowing counts the instances that know so many facts.
func (knw knowers) knowing(count int) int {
	all := 0
	for _, ins := range knw.Instances() {
		if ins.Spread().Len() == count {
			all++
		}
	}
	return all
}

// Guards against facts that some instances hear of too late, in systems of each size: over links
// that lose messages, by instances that were cut off, and by such as start later.
func TestAllKnowInTime(t *testing.T) {
	for _, size := range []struct {
		instances int
		within    clock.Milli
	}{{8, 3 * clock.Second}, {66, 3 * clock.Second}, {195, 5 * clock.Second}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			gom := gomega.NewWithT(t)
			knw := newKnowers(size.instances, 0.05, uint64(size.instances))
			knw.Run(2*clock.Second, nil)
			for i := range 3 {
				knw.learn(i, fmt.Sprint(i))
				knw.Run(500, nil)
			}
			gom.Expect(knw.knowing(3)).To(gomega.BeNumerically(">=", size.instances*99/100), "at once")
			knw.Run(size.within-500, nil)
			gom.Expect(knw.knowing(3)).To(gomega.Equal(size.instances))

			for i, ins := range knw.Instances() {
				knw.Cut(ins, i%5 == 4)
			}
			knw.learn(0, "while some are cut off")
			knw.Run(2*clock.Second, nil)
			for _, ins := range knw.Instances() {
				knw.Cut(ins, false)
			}
			knw.Run(size.within, nil)
			gom.Expect(knw.knowing(4)).To(gomega.Equal(size.instances), "after the cut")

			knw.Restart(func(i int) bool { return i%10 == 9 })
			knw.Run(size.within, nil)
			gom.Expect(knw.knowing(4)).To(gomega.Equal(size.instances), "after restarts")
		})
	}
}

// Guards against facts that are told without end: each instance tells each neighbour once.
func TestFactsAreToldOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, count := range []int{8, 66} {
		knw := newKnowers(count, 0, 1)
		knw.Run(clock.Second, nil)
		before := map[*fleet.Instance]int{}
		for _, ins := range knw.Instances() {
			before[ins] = ins.Sent()
		}
		knw.learn(0, "one")
		knw.Run(20*fleet.Step-1, nil)
		most := 0
		for _, ins := range knw.Instances() {
			most = max(most, ins.Sent()-before[ins])
		}
		gom.Expect(knw.knowing(1)).To(gomega.Equal(count))
		gom.Expect(most).To(gomega.BeNumerically("<=", member.MeshSize))
	}
}
