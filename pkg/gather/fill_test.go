package gather

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// burst simulates requests of six items that arrive evenly at a pool with batches of sixteen, and
// returns the number of items that wait after 10 s.
func burst(endpoints int, perSecond float64) int {
	sch := newScheduler(endpoints)
	sch.SetSpec(Spec{Slots: 1, MaxItems: 16, BatchMs: 200, ItemMs: 11})
	ends := map[int64]clock.Milli{}
	jobs := int64(0)
	for now := clock.Milli(0); now < 10*clock.Second; now++ {
		for ; float64(jobs) < perSecond*float64(now)/1000; jobs++ {
			add(sch, jobs+1, 6, int64(now)+2000)
		}
		for id, at := range ends {
			if at <= now {
				sch.End(id, Answered, nil, now)
				delete(ends, id)
			}
		}
		for bat, ok := sch.Next(now); ok; bat, ok = sch.Next(now) {
			ends[bat.ID] = now + sch.spec.Time(len(bat.Items))
		}
	}
	return sch.Waiting()
}

// TestLargePoolsTopUpBatches guards against unused capacity in a large pool: the load exceeds what
// it handles in batches of two whole jobs of six, but not in batches of sixteen. Batches are topped
// up with parts of jobs, so that the queue does not grow; the remaining items follow some
// milliseconds later. A small pool keeps jobs whole, because there they would wait long.
func TestLargePoolsTopUpBatches(t *testing.T) {
	gom := gomega.NewWithT(t)
	gom.Expect(burst(38, 245)).To(gomega.BeNumerically("<", 38*16/2), "what the pool starts in half a batch time")
	sch := newScheduler(2)
	add(sch, 1, 3, 9000)
	add(sch, 2, 3, 9000)
	add(sch, 3, 3, 9000)
	bat, _ := sch.Next(1000)
	gom.Expect(bat.Items).To(gomega.HaveLen(3))

	large := newScheduler(38)
	large.SetSpec(Spec{Slots: 1, MaxItems: 8, BatchMs: 200, ItemMs: 21, Capacity: 1900})
	for job := range int64(20) {
		for i := range int64(3) {
			large.Add(Item{ID: job*3 + i, Job: job, Due: 9000, Expires: 100000, Bytes: 150})
		}
	}
	bat, _ = large.Next(1000)
	gom.Expect(bat.Items).To(gomega.HaveLen(8), "less than half of the result storage is occupied")
	for i := range large.waiting {
		large.waiting[i].Bytes = 158
	}
	bat, _ = large.Next(1000)
	gom.Expect(bat.Items).To(gomega.HaveLen(7), "part of a job would occupy storage that is short")
}

// TestExclusiveJob guards against a batch that mixes items of an exclusive job with others,
// whichever is the more urgent.
func TestExclusiveJob(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, first := range []int64{1, 2} {
		sch := Scheduler{}
		sch.SetSpec(Spec{Slots: 1, MaxItems: 10, BatchMs: 100, ItemMs: 1})
		sch.Sync([]Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}})
		for i, job := range []int64{1, 1, 2, 2, 3} {
			due := clock.Minute
			if job == first {
				due = 10 * clock.Second
			}
			sch.Add(Item{ID: int64(i), Job: job, Due: due, Expires: clock.Hour, Exclusive: i == 3})
		}
		jobs := map[int64]bool{}
		for i := range 2 {
			bat, ok := sch.Next(clock.Milli(i) * clock.Second)
			gom.Expect(ok).To(gomega.BeTrue())
			alone := false
			for _, itm := range bat.Items {
				jobs[itm.Job] = true
				alone = alone || itm.Job == 2
			}
			if alone {
				gom.Expect(bat.Items).To(gomega.HaveLen(2))
			}
		}
		gom.Expect(jobs).To(gomega.HaveLen(3))
	}
}
