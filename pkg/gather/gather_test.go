package gather

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func newScheduler(endpoints int) *Scheduler {
	sch := &Scheduler{}
	sch.SetSpec(Spec{Slots: 1, MaxItems: 4, BatchMs: 200, ItemMs: 20, Capacity: 1000, TTL: 4000})
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{ID: fmt.Sprintf("m%d", i), Zone: fmt.Sprintf("z%d", i)})
	}
	sch.Sync(list)
	return sch
}

// add queues the items of a job.
func add(sch *Scheduler, job, count, due int64) {
	for i := range count {
		sch.Add(Item{ID: job*100 + i, Job: job, Due: clock.Milli(due), Expires: 100000})
	}
}

// jobsIn returns the jobs of a batch, in the order of their first items.
func jobsIn(bat Batch) []int64 {
	var list []int64
	for _, itm := range bat.Items {
		if len(list) == 0 || list[len(list)-1] != itm.Job {
			list = append(list, itm.Job)
		}
	}
	return list
}

// TestLateItemsGoLast: after a burst some items can no longer be on time. Items that still can go
// first, although they are due later.
func TestLateItemsGoLast(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	add(sch, 1, 4, 1100)
	add(sch, 2, 4, 2000)
	add(sch, 3, 4, 1800)
	bat, ok := sch.Next(1000)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{3}))
	_, ok = sch.Next(1000)
	gom.Expect(ok).To(gomega.BeFalse(), "the only slot is busy")
	sch.End(bat.ID, Answered, nil, 1280)
	bat, _ = sch.Next(1280)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{2}))
	sch.End(bat.ID, Answered, nil, 1560)
	bat, _ = sch.Next(1560)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1}))
}

// TestPriorityAdvancesDue: of two jobs due at nearly the same time the one with the higher priority
// goes first; of two far apart the one due first.
func TestPriorityAdvancesDue(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	sch.Add(Item{ID: 1, Job: 1, Due: 5000, Expires: 9000, Priority: 2})
	sch.Add(Item{ID: 2, Job: 2, Due: 5400, Expires: 9000, Priority: 0})
	sch.Add(Item{ID: 3, Job: 3, Due: 4000, Expires: 9000, Priority: 2})
	sch.spec.MaxItems = 1
	var order []int64
	for now := clock.Milli(0); sch.Waiting() > 0; now += 300 {
		bat, _ := sch.Next(now)
		order = append(order, bat.Items[0].Job)
		sch.End(bat.ID, Answered, nil, now+220)
	}
	gom.Expect(order).To(gomega.Equal([]int64{3, 2, 1}))
}

// TestJobsAreNotSplit: a batch holds four items, and jobs of three, two and one wait in this order.
// The second job would be split and complete only with the next batch; the third fits.
func TestJobsAreNotSplit(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	add(sch, 1, 3, 5000)
	add(sch, 2, 2, 5001)
	add(sch, 3, 1, 5002)
	bat, _ := sch.Next(0)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1, 3}))
}

// TestBegunJobsGoFirst: three items of a job are complete and the job is late, while jobs that can
// still be on time wait too. The remaining items go first: sorted behind the others they waited
// until their caller disconnected, and the three results occupied the storage that the others needed.
func TestBegunJobsGoFirst(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	add(sch, 1, 5, 1000)
	bat, _ := sch.Next(0)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1}))
	sch.End(bat.ID, Answered, nil, 1500)
	add(sch, 2, 4, 3000)
	bat, _ = sch.Next(1500)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1}))
	gom.Expect(bat.Items).To(gomega.HaveLen(1), "the other job goes whole into the next batch")
}

// TestLowStorageDoesNotSplitJobs: the only endpoint has storage for two more results, and a job of
// three waits. If it were split, two results would occupy that storage until the third item is
// complete, which would wait for the same storage. The job waits until it fits, and a smaller one that
// fits is sent before it.
func TestLowStorageDoesNotSplitJobs(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	item := func(job, index int64, due clock.Milli) Item {
		return Item{ID: 10*job + index, Job: job, Due: due, Expires: 9000, Bytes: 80}
	}
	sch.endpoints[0].heldBytes = 10 * 80
	for i := range int64(3) {
		sch.Add(item(1, i, 1000))
	}
	_, ok := sch.Next(0)
	gom.Expect(ok).To(gomega.BeFalse())
	sch.Add(item(2, 0, 2000))
	bat, ok := sch.Next(0)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{2}))
	sch.End(bat.ID, Answered, nil, 220)
	sch.endpoints[0].heldBytes -= 160
	bat, _ = sch.Next(220)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1}))
	gom.Expect(bat.Items).To(gomega.HaveLen(3))
}

// TestWaitsForPreferredZone: the inputs of a job are in z1, whose endpoint is busy. The job waits
// for it until its local limit and no longer.
func TestWaitsForPreferredZone(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(2)
	add(sch, 1, 4, 9000)
	for i := range sch.waiting {
		sch.waiting[i].Zone, sch.waiting[i].LocalUntil = "z1", 9000
	}
	first, _ := sch.Next(0)
	gom.Expect(first.Endpoint.Zone).To(gomega.Equal("z1"))

	sch.Add(Item{ID: 1, Job: 9, Due: 9000, Expires: 9000, Zone: "z1", LocalUntil: 200})
	gom.Expect(sch.StartDelay(199)).To(gomega.BeZero())
	_, ok := sch.Next(199)
	gom.Expect(ok).To(gomega.BeFalse(), "z1 will be free soon")
	bat, ok := sch.Next(201)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Endpoint.Zone).To(gomega.Equal("z0"))
}

// TestBatchesFillByZone: the inputs of 24 jobs are spread over four data centres. A batch is filled
// with jobs of the endpoint's own data centre although others are a little more urgent; otherwise
// each job would fetch its inputs from another data centre. The most urgent job is in the first
// batch.
func TestBatchesFillByZone(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(4)
	for i := range int64(24) {
		sch.Add(Item{ID: i, Job: i, Due: clock.Milli(5000 + i), Expires: 100000, Zone: fmt.Sprintf("z%d", i%4)})
	}
	bat, _ := sch.Next(0)
	gom.Expect(bat.Items).To(gomega.HaveLen(4))
	gom.Expect(bat.Items[0].Job).To(gomega.Equal(int64(0)))
	for _, itm := range bat.Items {
		gom.Expect(itm.Zone).To(gomega.Equal(bat.Endpoint.Zone))
	}
}

// TestResultsOccupyStorage: results occupy storage until they are released or expire. An endpoint
// that reports full storage gets no batch until fullRetryDelay has passed or a result is released:
// a batch sent at once would be refused again, and each attempt is charged to the retry budget.
func TestResultsOccupyStorage(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	for i := range int64(3) {
		sch.Add(Item{ID: i, Job: i, Due: 9000, Expires: 99000, Bytes: 600})
	}
	bat, _ := sch.Next(0)
	gom.Expect(bat.Items).To(gomega.HaveLen(1))
	sch.End(bat.ID, Answered, []Result{{Handle: "h", Bytes: 600}}, 220)
	_, ok := sch.Next(220)
	gom.Expect(ok).To(gomega.BeFalse())
	ep, ok := sch.Release("h")
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(ep.ID).To(gomega.Equal("m0"))
	bat, ok = sch.Next(230)
	gom.Expect(ok).To(gomega.BeTrue())
	sch.End(bat.ID, Answered, []Result{{Handle: "lost", Bytes: 600}}, 450)
	_, ok = sch.Next(4000)
	gom.Expect(ok).To(gomega.BeFalse())
	bat, ok = sch.Next(4451)
	gom.Expect(ok).To(gomega.BeTrue(), "the TTL of the result has passed")
	sch.End(bat.ID, Answered, nil, 4600)

	add(sch, 50, 1, 9000)
	sch.MarkFull("m0", 4600)
	_, ok = sch.Next(4601)
	gom.Expect(ok).To(gomega.BeFalse())
	_, ok = sch.Next(4600 + fullRetryDelay)
	gom.Expect(ok).To(gomega.BeTrue())
}

// TestSlowEndpointIsSkipped: an endpoint does not answer within three times its planned time. It
// gets a batch again only if the others would be slower still; after some seconds its slowness has
// decayed.
func TestSlowEndpointIsSkipped(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(2)
	add(sch, 1, 4, 9000)
	bat, _ := sch.Next(0)
	slow := bat.Endpoint.ID
	sch.End(bat.ID, Failed, nil, 1140)
	add(sch, 2, 4, 9000)
	bat, _ = sch.Next(2000)
	gom.Expect(bat.Endpoint.ID).NotTo(gomega.Equal(slow))
	add(sch, 3, 4, 9000)
	_, ok := sch.Next(2010)
	gom.Expect(ok).To(gomega.BeFalse(), "the other endpoint completes it sooner")
	sch.End(bat.ID, Answered, nil, 2280)
	bat, _ = sch.Next(2280)
	add(sch, 4, 4, 30000)
	_, ok = sch.Next(20000)
	gom.Expect(ok).To(gomega.BeTrue(), "the slowness has decayed")
	gom.Expect(bat.Endpoint.ID).NotTo(gomega.Equal(slow))
}

// TestExpired: items that can no longer be completed before they expire are returned at once.
func TestExpired(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(1)
	sch.Add(Item{ID: 1, Job: 1, Due: 100, Expires: 300})
	gom.Expect(sch.TakeExpired(80)).To(gomega.BeEmpty())
	gom.Expect(sch.TakeExpired(81)).To(gomega.HaveLen(1))
	gom.Expect(sch.Waiting()).To(gomega.Equal(0))
}

// TestWait: the estimate counts the queued items that can still be on time, by the actual size of
// batches.
func TestWait(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(2)
	gom.Expect(sch.Wait(0)).To(gomega.Equal(clock.Milli(0)))
	add(sch, 1, 8, 9000)
	gom.Expect(sch.Wait(0)).To(gomega.Equal(clock.Milli(280)))
	gom.Expect(sch.Wait(9500)).To(gomega.Equal(clock.Milli(0)), "late items are overtaken")
	sch.Sync(nil)
	gom.Expect(sch.Wait(0)).To(gomega.Equal(maxEject))
}

// TestWaitUsesThroughput: results fill the storage of all endpoints, so that a batch of four starts
// only once a second although slots are free. The estimate uses the measured throughput: computed
// from slots and planned times it was a fraction of the real wait, and requests were admitted that
// were half done and waiting when their results expired. The measurement decays once nothing is queued.
func TestWaitUsesThroughput(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(2)
	add(sch, 1, 40, 99000)
	for i := range sch.waiting {
		sch.waiting[i].Bytes = 250
	}
	for now := clock.Milli(0); now <= 3000; now += 1000 {
		for handle := range sch.results {
			sch.Release(handle)
		}
		for {
			bat, ok := sch.Next(now)
			if !ok {
				break
			}
			sch.End(bat.ID, Answered, []Result{{Handle: fmt.Sprint(bat.ID), Bytes: 1000}}, now)
		}
	}
	fresh := newScheduler(2)
	add(fresh, 1, int64(sch.Waiting()), 99000)
	gom.Expect(sch.Wait(3000)).To(gomega.BeNumerically(">", 3*fresh.Wait(3000)))
	sch.waiting = nil
	sch.Wait(3001)
	add(sch, 2, 8, 99000)
	gom.Expect(sch.Wait(13000)).To(gomega.BeNumerically("<=", 280))
}

// TestInvariants draws events in any order. An item is never in two batches, a batch never exceeds
// its limit, an endpoint never gets more batches or results than it holds, and a leaving endpoint
// gets no batch.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sch := newScheduler(3)
		now, next := clock.Milli(0), int64(0)
		calls := map[int64]Batch{}
		handles := map[string]int{}
		held := map[string]int64{}
		leaving := ""
		seen := map[int64]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 200).Draw(t, "ms"))
			switch rapid.SampledFrom([]string{"add", "next", "next", "end", "free", "leave", "full"}).Draw(t, "event") {
			case "add":
				next++
				for i := range int64(rapid.IntRange(1, 6).Draw(t, "count")) {
					zone := rapid.SampledFrom([]string{"", "z0", "z1"}).Draw(t, "zone")
					sch.Add(Item{ID: next*100 + i, Job: next, Due: now + 500, Expires: now + 90000, Zone: zone, LocalUntil: now + 100, Bytes: 150})
				}
			case "next":
				bat, ok := sch.Next(now)
				if !ok {
					continue
				}
				var bytes int64
				for _, itm := range bat.Items {
					if seen[itm.ID] {
						t.Fatalf("item %d is in two batches", itm.ID)
					}
					seen[itm.ID] = true
					bytes += itm.Bytes
				}
				for _, oth := range calls {
					if oth.Endpoint.ID == bat.Endpoint.ID {
						t.Fatalf("%s has two batches", bat.Endpoint.ID)
					}
				}
				held[bat.Endpoint.ID] += bytes
				if len(bat.Items) > 4 || len(bat.Items) == 0 || held[bat.Endpoint.ID] > 1000 || bat.Endpoint.ID == leaving {
					t.Fatalf("batch %+v, held %d, leaving %q", bat, held[bat.Endpoint.ID], leaving)
				}
				calls[bat.ID] = bat
			case "end":
				for id, bat := range calls {
					var results []Result
					for i := range bat.Items {
						name := fmt.Sprintf("%d-%d", id, i)
						handles[name] = 1
						results = append(results, Result{Handle: name, Bytes: 150})
					}
					sch.End(id, Answered, results, now)
					delete(calls, id)
					break
				}
			case "free":
				for name := range handles {
					if ep, ok := sch.Release(name); ok {
						held[ep.ID] -= 150
					}
					delete(handles, name)
					break
				}
			case "leave":
				if leaving == "" {
					leaving = "m2"
					sch.Leave(leaving)
				}
			case "full":
				sch.MarkFull("m1", now)
			}
			if now > 3500 {
				return // results would expire by themselves
			}
		}
	})
}

// TestRestartedEndpointIsReset: an endpoint with full storage, which had been slow, failing and
// leaving, has restarted. The new process gets batches at once. Results of its previous process
// count for nothing, and the end of a batch of that process changes nothing.
func TestRestartedEndpointIsReset(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(0)
	sch.Sync([]Endpoint{{ID: "m@1"}})
	for i := range int64(4) {
		sch.Add(Item{ID: i, Job: i, Due: 9000, Expires: 99000, Bytes: 250})
	}
	first, ok := sch.Next(0)
	gom.Expect(ok).To(gomega.BeTrue())
	sch.End(first.ID, Answered, []Result{{Handle: "h", Bytes: 1000}}, 900)
	sch.MarkFull("m@1", 900)
	sch.Add(Item{ID: 9, Job: 9, Due: 9000, Expires: 99000, Bytes: 10})
	_, ok = sch.Next(910)
	gom.Expect(ok).To(gomega.BeFalse())
	sch.Leave("m@1")

	sch.Sync([]Endpoint{{ID: "m@2"}})
	gom.Expect(sch.HeldBytes("m@2")).To(gomega.BeZero())
	second, ok := sch.Next(1000)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(second.Endpoint.ID).To(gomega.Equal("m@2"))
	sch.Release("h")
	sch.End(first.ID, Failed, nil, 1010)
	gom.Expect(sch.HeldBytes("m@2")).To(gomega.Equal(int64(10)))
	gom.Expect(sch.Usable()).To(gomega.Equal(1))
}

// Guards against batches for an endpoint that has asked for rest, against a rest that is cut short by a
// later one, and against items that wait for an endpoint that rests.
func TestRestingEndpointGetsNoBatch(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(2)
	sch.Rest("m0", 3000)
	sch.Rest("m0", 2000)
	sch.Rest("unknown", 2000)
	sch.Add(Item{ID: 1, Job: 1, Due: 9000, Expires: 100000, Zone: "z0", LocalUntil: 8000})
	bat, ok := sch.Next(2500)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Endpoint.ID).To(gomega.Equal("m1"))
	add(sch, 2, 1, 9000)
	_, ok = sch.Next(2999)
	gom.Expect(ok).To(gomega.BeFalse())
	bat, _ = sch.Next(3000)
	gom.Expect(bat.Endpoint.ID).To(gomega.Equal("m0"))
}

// Guards against batches for an endpoint that is withheld, against items that wait for it, and against one that is
// never used again or has lost its batches and results when it no longer is.
func TestWithheldEndpointGetsNoBatch(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(2)
	list := []Endpoint{{ID: "m0", Zone: "z0"}, {ID: "m1", Zone: "z1"}}
	sch.Sync(list)
	sch.Add(Item{ID: 9, Job: 9, Due: 9000, Expires: 100000, Zone: "z0", LocalUntil: 8000, Bytes: 5})
	begun, ok := sch.Next(0)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(begun.Endpoint.ID).To(gomega.Equal("m0"))
	sch.Sync([]Endpoint{{ID: "m0", Zone: "z0", Withheld: true}, list[1]})
	sch.End(begun.ID, Answered, []Result{{Handle: "h", Bytes: 5}}, 20)
	gom.Expect(sch.AllWithheld()).To(gomega.BeFalse())
	sch.Add(Item{ID: 1, Job: 1, Due: 9000, Expires: 100000, Zone: "z0", LocalUntil: 8000})
	bat, ok := sch.Next(2500)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Endpoint.ID).To(gomega.Equal("m1"))
	add(sch, 2, 1, 9000)
	_, ok = sch.Next(4000)
	gom.Expect(ok).To(gomega.BeFalse())
	sch.Sync([]Endpoint{{ID: "m0", Zone: "z0", Withheld: true}, {ID: "m1", Zone: "z1", Withheld: true}})
	gom.Expect(sch.AllWithheld()).To(gomega.BeTrue())
	gom.Expect(sch.Usable()).To(gomega.BeZero())
	sch.Sync(list)
	gom.Expect(sch.HeldBytes("m0")).To(gomega.BeEquivalentTo(5))
	bat, ok = sch.Next(4000)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Endpoint.ID).To(gomega.Equal("m0"))
	sch.Leave("m0")
	sch.Leave("m1")
	gom.Expect(sch.AllWithheld()).To(gomega.BeFalse(), "endpoints that leave don't come back")
}

// Guards against requests that are let in although all endpoints rest for longer than they have time.
func TestWaitIncludesRest(t *testing.T) {
	gom := gomega.NewWithT(t)
	sch := newScheduler(3)
	sch.Leave("m2")
	sch.Rest("m0", 60000)
	gom.Expect(sch.Wait(1000)).To(gomega.BeZero())
	sch.Rest("m1", 50000)
	gom.Expect(sch.Wait(1000)).To(gomega.Equal(clock.Milli(49000)))
	gom.Expect(sch.Wait(49900)).To(gomega.Equal(maxEject))
	gom.Expect(sch.Wait(50000)).To(gomega.BeZero())
}
