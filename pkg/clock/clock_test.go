package clock

import (
	"fmt"
	"testing"
	"time"
)

// TestNeverRunsBackwards: whatever the machine does, a later look gives no
// earlier instant, or a lapsed lease would look valid again.
func TestNeverRunsBackwards(t *testing.T) {
	var clk Clock
	last := clk.Now()
	for range 10_000 {
		now := clk.Now()
		if now < last {
			t.Fatalf("%d after %d", now, last)
		}
		last = now
	}
	if diff := time.Since(last.Time()); diff < -time.Second || diff > time.Second {
		t.Fatalf("%v away from the machine's clock", diff)
	}
}

func ExampleFake() {
	var fk Fake
	clk := fk.Clock()
	fk.Set(1000)
	then := clk.Now()
	fk.Advance(2 * Second)
	fmt.Println(clk.Since(then), clk.Since(then).Seconds())
	// Output: 2000 2
}
