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

// TestBudgetIsKept: whatever the order, there are never more retries than the
// reserve and the share of the first attempts.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bdg Budget
		first, taken := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			if rapid.Bool().Draw(t, "first") {
				first++
				bdg.First()
			} else if bdg.Take() {
				taken++
			}
		}
		if float64(taken) > reserve+Share*float64(first)+0.001 {
			t.Fatalf("%d retries for %d first attempts", taken, first)
		}
	})
}

// TestComeBackIsSpread: callers refused together are not told one instant, and
// none is told less than half of the span or more than it.
func TestComeBackIsSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[clock.Milli]bool{}
	for range 1000 {
		span := After(500, 1, rng)
		if span < 500 || span >= 1000 {
			t.Fatalf("%d is not in 500 to 1000", span)
		}
		seen[span] = true
	}
	if len(seen) < 300 {
		t.Fatalf("only %d different spans", len(seen))
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
