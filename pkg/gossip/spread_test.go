package gossip_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/member"
)

// replicas is a fleet whose instances replicate facts.
type replicas struct{ *fleet.Fleet }

func newReplicas(count int, lost float64, seed uint64) replicas {
	return replicas{fleet.New(fleet.Setup{Count: count, LossRate: lost, Seed: seed, OnStart: func(ins *fleet.Instance) {
		ins.Spread().Bound(gossip.CrashedUnder, gossip.Bounds{Retention: clock.Hour, MaxFacts: 1000})
	}})}
}

// originate originates a fact at an instance.
func (rep replicas) originate(i int, key string) {
	spread := rep.Instances()[i].Spread()
	if fct, ok := spread.Set(gossip.CrashedUnder, key, "x", rep.Now()); ok {
		spread.Enqueue(fct)
	}
}

// countWith counts the instances with the given number of facts.
func (rep replicas) countWith(count int) int {
	all := 0
	for _, ins := range rep.Instances() {
		if ins.Spread().Len() == count {
			all++
		}
	}
	return all
}

// TestFactsReachAllInTime guards against facts that reach some instances too late, at each
// system size: over links that lose messages, after a partition, and after restarts.
func TestFactsReachAllInTime(t *testing.T) {
	for _, size := range []struct {
		instances int
		within    clock.Milli
	}{{8, 3 * clock.Second}, {66, 3 * clock.Second}, {195, 5 * clock.Second}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			gom := gomega.NewWithT(t)
			rep := newReplicas(size.instances, 0.05, uint64(size.instances))
			rep.Run(2*clock.Second, nil)
			for i := range 3 {
				rep.originate(i, fmt.Sprint(i))
				rep.Run(500, nil)
			}
			gom.Expect(rep.countWith(3)).To(gomega.BeNumerically(">=", size.instances*99/100), "at once")
			rep.Run(size.within-500, nil)
			gom.Expect(rep.countWith(3)).To(gomega.Equal(size.instances))

			for i, ins := range rep.Instances() {
				rep.SetPartitioned(ins, i%5 == 4)
			}
			rep.originate(0, "while some are partitioned")
			rep.Run(2*clock.Second, nil)
			for _, ins := range rep.Instances() {
				rep.SetPartitioned(ins, false)
			}
			rep.Run(size.within, nil)
			gom.Expect(rep.countWith(4)).To(gomega.Equal(size.instances), "after the cut")

			rep.Restart(func(i int) bool { return i%10 == 9 })
			rep.Run(size.within, nil)
			gom.Expect(rep.countWith(4)).To(gomega.Equal(size.instances), "after restarts")
		})
	}
}

// TestFactsAreForwardedOnce guards against endless forwarding: each instance sends a fact to
// each neighbour at most once.
func TestFactsAreForwardedOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, count := range []int{8, 66} {
		rep := newReplicas(count, 0, 1)
		rep.Run(clock.Second, nil)
		before := map[*fleet.Instance]int{}
		for _, ins := range rep.Instances() {
			before[ins] = ins.Sent()
		}
		rep.originate(0, "one")
		rep.Run(20*fleet.Step-1, nil)
		most := 0
		for _, ins := range rep.Instances() {
			most = max(most, ins.Sent()-before[ins])
		}
		gom.Expect(rep.countWith(1)).To(gomega.Equal(count))
		gom.Expect(most).To(gomega.BeNumerically("<=", member.MeshSize))
	}
}
