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
	own             = "own, weighs attainment"
	ownCost         = "own, weighs cost"
	unlimitedRandom = "random, no admission, unlimited"
)

// TestOverloadIsRefusedEarly guards against engine time wasted under overload. At twice the engines'
// capacity, requests that can't be in time must be refused before they cost engine time, and neither
// bookings nor the smallest workspace may suffer. Without admission and limits, most engine time is spent on
// responses that are too late.
func TestOverloadIsRefusedEarly(t *testing.T) {
	gom := gomega.NewWithT(t)
	res := measure("corella", "load 2.0", own, unlimitedRandom)
	ours, plain := res[own], res[unlimitedRandom]
	gom.Expect(ours.Attainment()).To(gomega.BeNumerically(">", 0.58))
	gom.Expect(ours.Attainment()).To(gomega.BeNumerically(">", 1.4*plain.Attainment()))
	gom.Expect(ours.WastedShare()).To(gomega.BeNumerically("<", 0.05))
	gom.Expect(plain.WastedShare()).To(gomega.BeNumerically(">", 0.4))
	gom.Expect(ours.UrgentAttainment()).To(gomega.BeNumerically(">", 0.99))
	gom.Expect(ours.SmallestAttainment()).To(gomega.BeNumerically(">=", ours.Attainment()))
}

// TestBurstDoesNotAffectOtherWorkspaces guards against a burst of one workspace that delays others:
// the largest one sends four times its load, and the smallest must be served as before.
func TestBurstDoesNotAffectOtherWorkspaces(t *testing.T) {
	gom := gomega.NewWithT(t)
	res := measure("shiretoko", "the largest workspace bursts fourfold, load 0.6", own, unlimitedRandom)
	ours, plain := res[own], res[unlimitedRandom]
	gom.Expect(ours.SmallestAttainment()).To(gomega.BeNumerically(">", 0.98))
	gom.Expect(plain.SmallestAttainment()).To(gomega.BeNumerically("<", 0.85))
}

// TestOwnersWeight checks the two weights of an owner with a stage that fails half of its calls.
// With "attainment" the calls are retried while there is spare capacity; with "cost" retries stay
// within the budget of a tenth, and a response costs less.
func TestOwnersWeight(t *testing.T) {
	gom := gomega.NewWithT(t)
	res := measure("corella", "a stage fails half its calls, load 0.9", own, ownCost)
	rich, thrifty := res[own], res[ownCost]
	gom.Expect(rich.Attainment()).To(gomega.BeNumerically(">", 0.97))
	gom.Expect(thrifty.Attainment()).To(gomega.BeNumerically(">", 0.78))
	gom.Expect(thrifty.CostPerAnswer()).To(gomega.BeNumerically("<", 0.95*rich.CostPerAnswer()))
	gom.Expect(thrifty.RetriesPerRequest()).To(gomega.BeNumerically("<", 0.1))
}

// TestSameSeedSameTable guards against results that differ between runs with the same seed.
func TestSameSeedSameTable(t *testing.T) {
	gom := gomega.NewWithT(t)
	one, two := measure("shiretoko", "load 0.9", own)[own], measure("shiretoko", "load 0.9", own)[own]
	gom.Expect(one.Row()).To(gomega.Equal(two.Row()))
	gom.Expect(strings.Count(one.Row(), "|")).To(gomega.Equal(strings.Count(Header, "|") / 2))
}
