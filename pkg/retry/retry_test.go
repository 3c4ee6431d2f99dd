package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
)

func TestMain(m *testing.M) { golden.Main(m) }

// TestBudgetLimitsRetries: in any order of events there are at most as many retries as
// the reserve plus the share of the first attempts.
func TestBudgetLimitsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bdg Budget
		first, taken := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			if rapid.Bool().Draw(t, "first") {
				first++
				bdg.CountAttempt()
			} else if bdg.Take() {
				taken++
			}
		}
		if float64(taken) > defaultReserve+DefaultShare*float64(first)+0.001 {
			t.Fatalf("%d retries for %d first attempts", taken, first)
		}
	})
}

// TestBackoffHasJitter guards against callers that were refused together returning
// together: delays differ, and all are within the upper half of the backoff.
func TestBackoffHasJitter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[clock.Milli]bool{}
	for range 1000 {
		span := Backoff(500, 1, rng)
		if span < 500 || span >= 1000 {
			t.Fatalf("delay of %d ms is not in [500, 1000)", span)
		}
		seen[span] = true
	}
	if len(seen) < 300 {
		t.Fatalf("only %d different delays in 1000", len(seen))
	}
}

func ExampleAllowed() {
	fmt.Println("an encoder whose connection was cut:", Allowed(false, false))
	fmt.Println("a booking whose connection was cut:", Allowed(false, true))
	fmt.Println("a booking that no connection was had for:", Allowed(true, true))
	// Output:
	// an encoder whose connection was cut: true
	// a booking whose connection was cut: false
	// a booking that no connection was had for: true
}
