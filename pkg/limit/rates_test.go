package limit

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func ExampleRates() {
	var rts Rates
	rts.Sync(map[string]float64{"i-1": 2})
	for range 3 {
		fmt.Println(rts.Wait("i-1", 10_000), rts.Wait("i-2", 10_000))
		rts.Take("i-1", 1, 10_000)
	}
	// Output:
	// 0 0
	// 0 0
	// 501 0
}

// TestRatesAreEnforced guards against an endpoint that gets more requests in some period than
// its rate allows, for any arrivals and either share.
func TestRatesAreEnforced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		rate := rapid.SampledFrom([]float64{0, 0.25, 0.7, 1, 3, 20, 150}).Draw(rt, "rate")
		share := rapid.SampledFrom([]float64{0.5, 1}).Draw(rt, "share")
		var rts Rates
		rts.Sync(map[string]float64{"i-1": rate})
		var sent []clock.Milli
		now := clock.Milli(100_000)
		for now < 120_000 {
			now += clock.Milli(rapid.SampledFrom([]int{1, 5, 300, 2000}).Draw(rt, "pause"))
			if rts.Wait("i-1", now) == 0 {
				rts.Take("i-1", share, now)
				sent = append(sent, now)
			}
			// The rate is set again, as with each answer.
			rts.Sync(map[string]float64{"i-1": rate})
		}
		for i, first := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at-first < 4*clock.Second {
					count++
				}
			}
			gom.Expect(float64(count)).To(gomega.BeNumerically("<=", 4*share*max(rate, minRate)+2))
		}
	})
}

// TestRateIsUsedUp guards against an endpoint that gets fewer requests than its declared rate.
func TestRateIsUsedUp(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, rate := range []float64{0, 1, 7, 150} {
		var rts Rates
		rts.Sync(map[string]float64{"i-1": rate})
		sent := 0
		for now := clock.Milli(0); now < 60*clock.Second; now++ {
			if rts.Wait("i-1", now) == 0 {
				rts.Take("i-1", 1, now)
				sent++
			}
		}
		gom.Expect(float64(sent)).To(gomega.BeNumerically(">=", 0.99*60*max(rate, minRate)))
	}
}

// TestTwoCoordinatorsStayInBounds guards against exceeding 1.5 times the rate during a change of
// coordinator: the old one still uses the whole rate while the new one starts with half of it.
func TestTwoCoordinatorsStayInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		rate := rapid.SampledFrom([]float64{0.25, 1, 3, 20, 150}).Draw(rt, "rate")
		begins := clock.Milli(rapid.IntRange(4000, 9000).Draw(rt, "begins"))
		overlap := clock.Milli(rapid.IntRange(0, 5000).Draw(rt, "overlap"))
		var old, young Rates
		old.Sync(map[string]float64{"i-1": rate})
		young.Sync(map[string]float64{"i-1": rate})
		var sent []clock.Milli
		for now := clock.Milli(0); now < 20_000; now++ {
			if now < begins+overlap && old.Wait("i-1", now) == 0 {
				old.Take("i-1", 1, now)
				sent = append(sent, now)
			}
			if now < begins || young.Wait("i-1", now) > 0 {
				continue
			}
			share := 0.5
			if now > begins+5000 {
				share = 1
			}
			young.Take("i-1", share, now)
			sent = append(sent, now)
		}
		for i := range sent {
			count := 0
			for ; i+count < len(sent) && sent[i+count]-sent[i] < 4000; count++ {
				continue
			}
			gom.Expect(float64(count)).To(gomega.BeNumerically("<=", 1.5*4*rate+5))
		}
	})
}
