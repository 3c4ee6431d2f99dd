package grant

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func always(*Entry) bool { return true }

// joinAll adds requests that may wait for long.
func joinAll(gom gomega.Gomega, que *Queue, asks ...Ask) {
	for _, ask := range asks {
		ask.Until = clock.Hour
		ent, _ := que.Join(ask, 0)
		gom.Expect(ent).NotTo(gomega.BeNil())
	}
}

// serveAll grants slots until the queue is empty, and returns the requests in that order.
func serveAll(que *Queue) (list []Ask) {
	for ent := que.Next(0, always); ent != nil; ent = que.Next(0, always) {
		list = append(list, ent.Ask())
	}
	return list
}

// Guards against slots that go to less urgent requests, and against new requests that go before those that came
// back after a refusal.
func TestOrder(t *testing.T) {
	gom := gomega.NewWithT(t)
	var que Queue
	want := []Ask{
		{Rank: 0, Workspace: "a", Returned: true, Deadline: 390},
		{Rank: 0, Workspace: "a", Deadline: 130},
		{Rank: 0, Workspace: "a", Deadline: 260},
		{Rank: 1, Workspace: "a", Deadline: 1},
	}
	joinAll(gom, &que, want[3], want[2], want[0], want[1])
	got := serveAll(&que)
	for i := range got {
		got[i].Until = 0
	}
	gom.Expect(got).To(gomega.Equal(want))
}

// Guards against a workspace that waits until the burst of another one has been served.
func TestWorkspacesShare(t *testing.T) {
	gom := gomega.NewWithT(t)
	var que Queue
	for i := range 20 {
		joinAll(gom, &que, Ask{Workspace: "large", Deadline: clock.Milli(i)})
	}
	for range 10 {
		que.Next(0, always)
	}
	joinAll(gom, &que, Ask{Workspace: "small"}, Ask{Workspace: "small"})
	var names []string
	for _, ask := range serveAll(&que)[:4] {
		names = append(names, ask.Workspace)
	}
	gom.Expect(names).To(gomega.ConsistOf("large", "small", "large", "small"))
}

// Guards against a request that needs another endpoint than the free one and stops all behind it, and against
// one attempt for each request when there is no slot.
func TestClasses(t *testing.T) {
	gom := gomega.NewWithT(t)
	var que Queue
	for range 100 {
		joinAll(gom, &que, Ask{Class: "x"})
	}
	joinAll(gom, &que, Ask{Rank: 1, Class: "y"})
	tries := 0
	ent := que.Next(0, func(ent *Entry) bool {
		tries++
		return ent.Ask().Class == "y"
	})
	gom.Expect(ent.Ask().Class).To(gomega.Equal("y"))
	gom.Expect(tries).To(gomega.Equal(2))
}

// Guards against requests that wait for a slot which they can't get in time, against a refusal without the time
// until a slot is expected, and against a queue that refuses everything after a pause.
func TestHopelessAreRefusedAtOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	var que Queue
	now := clock.Milli(1000)
	for i := range 30 {
		ent, _ := que.Join(Ask{Until: now + clock.Hour, Deadline: clock.Milli(i)}, now)
		gom.Expect(ent).NotTo(gomega.BeNil())
	}
	for range 10 {
		now += 20
		que.Next(now, always)
	}
	ent, wait := que.Join(Ask{Until: now + 100, Deadline: clock.Hour}, now)
	gom.Expect(ent).To(gomega.BeNil())
	gom.Expect(wait).To(gomega.BeNumerically("~", 400, 80))
	ent, _ = que.Join(Ask{Until: now + 1000, Deadline: clock.Hour}, now)
	gom.Expect(ent).NotTo(gomega.BeNil())
	for range 20 {
		ovt, _ := que.Join(Ask{Rank: -1, Until: now + clock.Hour}, now)
		gom.Expect(ovt).NotTo(gomega.BeNil())
	}
	for range 120 {
		joinAll(gom, &que, Ask{Rank: -1})
	}
	list := que.Expire(now, true)
	gom.Expect(list).To(gomega.HaveLen(1))
	gom.Expect(list[0].Entry).To(gomega.BeIdenticalTo(ent))
	gom.Expect(list[0].Wait).To(gomega.BeNumerically(">", 1000))
	serveAll(&que)
	ent, _ = que.Join(Ask{Until: now + 1}, now+clock.Second)
	gom.Expect(ent).NotTo(gomega.BeNil())
}

// Guards against a full queue that refuses urgent requests, or grows.
func TestFullQueueGivesWayToUrgentOnes(t *testing.T) {
	gom := gomega.NewWithT(t)
	var que Queue
	for range maxWaiting {
		joinAll(gom, &que, Ask{Rank: 1})
	}
	ent, _ := que.Join(Ask{Rank: 1, Until: clock.Hour}, 0)
	gom.Expect(ent).To(gomega.BeNil())
	joinAll(gom, &que, Ask{Rank: 0})
	gom.Expect(que.Len()).To(gomega.Equal(maxWaiting))
	gom.Expect(que.Expire(0, true)).To(gomega.HaveLen(1))
}

// Guards, for any course of events, against requests without an outcome or with two, against more grants than
// slots, against a less urgent request that goes first, against grants after a request's time, and against a
// workspace that falls behind others of its rank that it shares the slots with.
func TestAnyCourse(t *testing.T) {
	rapid.Check(t, func(rpt *rapid.T) {
		gom := gomega.NewWithT(rpt)
		var que Queue
		now, slots, free := clock.Milli(1), rapid.IntRange(1, 8).Draw(rpt, "slots"), 0
		free = slots
		waiting, outcomes := map[*Entry]bool{}, map[*Entry]int{}
		// lead counts the grants in a row to each workspace of a rank while the other one of that rank waited. It
		// starts anew when a workspace of the rank has no request left: fair queueing compares workspaces only as
		// long as both wait, and one whose callers leave has no claim to the slots that it didn't use.
		lead := map[string]int{}
		end := func(ent *Entry) {
			outcomes[ent]++
			gom.Expect(outcomes[ent]).To(gomega.Equal(1))
			gom.Expect(waiting[ent]).To(gomega.BeTrue())
			delete(waiting, ent)
			for oth := range waiting {
				if oth.Ask().Rank == ent.Ask().Rank && oth.Ask().Workspace == ent.Ask().Workspace {
					return
				}
			}
			for _, wsp := range []string{"a", "b"} {
				lead[fmt.Sprint(ent.Ask().Rank, wsp)] = 0
			}
		}
		serve := func() {
			for _, rfs := range que.Expire(now, false) {
				gom.Expect(now).To(gomega.BeNumerically(">", rfs.Entry.Ask().Until))
				end(rfs.Entry)
			}
			take := func(*Entry) bool { return free > 0 }
			for ent := que.Next(now, take); ent != nil; ent = que.Next(now, take) {
				free--
				gom.Expect(free).To(gomega.BeNumerically(">=", 0))
				ask := ent.Ask()
				gom.Expect(ask.Until).To(gomega.BeNumerically(">=", now))
				oth := map[string]string{"a": "b", "b": "a"}[ask.Workspace]
				contended := false
				for wtg := range waiting {
					gom.Expect(wtg.Ask().Rank).To(gomega.BeNumerically(">=", ask.Rank))
					contended = contended || wtg.Ask().Rank == ask.Rank && wtg.Ask().Workspace == oth
				}
				key, other := fmt.Sprint(ask.Rank, ask.Workspace), fmt.Sprint(ask.Rank, oth)
				lead[other] = 0
				if contended {
					lead[key]++
					gom.Expect(lead[key]).To(gomega.BeNumerically("<=", 2), "in a row while another workspace waits")
				}
				end(ent)
			}
			for _, rfs := range que.Expire(now, true) {
				end(rfs.Entry)
			}
			gom.Expect(que.Len()).To(gomega.Equal(len(waiting)))
			if free > 0 {
				gom.Expect(waiting).To(gomega.BeEmpty())
			}
		}
		for range rapid.IntRange(1, 200).Draw(rpt, "events") {
			switch rapid.IntRange(0, 3).Draw(rpt, "event") {
			case 0, 1:
				ent, _ := que.Join(Ask{
					Rank: rapid.IntRange(0, 2).Draw(rpt, "rank"), Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(rpt, "workspace"),
					Until: now + clock.Milli(rapid.IntRange(0, 200).Draw(rpt, "wait")), Deadline: now + clock.Milli(rapid.IntRange(0, 900).Draw(rpt, "left")),
					Returned: rapid.Bool().Draw(rpt, "returned"),
				}, now)
				if ent != nil {
					waiting[ent] = true
				}
			case 2:
				free = min(free+1, slots)
			case 3:
				for ent := range waiting {
					gom.Expect(que.Leave(ent, now)).To(gomega.BeTrue())
					gom.Expect(que.Leave(ent, now)).To(gomega.BeFalse())
					end(ent)
					break
				}
			}
			now += clock.Milli(rapid.IntRange(0, 30).Draw(rpt, "span"))
			serve()
		}
		now += clock.Hour
		serve()
		gom.Expect(waiting).To(gomega.BeEmpty())
		gom.Expect(que.Len()).To(gomega.BeZero())
		gom.Expect(slices.Max([]int{len(que.levels), len(que.classes)})).To(gomega.BeZero())
	})
}
