package gather

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func newBook(makers int) *Book {
	bk := &Book{}
	bk.Set(Spec{Places: 1, Most: 4, Call: 200, Item: 20, Room: 1000, Keep: 4000})
	var list []Maker
	for i := range makers {
		list = append(list, Maker{ID: fmt.Sprintf("m%d", i), Zone: fmt.Sprintf("z%d", i)})
	}
	bk.Sync(list)
	return bk
}

// add adds a job's pieces.
func add(bk *Book, job, count, due int64) {
	for i := range count {
		bk.Add(Piece{ID: job*100 + i, Job: job, Due: clock.Milli(due), Until: 100000})
	}
}

// jobsIn lists the jobs of a call, in the order of their first pieces.
func jobsIn(bat Batch) []int64 {
	var list []int64
	for _, pc := range bat.Pieces {
		if len(list) == 0 || list[len(list)-1] != pc.Job {
			list = append(list, pc.Job)
		}
	}
	return list
}

// TestLateGoLast: a burst leaves pieces that can't be in time any more. Those that
// still can go first, though they are due later; the late ones follow.
func TestLateGoLast(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	add(bk, 1, 4, 1100)
	add(bk, 2, 4, 2000)
	add(bk, 3, 4, 1800)
	bat, ok := bk.Next(1000)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{3}))
	_, ok = bk.Next(1000)
	gom.Expect(ok).To(gomega.BeFalse(), "the only place is taken")
	bk.Ended(bat.ID, Made, nil, 1280)
	bat, _ = bk.Next(1280)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{2}))
	bk.Ended(bat.ID, Made, nil, 1560)
	bat, _ = bk.Next(1560)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1}))
}

// TestPriorityCounts: of two jobs due at nearly the same instant the more urgent
// kind goes first; of two far apart the one that is due.
func TestPriorityCounts(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	bk.Add(Piece{ID: 1, Job: 1, Due: 5000, Until: 9000, Rank: 2})
	bk.Add(Piece{ID: 2, Job: 2, Due: 5400, Until: 9000, Rank: 0})
	bk.Add(Piece{ID: 3, Job: 3, Due: 4000, Until: 9000, Rank: 2})
	bk.spec.Most = 1
	var order []int64
	for now := clock.Milli(0); bk.Waiting() > 0; now += 300 {
		bat, _ := bk.Next(now)
		order = append(order, bat.Pieces[0].Job)
		bk.Ended(bat.ID, Made, nil, now+220)
	}
	gom.Expect(order).To(gomega.Equal([]int64{3, 2, 1}))
}

// TestJobsStayWhole: a call has place for four. Jobs of three, two and one wait in
// this order. The second would be split, and done only with the next call; the
// third fits and goes along.
func TestJobsStayWhole(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	add(bk, 1, 3, 5000)
	add(bk, 2, 2, 5001)
	add(bk, 3, 1, 5002)
	bat, _ := bk.Next(0)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1, 3}))
}

// TestRestsGoFirst: an endpoint made three pieces of a job of five, and the job is late
// by now. Jobs that can still be in time wait too. The two that are missing go first:
// behind the others they waited until their caller left, and the three took the room
// that the others waited for.
func TestRestsGoFirst(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	add(bk, 1, 5, 1000)
	bat, _ := bk.Next(0)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1}))
	bk.Ended(bat.ID, Made, nil, 1500)
	add(bk, 2, 4, 3000)
	bat, _ = bk.Next(1500)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1}))
	gom.Expect(bat.Pieces).To(gomega.HaveLen(1), "the other job is made whole in the next call")
}

// TestWantOfRoomSplitsNoJob: the one endpoint has room for two more results, and a job of
// three waits. Two of its pieces would be made now and take the room until the third
// is, which waits for that room. The job waits until it fits, and a smaller one that
// does goes before it.
func TestWantOfRoomSplitsNoJob(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	piece := func(job, index int64, due clock.Milli) Piece {
		return Piece{ID: 10*job + index, Job: job, Due: due, Until: 9000, Bytes: 80}
	}
	bk.makers[0].held = 10 * 80
	for i := range int64(3) {
		bk.Add(piece(1, i, 1000))
	}
	_, ok := bk.Next(0)
	gom.Expect(ok).To(gomega.BeFalse())
	bk.Add(piece(2, 0, 2000))
	bat, ok := bk.Next(0)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{2}))
	bk.Ended(bat.ID, Made, nil, 220)
	bk.makers[0].held -= 160
	bat, _ = bk.Next(220)
	gom.Expect(jobsIn(bat)).To(gomega.Equal([]int64{1}))
	gom.Expect(bat.Pieces).To(gomega.HaveLen(3))
}

// TestNearWhileThereIsTime: a job's inputs lie in z1, whose endpoint is busy. It
// waits for it while it may wait, and no longer.
func TestNearWhileThereIsTime(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	add(bk, 1, 4, 9000)
	for i := range bk.waiting {
		bk.waiting[i].Zone, bk.waiting[i].NearUntil = "z1", 9000
	}
	first, _ := bk.Next(0)
	gom.Expect(first.Maker.Zone).To(gomega.Equal("z1"))

	bk.Add(Piece{ID: 1, Job: 9, Due: 9000, Until: 9000, Zone: "z1", NearUntil: 200})
	gom.Expect(bk.Space(199)).To(gomega.BeZero())
	_, ok := bk.Next(199)
	gom.Expect(ok).To(gomega.BeFalse(), "z1 will be free soon")
	bat, ok := bk.Next(201)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Maker.Zone).To(gomega.Equal("z0"))
}

// TestLongQueueGoesByPlace: the inputs of twenty four jobs lie in four data centres, in
// turn. The call of an endpoint in one of them is filled with its own jobs, though others
// are a little more urgent: each job would fetch its inputs from another data centre
// otherwise, and there are enough for a full call everywhere. The most urgent of all
// goes with the first call.
func TestLongQueueGoesByPlace(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(4)
	for i := range int64(24) {
		bk.Add(Piece{ID: i, Job: i, Due: clock.Milli(5000 + i), Until: 100000, Zone: fmt.Sprintf("z%d", i%4)})
	}
	bat, _ := bk.Next(0)
	gom.Expect(bat.Pieces).To(gomega.HaveLen(4))
	gom.Expect(bat.Pieces[0].Job).To(gomega.Equal(int64(0)))
	for _, pc := range bat.Pieces {
		gom.Expect(pc.Zone).To(gomega.Equal(bat.Maker.Zone))
	}
}

// TestRoomIsKept: results hold room until they are given back or expire. An endpoint
// that says it has none gets no call for a moment, or until something is given back:
// asked again at once it says the same, and each time is a repeat that the budget
// counts.
func TestRoomIsKept(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	for i := range int64(3) {
		bk.Add(Piece{ID: i, Job: i, Due: 9000, Until: 99000, Bytes: 600})
	}
	bat, _ := bk.Next(0)
	gom.Expect(bat.Pieces).To(gomega.HaveLen(1))
	bk.Ended(bat.ID, Made, []Result{{Handle: "h", Bytes: 600}}, 220)
	_, ok := bk.Next(220)
	gom.Expect(ok).To(gomega.BeFalse())
	mkr, ok := bk.Free("h")
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(mkr.ID).To(gomega.Equal("m0"))
	bat, ok = bk.Next(230)
	gom.Expect(ok).To(gomega.BeTrue())
	bk.Ended(bat.ID, Made, []Result{{Handle: "lost", Bytes: 600}}, 450)
	_, ok = bk.Next(4000)
	gom.Expect(ok).To(gomega.BeFalse())
	bat, ok = bk.Next(4451)
	gom.Expect(ok).To(gomega.BeTrue(), "its maker holds a result no longer than that")
	bk.Ended(bat.ID, Made, nil, 4600)

	add(bk, 50, 1, 9000)
	bk.Full("m0", 4600)
	_, ok = bk.Next(4601)
	gom.Expect(ok).To(gomega.BeFalse())
	_, ok = bk.Next(4600 + fullFor)
	gom.Expect(ok).To(gomega.BeTrue())
}

// TestSlowIsPassedOver: an endpoint gives no answer in three times its time. It is
// called again only when the others would be later still, and after some seconds
// its slowness is forgotten.
func TestSlowIsPassedOver(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	add(bk, 1, 4, 9000)
	bat, _ := bk.Next(0)
	slow := bat.Maker.ID
	bk.Ended(bat.ID, Failed, nil, 1140)
	add(bk, 2, 4, 9000)
	bat, _ = bk.Next(2000)
	gom.Expect(bat.Maker.ID).NotTo(gomega.Equal(slow))
	add(bk, 3, 4, 9000)
	_, ok := bk.Next(2010)
	gom.Expect(ok).To(gomega.BeFalse(), "the well one will be done sooner")
	bk.Ended(bat.ID, Made, nil, 2280)
	bat, _ = bk.Next(2280)
	add(bk, 4, 4, 30000)
	_, ok = bk.Next(20000)
	gom.Expect(ok).To(gomega.BeTrue(), "forgotten by now")
	gom.Expect(bat.Maker.ID).NotTo(gomega.Equal(slow))
}

// TestExpired: what can't be made in any use of time is taken out and told at once.
func TestExpired(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	bk.Add(Piece{ID: 1, Job: 1, Due: 100, Until: 300})
	gom.Expect(bk.Expired(80)).To(gomega.BeEmpty())
	gom.Expect(bk.Expired(81)).To(gomega.HaveLen(1))
	gom.Expect(bk.Waiting()).To(gomega.Equal(0))
}

// TestWait: the estimate counts what is ahead of a newcomer that can be in time, by
// how full calls really are.
func TestWait(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	gom.Expect(bk.Wait(0)).To(gomega.Equal(clock.Milli(0)))
	add(bk, 1, 8, 9000)
	gom.Expect(bk.Wait(0)).To(gomega.Equal(clock.Milli(280)))
	gom.Expect(bk.Wait(9500)).To(gomega.Equal(clock.Milli(0)), "the late let newcomers pass")
	bk.Sync(nil)
	gom.Expect(bk.Wait(0)).To(gomega.Equal(maxBench))
}

// TestPaceCounts: results take all the room at the makers, so that a call of four
// begins only each second although places are free. A newcomer is told what pieces
// really wait; from places and call times it was told a fraction, let in, and held in
// the middle of its way until the results made for it lapsed. Once nothing waits for a
// while, what was seen is forgotten.
func TestPaceCounts(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	add(bk, 1, 40, 99000)
	for i := range bk.waiting {
		bk.waiting[i].Bytes = 250
	}
	for now := clock.Milli(0); now <= 3000; now += 1000 {
		for handle := range bk.results {
			bk.Free(handle)
		}
		for {
			bat, ok := bk.Next(now)
			if !ok {
				break
			}
			bk.Ended(bat.ID, Made, []Result{{Handle: fmt.Sprint(bat.ID), Bytes: 1000}}, now)
		}
	}
	fresh := newBook(2)
	add(fresh, 1, int64(bk.Waiting()), 99000)
	gom.Expect(bk.Wait(3000)).To(gomega.BeNumerically(">", 3*fresh.Wait(3000)))
	bk.waiting = nil
	bk.Wait(3001)
	add(bk, 2, 8, 99000)
	gom.Expect(bk.Wait(13000)).To(gomega.BeNumerically("<=", 280))
}

// TestInvariants draws events in any order. Never is a piece in two places, a call
// fuller than it may be, an endpoint given more calls or results than it takes, or
// a leaving endpoint called.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bk := newBook(3)
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
					bk.Add(Piece{ID: next*100 + i, Job: next, Due: now + 500, Until: now + 90000, Zone: zone, NearUntil: now + 100, Bytes: 150})
				}
			case "next":
				bat, ok := bk.Next(now)
				if !ok {
					continue
				}
				var bytes int64
				for _, pc := range bat.Pieces {
					if seen[pc.ID] {
						t.Fatalf("piece %d is in two calls", pc.ID)
					}
					seen[pc.ID] = true
					bytes += pc.Bytes
				}
				for _, oth := range calls {
					if oth.Maker.ID == bat.Maker.ID {
						t.Fatalf("%s has two calls", bat.Maker.ID)
					}
				}
				held[bat.Maker.ID] += bytes
				if len(bat.Pieces) > 4 || len(bat.Pieces) == 0 || held[bat.Maker.ID] > 1000 || bat.Maker.ID == leaving {
					t.Fatalf("call %+v, held %d, leaving %q", bat, held[bat.Maker.ID], leaving)
				}
				calls[bat.ID] = bat
			case "end":
				for id, bat := range calls {
					var made []Result
					for i := range bat.Pieces {
						name := fmt.Sprintf("%d-%d", id, i)
						handles[name] = 1
						made = append(made, Result{Handle: name, Bytes: 150})
					}
					bk.Ended(id, Made, made, now)
					delete(calls, id)
					break
				}
			case "free":
				for name := range handles {
					if mkr, ok := bk.Free(name); ok {
						held[mkr.ID] -= 150
					}
					delete(handles, name)
					break
				}
			case "leave":
				if leaving == "" {
					leaving = "m2"
					bk.Leave(leaving)
				}
			case "full":
				bk.Full("m1", now)
			}
			if now > 3500 {
				return // results would expire by themselves
			}
		}
	})
}

// TestStartedAgainIsEmpty: an endpoint whose room was taken, which had been slow and failing
// and was said to leave, has ended and started again. The new run gets calls at once.
// What its calls of before made is nobody's, and the end of such a call changes nothing.
func TestStartedAgainIsEmpty(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(0)
	bk.Sync([]Maker{{ID: "m@1"}})
	for i := range int64(4) {
		bk.Add(Piece{ID: i, Job: i, Due: 9000, Until: 99000, Bytes: 250})
	}
	first, ok := bk.Next(0)
	gom.Expect(ok).To(gomega.BeTrue())
	bk.Ended(first.ID, Made, []Result{{Handle: "h", Bytes: 1000}}, 900)
	bk.Full("m@1", 900)
	bk.Add(Piece{ID: 9, Job: 9, Due: 9000, Until: 99000, Bytes: 10})
	_, ok = bk.Next(910)
	gom.Expect(ok).To(gomega.BeFalse())
	bk.Leave("m@1")

	bk.Sync([]Maker{{ID: "m@2"}})
	gom.Expect(bk.Held("m@2")).To(gomega.BeZero())
	second, ok := bk.Next(1000)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(second.Maker.ID).To(gomega.Equal("m@2"))
	bk.Free("h")
	bk.Ended(first.ID, Failed, nil, 1010)
	gom.Expect(bk.Held("m@2")).To(gomega.Equal(int64(10)))
	gom.Expect(bk.Usable()).To(gomega.Equal(1))
}
