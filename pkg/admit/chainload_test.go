package admit_test

import (
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

// TestUnrankedRefusesTheMostUrgent is the baseline: the last pool is the narrowest, and only the most urgent and
// the least urgent route pass through it. By the wait of all queued items, requests of both are refused alike,
// and none of the second route.
func TestUnrankedRefusesTheMostUrgent(t *testing.T) {
	gom := gomega.NewWithT(t)
	rep := simulate(threeRoutes(66).withEndpoints(18, 15, 9), &unranked{}, 1)
	t.Log(rep)
	gom.Expect(rep.routes[0].returned).To(gomega.BeNumerically(">", rep.routes[0].all/20))
	gom.Expect(rep.routes[1].refused).To(gomega.BeZero())
}
