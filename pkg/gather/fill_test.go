package gather

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// burst plays requests of six pieces that come evenly to a pool of so many endpoints, whose
// calls hold sixteen, and gives how many pieces wait in the end.
func burst(makers int, perSecond float64) int {
	bk := newBook(makers)
	bk.Set(Spec{Places: 1, Most: 16, Call: 200, Item: 11})
	ends := map[int64]clock.Milli{}
	jobs := int64(0)
	for now := clock.Milli(0); now < 10*clock.Second; now++ {
		for ; float64(jobs) < perSecond*float64(now)/1000; jobs++ {
			add(bk, jobs+1, 6, int64(now)+2000)
		}
		for id, at := range ends {
			if at <= now {
				bk.Ended(id, Made, nil, now)
				delete(ends, id)
			}
		}
		for bat, ok := bk.Next(now); ok; bat, ok = bk.Next(now) {
			ends[bat.ID] = now + bk.spec.Time(len(bat.Pieces))
		}
	}
	return bk.Waiting()
}

// TestLargePoolsFillTheirCalls: a burst brings more than a large pool makes in calls of two
// whole jobs of six, and less than in calls of sixteen. Calls are filled with parts of jobs, so
// that the queue doesn't grow and nobody is refused; the rest of a job follows some
// milliseconds later. A small pool keeps jobs whole: there the rest would wait for long.
func TestLargePoolsFillTheirCalls(t *testing.T) {
	gom := gomega.NewWithT(t)
	gom.Expect(burst(38, 245)).To(gomega.BeNumerically("<", 38*16/2), "what the pool makes in half a call")
	bk := newBook(2)
	add(bk, 1, 3, 9000)
	add(bk, 2, 3, 9000)
	add(bk, 3, 3, 9000)
	bat, _ := bk.Next(1000)
	gom.Expect(bat.Pieces).To(gomega.HaveLen(3))

	large := newBook(38)
	large.Set(Spec{Places: 1, Most: 8, Call: 200, Item: 21, Room: 1900})
	for job := range int64(20) {
		for i := range int64(3) {
			large.Add(Piece{ID: job*3 + i, Job: job, Due: 9000, Until: 100000, Bytes: 150})
		}
	}
	bat, _ = large.Next(1000)
	gom.Expect(bat.Pieces).To(gomega.HaveLen(8), "its room is hardly half taken")
	for i := range large.waiting {
		large.waiting[i].Bytes = 158
	}
	bat, _ = large.Next(1000)
	gom.Expect(bat.Pieces).To(gomega.HaveLen(7), "a part of a job would take room that is short")
}

// Guards against pieces of a job that is to be alone which share a call with another's, whichever
// is the more urgent.
func TestAJobIsAlone(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, first := range []int64{1, 2} {
		bk := Book{}
		bk.Set(Spec{Places: 1, Most: 10, Call: 100, Item: 1})
		bk.Sync([]Maker{{ID: "a"}, {ID: "b"}, {ID: "c"}})
		for i, job := range []int64{1, 1, 2, 2, 3} {
			due := clock.Minute
			if job == first {
				due = 10 * clock.Second
			}
			bk.Add(Piece{ID: int64(i), Job: job, Due: due, Until: clock.Hour, Alone: i == 3})
		}
		jobs := map[int64]bool{}
		for i := range 2 {
			bat, ok := bk.Next(clock.Milli(i) * clock.Second)
			gom.Expect(ok).To(gomega.BeTrue())
			alone := false
			for _, pc := range bat.Pieces {
				jobs[pc.Job] = true
				alone = alone || pc.Job == 2
			}
			if alone {
				gom.Expect(bat.Pieces).To(gomega.HaveLen(2))
			}
		}
		gom.Expect(jobs).To(gomega.HaveLen(3))
	}
}
