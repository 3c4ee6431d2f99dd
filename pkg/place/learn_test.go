package place

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// TestCurve: times that grow a little faster than sizes are measured in any order. Between
// what was measured the curve is close; beyond it goes on in proportion.
func TestCurve(t *testing.T) {
	gom := gomega.NewWithT(t)
	var crv curve
	gom.Expect(crv.at(500, 30)).To(gomega.Equal(30.0))
	time := func(size int) float64 { return 15 + 0.02*float64(size) + 3e-7*float64(size)*float64(size) }
	for i := range 2000 {
		size := 100 + (i*7919)%30000
		crv.sample(size, time(size))
	}
	for _, size := range []int{600, 3000, 9000, 20000} {
		gom.Expect(crv.at(size, 0)).To(gomega.BeNumerically("~", time(size), 0.2*time(size)), "%d", size)
	}
	gom.Expect(crv.at(60000, 0)).To(gomega.BeNumerically(">", 2*crv.at(25000, 0)))
	gom.Expect(crv.at(0, 0)).To(gomega.BeNumerically("<", crv.at(600, 0)+1))
	gom.Expect(crv.slope(1)).To(gomega.BeNumerically("~", 0.028, 0.01))
}

// TestSlowness: one engine takes twice as long as others. That is learnt from what it was
// alone with, and forgotten when nothing is heard for long, so that it is tried again.
func TestSlowness(t *testing.T) {
	gom := gomega.NewWithT(t)
	var slw slowness
	gom.Expect(slw.now(5000)).To(gomega.Equal(1.0))
	for range 20 {
		slw.sample(2, 1000)
	}
	gom.Expect(slw.now(1000)).To(gomega.BeNumerically("~", 2, 0.05))
	gom.Expect(slw.now(1000 + 4*slowHalf)).To(gomega.BeNumerically("<", 1.1))
	slw.sample(1000, 1000)
	gom.Expect(slw.now(1000)).To(gomega.BeNumerically("<", slowMost))
}

// TestFrequency: something comes twice a second, and then no more.
func TestFrequency(t *testing.T) {
	gom := gomega.NewWithT(t)
	var frq frequency
	for i := range clock.Milli(200) {
		frq.note(500 * i)
	}
	end := clock.Milli(500 * 200)
	gom.Expect(frq.expect(1000, end)).To(gomega.BeNumerically("~", 2, 0.2))
	gom.Expect(frq.expect(1000, end+60000)).To(gomega.BeNumerically("<", 0.01))
}
