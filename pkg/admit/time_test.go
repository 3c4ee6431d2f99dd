package admit

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func ExampleTimes_Judge() {
	fmt.Println(Times{Need: 900, Left: 8000, InTime: 1400}.Judge() == LetIn)
	fmt.Println(Times{Need: 1200, Left: 8000, InTime: 1400, Crowded: true}.Judge() == LateInCrowd)
	fmt.Println(Times{Need: 8001, Left: 8000, InTime: 1400}.Judge() == Hopeless)
	// Output:
	// true
	// true
	// true
}

// TestLateIsServedWhereNobodyWaits: a request that will be late holds nobody up while no
// one waits; a late answer is worth more to its caller than a refusal. Once others wait it
// would make one of them late too.
func TestLateIsServedWhereNobodyWaits(t *testing.T) {
	gom := gomega.NewWithT(t)
	late := Times{Need: 2000, Left: 8000, InTime: 1400}
	gom.Expect(late.Judge()).To(gomega.Equal(LetIn))
	late.Crowded = true
	gom.Expect(late.Judge()).To(gomega.Equal(LateInCrowd))
	gom.Expect(late.Over()).To(gomega.Equal(clock.Milli(600)))
}

// TestBurstIsCutAtTheDoor: a burst of requests comes at once to a pool that makes one in
// 100 ms, each with 1.4 s for an answer that itself takes 300 ms. Those behind the margin
// are refused at once, with a time to come back; none that is let in is late even if the
// queue goes a third slower than was told. Without the margin those at the end of the
// queue were late, each with a place that a newcomer in time could have had.
func TestBurstIsCutAtTheDoor(t *testing.T) {
	gom := gomega.NewWithT(t)
	const pace, slower, own, goal = 100.0, 1.33, 300, 1400
	let := 0
	for range 50 {
		tms := Times{Need: clock.Milli(pace*float64(let)) + own, Left: 8000, InTime: goal, Crowded: let > 2}
		if tms.Judge() == LetIn {
			let++
			gom.Expect((pace*float64(let-1)+own)*slower).To(gomega.BeNumerically("<=", goal), "the %d. in the queue", let)
			continue
		}
		gom.Expect(tms.Need - tms.InTime).To(gomega.Equal(tms.Over()))
	}
	gom.Expect(let).To(gomega.Equal(8))
}

// TestWaitsOnlyHurt: whatever a request's times, more need or a crowd never turn a
// refusal into a place.
func TestWaitsOnlyHurt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) clock.Milli { return clock.Milli(rapid.IntRange(0, 10000).Draw(t, name)) }
		tms := Times{Need: draw("need"), Left: draw("left"), Crowded: rapid.Bool().Draw(t, "crowded")}
		tms.InTime = min(tms.Left, draw("goal"))
		worse := tms
		worse.Need += draw("more")
		worse.Crowded = worse.Crowded || rapid.Bool().Draw(t, "crowd")
		if tms.Judge() != LetIn && worse.Judge() == LetIn {
			t.Fatalf("%+v is refused, %+v let in", tms, worse)
		}
	})
}
