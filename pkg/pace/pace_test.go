package pace

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

// TestWeightFades guards against a figure that sends work away from an endpoint long after its slow period.
func TestWeightFades(t *testing.T) {
	gom := gomega.NewWithT(t)
	var pac Pace
	gom.Expect(pac.Factor(5)).To(gomega.Equal(1.0))
	gom.Expect(pac.Report(Figure{Percent: 300, At: 1000})).To(gomega.BeTrue())
	gom.Expect(pac.Factor(900)).To(gomega.Equal(3.0))
	gom.Expect(pac.Factor(1000)).To(gomega.Equal(3.0))
	gom.Expect(pac.Factor(1300)).To(gomega.BeNumerically("~", 2, 1e-9))
	gom.Expect(pac.Percent(1600)).To(gomega.Equal(150))
	gom.Expect(pac.Factor(61_000)).To(gomega.BeNumerically("~", 1, 1e-9))
}

// TestNewestFigureStays guards against figures that arrive late or are out of range.
func TestNewestFigureStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pac Pace
		var newest Figure
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			fig := Figure{Percent: rapid.IntRange(-20, 11_000).Draw(t, "percent"), At: clock.Milli(rapid.IntRange(0, 2000).Draw(t, "at"))}
			pac.Report(fig)
			if fig.Percent >= 10 && fig.Percent <= 10_000 && (newest.Percent == 0 || fig.At >= newest.At) {
				newest = fig
			}
		}
		if pac.fig != newest {
			t.Fatalf("%+v is in force, not %+v", pac.fig, newest)
		}
	})
}
