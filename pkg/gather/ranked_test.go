package gather

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

// drawQueue returns a pool with waiting items of the given priorities, some batches in progress, and the time.
func drawQueue(t *rapid.T, priorities int) (*Scheduler, clock.Milli) {
	sch := newScheduler(rapid.IntRange(1, 4).Draw(t, "endpoints"))
	now := clock.Milli(10_000)
	for i := range rapid.IntRange(0, 60).Draw(t, "items") {
		sch.Add(Item{
			ID: int64(i), Job: int64(i), Added: now, Due: now + clock.Milli(rapid.IntRange(0, 4000).Draw(t, "due")), Expires: now + 100_000,
			Priority: rapid.IntRange(0, priorities-1).Draw(t, "priority"), Ranked: true,
		})
		if rapid.IntRange(0, 9).Draw(t, "start") == 0 {
			sch.Next(now)
		}
	}
	return sch, now
}

// TestUrgentNeverWaitsLonger: of two items with the same due time, the estimate of the more urgent one is not longer.
func TestUrgentNeverWaitsLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sch, now := drawQueue(t, 5)
		due := now + clock.Milli(rapid.IntRange(0, 5000).Draw(t, "own due"))
		for priority := range 5 {
			if urgent, less := sch.WaitFor(priority, due, now), sch.WaitFor(priority+1, due, now); urgent > less {
				t.Fatalf("priority %d waits %d ms, the next %d ms", priority, urgent, less)
			}
		}
	})
}

// TestEqualPrioritiesWaitAlike: with one priority the estimate is that of all items.
func TestEqualPrioritiesWaitAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sch, now := drawQueue(t, 1)
		due := now + clock.Milli(rapid.IntRange(0, 5000).Draw(t, "own due"))
		if ranked, all := sch.WaitFor(0, due, now), sch.Wait(now); ranked != all {
			t.Fatalf("%d ms by rank, %d ms by all items", ranked, all)
		}
	})
}

// TestLessUrgentItemsDoNotCount: a queue of less urgent items that are due later is no wait for an urgent item,
// which was refused because of it. For a less urgent item the urgent ones that keep coming count too.
func TestLessUrgentItemsDoNotCount(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(2)
	for i := range int64(40) {
		sch.Add(Item{ID: i, Job: i, Added: 10_000, Due: 12_000, Expires: 20_000, Priority: 1, Ranked: true})
	}
	gom.Expect(sch.WaitFor(0, 12_000, 10_000)).To(gomega.BeZero())
	alone := sch.WaitFor(1, 12_000, 10_000)
	gom.Expect(alone).To(gomega.Equal(sch.Wait(10_000)))
	for i := range int64(4) {
		sch.Add(Item{ID: 100 + i, Job: 100 + i, Added: 10_000, Due: 12_000, Expires: 20_000, Ranked: true})
	}
	gom.Expect(sch.WaitFor(1, 12_000, 10_000)).To(gomega.BeNumerically(">", alone*12/10), "44 items instead of 40 are ahead, and more will come")
}

// TestContentionWidensTheStep: while the pool is contended, an urgent item that is due 800 ms later goes first. It
// does not where it need not, nor where the document gives all routes of the pool the same priority.
func TestContentionWidensTheStep(t *testing.T) {
	for _, tst := range []struct {
		queued int64
		ranked bool
		first  int64
	}{{queued: 40, ranked: true, first: 1000}, {queued: 2, ranked: true}, {queued: 40}} {
		gom := gomega.NewWithT(t)
		sch := newScheduler(4)
		for i := range tst.queued {
			sch.Add(Item{ID: i, Job: i, Due: 4000, Expires: 20_000, Priority: 1, Ranked: tst.ranked})
		}
		sch.Add(Item{ID: 1000, Job: 1000, Due: 4800, Expires: 20_000, Ranked: tst.ranked})
		bat, _ := sch.Next(0)
		gom.Expect(bat.Items[0].ID).To(gomega.Equal(tst.first), "%+v", tst)
	}
}

// TestPrioritiesOfOthersAreBounded: priorities come from other instances, and an absurd one takes no memory.
func TestPrioritiesOfOthersAreBounded(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	for i, priority := range []int{-1, 1 << 40} {
		sch.Add(Item{ID: int64(i), Job: int64(i), Due: 1000, Expires: 20_000, Priority: priority})
	}
	gom.Expect(sch.WaitFor(-7, 1000, 0)).To(gomega.BeNumerically(">=", 0))
	gom.Expect(len(sch.demand.items)).To(gomega.BeNumerically("<=", maxPriority+1))
}
