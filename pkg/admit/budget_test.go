package admit

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func ExampleBudget_Judge() {
	fmt.Println(Budget{Estimate: 900, ToDeadline: 8000, ToTarget: 1400}.Judge() == Admit)
	fmt.Println(Budget{Estimate: 1200, ToDeadline: 8000, ToTarget: 1400, Contended: true}.Judge() == ShedLate)
	fmt.Println(Budget{Estimate: 8001, ToDeadline: 8000, ToTarget: 1400}.Judge() == MissesDeadline)
	// Output:
	// true
	// true
	// true
}

// TestLateIsServedWithoutContention guards against refusing a late request while no other
// request is queued: a late answer is worth more to the caller than a refusal. Once others
// are queued it must be refused, since it would make one of them late too.
func TestLateIsServedWithoutContention(t *testing.T) {
	gom := gomega.NewWithT(t)
	late := Budget{Estimate: 2000, ToDeadline: 8000, ToTarget: 1400}
	gom.Expect(late.Judge()).To(gomega.Equal(Admit))
	late.Contended = true
	gom.Expect(late.Judge()).To(gomega.Equal(ShedLate))
	gom.Expect(late.Excess()).To(gomega.Equal(clock.Milli(600)))
}

// TestBurstIsLimitedOnArrival sends a burst to a pool that serves one request in 100 ms.
// Each has a target latency of 1.4 s and takes 300 ms itself. Requests beyond the margin
// are refused with a retry-after delay, and none that is admitted is late even if the queue
// drains a third slower than estimated. Without the margin the last requests in the queue
// were late and held slots that later arrivals could have used in time.
func TestBurstIsLimitedOnArrival(t *testing.T) {
	gom := gomega.NewWithT(t)
	const pace, slower, own, target = 100.0, 1.33, 300, 1400
	admitted := 0
	for range 50 {
		bdg := Budget{Estimate: clock.Milli(pace*float64(admitted)) + own, ToDeadline: 8000, ToTarget: target, Contended: admitted > 2}
		if bdg.Judge() == Admit {
			admitted++
			gom.Expect((pace*float64(admitted-1)+own)*slower).To(gomega.BeNumerically("<=", target), "request %d in the queue", admitted)
			continue
		}
		gom.Expect(bdg.Estimate - bdg.ToTarget).To(gomega.Equal(bdg.Excess()))
	}
	gom.Expect(admitted).To(gomega.Equal(8))
}

// TestAdmissionIsMonotonic: a longer estimate or contention never turns a refusal into an
// admission.
func TestAdmissionIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) clock.Milli { return clock.Milli(rapid.IntRange(0, 10000).Draw(t, name)) }
		bdg := Budget{Estimate: draw("need"), ToDeadline: draw("left"), Contended: rapid.Bool().Draw(t, "crowded")}
		bdg.ToTarget = min(bdg.ToDeadline, draw("goal"))
		worse := bdg
		worse.Estimate += draw("more")
		worse.Contended = worse.Contended || rapid.Bool().Draw(t, "crowd")
		if bdg.Judge() != Admit && worse.Judge() == Admit {
			t.Fatalf("%+v is refused, but %+v is admitted", bdg, worse)
		}
	})
}
