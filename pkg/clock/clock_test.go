package clock

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestNeverRunsBackwards: a later reading is never earlier, or an expired lease would be
// valid again.
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

// TestSuspendedTimeCounts: the clock includes a minute for which the machine was suspended.
// Otherwise an expired view or lease would be valid for a process that resumes.
func TestSuspendedTimeCounts(t *testing.T) {
	org := origin{instant: 1_000_000, reading: 5 * time.Second}
	if got := org.at(65*time.Second + 200*time.Millisecond); got != 1_060_200 {
		t.Errorf("instant %d, want 1060200", got)
	}
	before, at := sinceBoot(), time.Now()
	time.Sleep(20 * time.Millisecond)
	if drift := (sinceBoot() - before) - time.Since(at); drift < -5*time.Millisecond {
		t.Errorf("the clock lost %v of running time", -drift)
	}
}

// TestDeadlineIsNeverEarly guards against deadlines that pass up to a millisecond before the
// caller's.
func TestDeadlineIsNeverEarly(t *testing.T) {
	gom := gomega.NewWithT(t)
	for range 20000 {
		began := time.Now()
		end := Clock{}.Deadline(Clock{}.Now() + 5)
		gom.Expect(end.Sub(began)).To(gomega.BeNumerically(">=", 5*time.Millisecond))
		gom.Expect(time.Until(end)).To(gomega.BeNumerically("<=", 6*time.Millisecond))
	}
}

// TestPauseMakesNoDeadlineEarly guards against deadlines that pass early by as long as the process stood still while
// they were reckoned.
func TestPauseMakesNoDeadlineEarly(t *testing.T) {
	var read time.Time
	clk := New(func() Milli {
		time.Sleep(20 * time.Millisecond)
		read = time.Now()
		return 1000
	})
	end := clk.Deadline(1005)
	gomega.NewWithT(t).Expect(end.Sub(read)).To(gomega.BeNumerically(">=", 5*time.Millisecond))
}
