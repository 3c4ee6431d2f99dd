package trial

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// measure runs one scenario of a deployment under the policies named.
func measure(dpl, scenario string, policies ...string) map[string]Result {
	results := map[string]Result{}
	for _, dep := range Deployments() {
		for _, scn := range Scenarios() {
			for _, pol := range Policies() {
				for _, name := range policies {
					if dep.Name == dpl && scn.Name == scenario && pol.Name == name {
						results[name] = Measure(dep, scn, pol, 1)
					}
				}
			}
		}
	}
	return results
}

const (
	own    = "own, weighs attainment"
	cheap  = "own, weighs cost"
	chance = "random, no admission, unlimited"
)

// TestOverloadIsRefusedEarly: callers ask for twice what the engines can do.
// What can be answered is answered, the rest is refused before it has cost the
// engines anything, and bookings and the smallest workspace don't suffer.
// Without admission and limits most of the engines' time went into answers that
// came too late.
func TestOverloadIsRefusedEarly(t *testing.T) {
	gom := gomega.NewWithT(t)
	res := measure("corella", "load 2.0", own, chance)
	ours, plain := res[own], res[chance]
	gom.Expect(ours.Attainment()).To(gomega.BeNumerically(">", 0.58))
	gom.Expect(ours.Attainment()).To(gomega.BeNumerically(">", 1.4*plain.Attainment()))
	gom.Expect(ours.Wasted()).To(gomega.BeNumerically("<", 0.05))
	gom.Expect(plain.Wasted()).To(gomega.BeNumerically(">", 0.4))
	gom.Expect(ours.Urgent()).To(gomega.BeNumerically(">", 0.99))
	gom.Expect(ours.Smallest()).To(gomega.BeNumerically(">=", ours.Attainment()))
}

// TestBurstStaysItsOwn: the largest workspace sends four times its load. The
// smallest one is answered as before.
func TestBurstStaysItsOwn(t *testing.T) {
	gom := gomega.NewWithT(t)
	res := measure("shiretoko", "the largest workspace bursts fourfold, load 0.6", own, chance)
	ours, plain := res[own], res[chance]
	gom.Expect(ours.Smallest()).To(gomega.BeNumerically(">", 0.98))
	gom.Expect(plain.Smallest()).To(gomega.BeNumerically("<", 0.85))
}

// TestOwnersWeight: a stage fails half of its calls. An owner who weighs
// attainment has it tried again while there is room; one who weighs cost keeps
// retries to the budget's tenth and pays less an answer.
func TestOwnersWeight(t *testing.T) {
	gom := gomega.NewWithT(t)
	res := measure("corella", "a stage fails half its calls, load 0.9", own, cheap)
	rich, thrifty := res[own], res[cheap]
	gom.Expect(rich.Attainment()).To(gomega.BeNumerically(">", 0.97))
	gom.Expect(thrifty.Attainment()).To(gomega.BeNumerically(">", 0.78))
	gom.Expect(thrifty.CostPerAnswer()).To(gomega.BeNumerically("<", 0.95*rich.CostPerAnswer()))
	gom.Expect(thrifty.Retries()).To(gomega.BeNumerically("<", 0.1))
}

// TestSameSeedSameTable: a run is a function of its seed.
func TestSameSeedSameTable(t *testing.T) {
	gom := gomega.NewWithT(t)
	one, two := measure("shiretoko", "load 0.9", own)[own], measure("shiretoko", "load 0.9", own)[own]
	gom.Expect(one.Row()).To(gomega.Equal(two.Row()))
	gom.Expect(strings.Count(one.Row(), "|")).To(gomega.Equal(strings.Count(Header, "|") / 2))
}
