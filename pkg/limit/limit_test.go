package limit

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
)

func TestMain(m *testing.M) { golden.Main(m) }

// TestRaisedLimitAppliesAtOnce guards against refusing the first request after a
// workspace's limit was raised because the bucket still has the tokens of the old one.
func TestRaisedLimitAppliesAtOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	wsp := NewWorkspace(0.1, 1, 10)
	wsp.Set(0.1, 1, 10, 1000)
	res, _ := wsp.Enter(1000)
	gom.Expect(res).To(gomega.Equal(Admitted))
	res, wait := wsp.Enter(1001)
	gom.Expect(res).To(gomega.Equal(TooFast))
	gom.Expect(wait).To(gomega.BeNumerically("~", 10*clock.Second, 10))
	wsp.Set(5000, 5000, 10, 1002)
	res, _ = wsp.Enter(1002)
	gom.Expect(res).To(gomega.Equal(Admitted))
}

// TestRateIsEnforced: for any arrivals, no more requests are admitted in a period
// than the rate and the burst allow.
func TestRateIsEnforced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.IntRange(1, 50).Draw(t, "rate")
		burst := rapid.IntRange(1, 20).Draw(t, "burst")
		wsp := NewWorkspace(float64(perSecond), burst, 1<<30)
		now, entered := clock.Milli(1000), 0
		for range rapid.IntRange(1, 300).Draw(t, "arrivals") {
			now += clock.Milli(rapid.IntRange(0, 100).Draw(t, "gap"))
			if res, _ := wsp.Enter(now); res == Admitted {
				entered++
			}
		}
		if most := burst + int((now-1000).Seconds()*float64(perSecond)) + 1; entered > most {
			t.Fatalf("%d requests admitted, the limit allows %d", entered, most)
		}
	})
}

// TestLimitFollowsLatency: the limit falls when an endpoint's latency triples, since
// that is a sign of a queue. It rises again when the latency stays, as after the load
// of a larger model.
func TestLimitFollowsLatency(t *testing.T) {
	gom := gomega.NewWithT(t)
	var adp Adaptive
	now := clock.Milli(1000)
	answer := func(n int, took clock.Milli) {
		for range n {
			now += took
			adp.Succeeded(now, took, adp.Limit())
		}
	}
	answer(100, 100)
	high := adp.Limit()
	gom.Expect(high).To(gomega.BeNumerically(">", 8))
	answer(28, 300)
	gom.Expect(adp.Limit()).To(gomega.BeNumerically("<=", 2))
	answer(300, 300)
	gom.Expect(adp.Limit()).To(gomega.BeNumerically(">", 8))
}

func ExampleAdaptive() {
	var adp Adaptive
	fmt.Println(adp.Limit())
	adp.Overloaded(1000, 100)
	adp.Overloaded(1010, 100) // the same overload
	fmt.Println(adp.Limit())
	// Output:
	// 4
	// 3
}

func ExampleShare() {
	fmt.Printf("%.0f\n", Share(100, 9, []float64{0, 0}))
	// Output: 83
}
