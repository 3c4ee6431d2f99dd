package admit_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// withEndpoints changes the numbers of endpoints of the pools.
func (scn scene) withEndpoints(counts ...int) scene {
	pools := make([]poolLoad, len(counts))
	for i, n := range counts {
		pools[i] = poolLoad{n, scn.pools[i].spec}
	}
	scn.pools = pools
	return scn
}

// baseline simulates admission by the wait of all queued items, with the usual step between priorities.
func baseline(scn scene) report {
	scn.ranked = false
	return simulate(scn, &unranked{}, 1)
}

// TestUnrankedRefusesTheMostUrgent is the baseline: the last pool is the narrowest, and only the most urgent and
// the least urgent route pass through it. By the wait of all queued items, requests of both are refused alike,
// and none of the second route.
func TestUnrankedRefusesTheMostUrgent(t *testing.T) {
	gom := gomega.NewWithT(t)
	rep := baseline(threeRoutes(66).withEndpoints(18, 15, 9))
	t.Log(rep)
	gom.Expect(rep.routes[0].returned).To(gomega.BeNumerically(">", rep.routes[0].all/20))
	gom.Expect(rep.routes[1].refused).To(gomega.BeZero())
}

// ratio returns x as a share of y.
func ratio(x, y int) float64 { return float64(x) / float64(max(y, 1)) }

// TestUrgentIsServedFirst runs bursts of the second and of the third route while the last pool is short of
// endpoints, or a third of all pools is lost. Without ranks the most urgent route was refused in each. Now it is
// not, and the whole serves no fewer requests on time. Estimates are up to several seconds old in the large
// deployments, where an instance sees a request of a route every few seconds.
func TestUrgentIsServedFirst(t *testing.T) {
	for _, instances := range []int{8, 66, 195} {
		for _, endpoints := range [][]int{{18, 15, 15}, {18, 15, 9}, {12, 10, 10}} {
			for _, burst := range []int{1, 2} {
				t.Run(fmt.Sprint(instances, endpoints, burst+1), func(t *testing.T) {
					t.Parallel()
					gom := gomega.NewWithT(t)
					scn := threeRoutes(instances).withEndpoints(endpoints...)
					scn.burst = burst
					before, after := baseline(scn), simulate(scn, &ranked{}, 1)
					t.Logf("before: %v", before)
					t.Logf("after: %v", after)
					gom.Expect(after.routes[0].onTime).To(gomega.Equal(after.routes[0].all))
					gom.Expect(ratio(after.total().onTime, after.total().all)).To(gomega.BeNumerically(">=", ratio(before.total().onTime, before.total().all)-0.01))
					for _, tly := range after.routes {
						gom.Expect(tly.served()).To(gomega.BeNumerically(">=", after.total().served()/2))
					}
				})
			}
		}
	}
}

// TestNoRouteStarves overloads the last pool twice over, with a burst of each route in turn. Without the guard
// the least urgent route was served a tenth as often as all, or less.
func TestNoRouteStarves(t *testing.T) {
	for _, instances := range []int{8, 66, 195} {
		for burst := range 3 {
			t.Run(fmt.Sprint(instances, burst+1), func(t *testing.T) {
				t.Parallel()
				gom := gomega.NewWithT(t)
				scn := threeRoutes(instances).withEndpoints(12, 10, 6)
				scn.burst = burst
				before, after := baseline(scn), simulate(scn, &ranked{}, 1)
				t.Logf("before: %v", before)
				if instances == 66 {
					t.Logf("unguarded: %v", simulate(scn, &ranked{unguarded: true}, 1))
				}
				t.Logf("after: %v", after)
				for _, tly := range after.routes {
					gom.Expect(tly.served()).To(gomega.BeNumerically(">=", after.total().served()/2))
				}
				for _, tly := range after.workspaces {
					gom.Expect(tly.served()).To(gomega.BeNumerically(">=", after.total().served()/2))
				}
				gom.Expect(ratio(after.total().onTime, after.total().all)).To(gomega.BeNumerically(">=", ratio(before.total().onTime, before.total().all)-0.01))
			})
		}
	}
}

// TestEqualPrioritiesAreServedAsBefore: with equal priorities and without a starved group, every decision is that
// of the wait of all queued items.
func TestEqualPrioritiesAreServedAsBefore(t *testing.T) {
	gom := gomega.NewWithT(t)
	scn := threeRoutes(8).withEndpoints(12, 10, 10)
	scn.lost, scn.ranked = 0, false
	for i := range scn.routes {
		scn.routes[i].rank = 0
	}
	gom.Expect(simulate(scn, &ranked{unguarded: true}, 1)).To(gomega.Equal(baseline(scn)))
}
