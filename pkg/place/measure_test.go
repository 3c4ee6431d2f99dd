package place

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// TestCurve measures times that grow a little faster than sizes, in any order. The curve is close
// between measurements and proportional beyond them.
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

// TestSlowness: an engine takes twice as long as the others. The slowness is learned from
// uncontended requests and decays without further measurements, so that the engine is tried again.
func TestSlowness(t *testing.T) {
	gom := gomega.NewWithT(t)
	var slw slowness
	gom.Expect(slw.current(5000)).To(gomega.Equal(1.0))
	for range 20 {
		slw.sample(2, 1000)
	}
	gom.Expect(slw.current(1000)).To(gomega.BeNumerically("~", 2, 0.05))
	gom.Expect(slw.current(1000 + 4*slownessHalfLife)).To(gomega.BeNumerically("<", 1.1))
	slw.sample(1000, 1000)
	gom.Expect(slw.current(1000)).To(gomega.BeNumerically("<", maxSlowRatio))
}

// TestFrequency: events come twice a second, then stop.
func TestFrequency(t *testing.T) {
	gom := gomega.NewWithT(t)
	var frq frequency
	for i := range clock.Milli(200) {
		frq.record(500 * i)
	}
	end := clock.Milli(500 * 200)
	gom.Expect(frq.expect(1000, end)).To(gomega.BeNumerically("~", 2, 0.2))
	gom.Expect(frq.expect(1000, end+60000)).To(gomega.BeNumerically("<", 0.01))
}
