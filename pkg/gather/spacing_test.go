package gather

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// TestBatchStartsAreSpaced: two endpoints are free and two requests arrive 10 ms apart. The second
// batch is held back until half a batch time after the first, so that they do not end together. A
// full batch is sent at once.
func TestBatchStartsAreSpaced(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(2)
	add(sch, 1, 2, 9000)
	_, ok := sch.Next(1000)
	gom.Expect(ok).To(gomega.BeTrue(), "no batch was started before")
	add(sch, 2, 1, 9000)
	_, ok = sch.Next(1010)
	gom.Expect(ok).To(gomega.BeFalse())
	gom.Expect(sch.StartDelay(1010)).To(gomega.Equal(clock.Milli(110)))
	add(sch, 3, 3, 9000)
	gom.Expect(sch.StartDelay(1010)).To(gomega.BeZero())
	bat, ok := sch.Next(1010)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Items).To(gomega.HaveLen(4))
}

// load simulates random arrivals of requests of four items at five endpoints for a minute, and
// returns the sorted latencies.
func load(sch *Scheduler, perSecond float64) []clock.Milli {
	rnd := rand.New(rand.NewPCG(1, 2))
	came := map[int64]clock.Milli{}
	ends := map[int64]clock.Milli{}
	calls := map[int64]Batch{}
	var took []clock.Milli
	next := 0.0
	for now := clock.Milli(0); now < clock.Minute; now++ {
		for ; next <= float64(now); next += rnd.ExpFloat64() * 1000 / perSecond {
			job := int64(len(came))
			came[job] = now
			for i := range int64(4) {
				sch.Add(Item{ID: 4*job + i, Job: job, Due: now + 2000, Expires: now + 20000})
			}
		}
		for id, at := range ends {
			if at > now {
				continue
			}
			sch.End(id, Answered, nil, now)
			delete(ends, id)
			for _, job := range jobsIn(calls[id]) {
				took = append(took, now-came[job])
			}
		}
		for bat, ok := sch.Next(now); ok; bat, ok = sch.Next(now) {
			calls[bat.ID], ends[bat.ID] = bat, now+sch.spec.Time(len(bat.Items))
		}
	}
	slices.Sort(took)
	return took
}

// TestBatchesDoNotBunch simulates a pool at half load, with six tenths of a batch's time fixed: 48
// requests/s of four items at five endpoints with capacity for 91. If each batch starts as soon as
// it can, random arrivals bunch the batches: the 90th percentile was 0.58 s, of which a batch takes
// 0.31 s.
func TestBatchesDoNotBunch(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(5)
	sch.SetSpec(Spec{Slots: 1, MaxItems: 34, BatchMs: 240, ItemMs: 6.1})
	took := load(sch, 48.4)
	gom.Expect(len(took)).To(gomega.BeNumerically(">", 2700))
	gom.Expect(took[len(took)*9/10]).To(gomega.BeNumerically("<", 510))
	gom.Expect(took[len(took)/2]).To(gomega.BeNumerically("<", 410))
}

// TestSpacingOnIdlePool: in a pool at low load spacing adds hardly any latency to that of a batch
// of one request.
func TestSpacingOnIdlePool(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(5)
	sch.SetSpec(Spec{Slots: 1, MaxItems: 34, BatchMs: 240, ItemMs: 6.1})
	took := load(sch, 5)
	gom.Expect(took[len(took)/2]).To(gomega.BeNumerically("<=", sch.spec.Time(4)+1))
	gom.Expect(took[len(took)*9/10]).To(gomega.BeNumerically("<", sch.spec.Time(4)+50))
}

// TestForeignResults: the previous scheduler lost power, and its results occupy half of an
// endpoint's storage. With the endpoint's report this scheduler sends two items and not four, of
// which two would be refused; the storage is available again once the TTL has passed.
func TestForeignResults(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	gom.Expect(sch.ReportFree("m0", 500, 1000)).To(gomega.Equal(int64(500)))
	gom.Expect(sch.ReportFree("nobody", 500, 1000)).To(gomega.BeZero())
	for i := range int64(4) {
		sch.Add(Item{ID: i, Job: i, Due: 9000, Expires: 100000, Bytes: 250})
	}
	bat, ok := sch.Next(1000)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Items).To(gomega.HaveLen(2))
	sch.End(bat.ID, Answered, []Result{{Handle: "a", Bytes: 250}, {Handle: "b", Bytes: 250}}, 1240)
	_, ok = sch.Next(1300)
	gom.Expect(ok).To(gomega.BeFalse(), "the result storage is full")
	gom.Expect(sch.ReportFree("m0", 0, 1350)).To(gomega.Equal(int64(500)), "the report is older than own results")
	gom.Expect(sch.ReportFree("m0", 250, 1400)).To(gomega.Equal(int64(250)), "a foreign result was released")
	bat, ok = sch.Next(1400)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Items).To(gomega.HaveLen(1))
	sch.End(bat.ID, Answered, []Result{{Handle: "c", Bytes: 250}}, 1620)
	sch.Release("a")
	sch.Release("b")
	sch.Release("c")
	for i := range int64(4) {
		sch.Add(Item{ID: 10 + i, Job: 10 + i, Due: 99000, Expires: 100000, Bytes: 250})
	}
	bat, ok = sch.Next(1000 + 4000)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Items).To(gomega.HaveLen(4))
}

// TestRefusalsRevealForeignResults: unknown results occupy half of an endpoint's storage, and it
// shows only by refusing two of four items. The next batches are as large as what was released, so
// that nothing is refused again; after foreignTTL more is tried.
func TestRefusalsRevealForeignResults(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	sch.StartTerm(900)
	for i := range int64(9) {
		sch.Add(Item{ID: i, Job: i, Due: 9000, Expires: 100000, Bytes: 250})
	}
	bat, _ := sch.Next(1000)
	gom.Expect(bat.Items).To(gomega.HaveLen(4))
	sch.End(bat.ID, Answered, []Result{{Handle: "a", Bytes: 250}, {Handle: "b", Bytes: 250}}, 1280)
	sch.MarkFull("m0", 1280)
	_, ok := sch.Next(1280 + fullRetryDelay)
	gom.Expect(ok).To(gomega.BeFalse())
	sch.Release("a")
	bat, ok = sch.Next(1400)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Items).To(gomega.HaveLen(1))
	sch.End(bat.ID, Answered, []Result{{Handle: "c", Bytes: 250}}, 1620)
	bat, ok = sch.Next(1280 + foreignTTL)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Items).To(gomega.HaveLen(2))
	sch.End(bat.ID, Answered, []Result{{Handle: "d", Bytes: 250}}, 900+4000)
	sch.MarkFull("m0", 900+4000)
	gom.Expect(sch.endpoints[0].foreignBytes).To(gomega.BeZero(), "earlier results have expired")
}
