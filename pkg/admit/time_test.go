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

// TestLateIsServedWhereNobodyWaits guards against refusing a late request while no other
// request is queued: a late answer is worth more to the caller than a refusal. Once others
// are queued it must be refused, since it would make one of them late too.
func TestLateIsServedWhereNobodyWaits(t *testing.T) {
	gom := gomega.NewWithT(t)
	late := Times{Need: 2000, Left: 8000, InTime: 1400}
	gom.Expect(late.Judge()).To(gomega.Equal(LetIn))
	late.Crowded = true
	gom.Expect(late.Judge()).To(gomega.Equal(LateInCrowd))
	gom.Expect(late.Over()).To(gomega.Equal(clock.Milli(600)))
}

// TestBurstIsLimitedOnArrival sends a burst to a pool that serves one request in 100 ms.
// Each has a target latency of 1.4 s and takes 300 ms itself. Requests beyond the margin
// are refused with a retry-after delay, and none that is admitted is late even if the queue
// drains a third slower than estimated. Without the margin the last requests in the queue
// were late and held slots that later arrivals could have used in time.
func TestBurstIsLimitedOnArrival(t *testing.T) {
	gom := gomega.NewWithT(t)
	const pace, slower, own, goal = 100.0, 1.33, 300, 1400
	admitted := 0
	for range 50 {
		tms := Times{Need: clock.Milli(pace*float64(admitted)) + own, Left: 8000, InTime: goal, Crowded: admitted > 2}
		if tms.Judge() == LetIn {
			admitted++
			gom.Expect((pace*float64(admitted-1)+own)*slower).To(gomega.BeNumerically("<=", goal), "request %d in the queue", admitted)
			continue
		}
		gom.Expect(tms.Need - tms.InTime).To(gomega.Equal(tms.Over()))
	}
	gom.Expect(admitted).To(gomega.Equal(8))
}

// TestAdmissionIsMonotonic: a longer estimate or contention never turns a refusal into an
// admission.
func TestAdmissionIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) clock.Milli { return clock.Milli(rapid.IntRange(0, 10000).Draw(t, name)) }
		tms := Times{Need: draw("need"), Left: draw("left"), Crowded: rapid.Bool().Draw(t, "crowded")}
		tms.InTime = min(tms.Left, draw("goal"))
		worse := tms
		worse.Need += draw("more")
		worse.Crowded = worse.Crowded || rapid.Bool().Draw(t, "crowd")
		if tms.Judge() != LetIn && worse.Judge() == LetIn {
			t.Fatalf("%+v is refused, but %+v is admitted", tms, worse)
		}
	})
}
