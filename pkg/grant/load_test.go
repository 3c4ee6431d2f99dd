package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// The load of this simulation: a plain pool of 4 endpoints with 6 slots, requests that run for 60 ms and may
// wait for 250 ms, and twice as many of them as the pool can serve, in bursts, in three ranks and four
// workspaces, one of which sends half of all. All instances get as many requests.
const (
	simSlots    = 24
	simRun      = 60
	simWait     = 250
	simOverload = 2.0
	simSpan     = 20 * clock.Second
	simBurst    = 250
	// simSpread is the time over which the requests of a burst arrive.
	simSpread = 50
	// simTransfer is the time of a message between instances.
	simTransfer = 1
	// simPoll is the interval of polling, simHold and simHoldStep how long an instance does not ask again
	// after a refusal.
	simPoll     = 5
	simHold     = 5
	simHoldStep = 0.5
)

// simRequest is a request of the simulation at an instance; instance 0 coordinates the pool.
type simRequest struct {
	instance int
	ask      Ask
	ended    bool
	ent      *Entry
}

// simCounts counts requests and those that are served.
type simCounts struct{ sent, served int }

func (cnt simCounts) share() float64 { return float64(cnt.served) / float64(max(cnt.sent, 1)) }

// simResult has the counts by instance and by rank.
type simResult struct {
	byInstance, byRank map[int]simCounts
	byWorkspace        map[string]simCounts
	all                simCounts
	// messages is the number of messages between instances.
	messages int
}

func (res *simResult) count(req *simRequest, served bool) {
	inc := 0
	if served {
		inc = 1
	}
	add := func(cnt simCounts) simCounts { return simCounts{cnt.sent + 1, cnt.served + inc} }
	res.byInstance[req.instance] = add(res.byInstance[req.instance])
	res.byRank[req.ask.Rank] = add(res.byRank[req.ask.Rank])
	res.byWorkspace[req.ask.Workspace] = add(res.byWorkspace[req.ask.Workspace])
	res.all = add(res.all)
}

// others returns the counts of the instances that do not coordinate.
func (res *simResult) others() (cnt simCounts) {
	for ins, one := range res.byInstance {
		if ins != 0 {
			cnt.sent, cnt.served = cnt.sent+one.sent, cnt.served+one.served
		}
	}
	return cnt
}

func (res *simResult) String() string {
	return fmt.Sprintf("served %.3f of all, coordinator %.3f, others %.3f, ranks %.3f %.3f %.3f, workspaces large %.3f, w1 %.3f, %d messages for %d requests",
		res.all.share(), res.byInstance[0].share(), res.others().share(), res.byRank[0].share(), res.byRank[1].share(), res.byRank[2].share(),
		res.byWorkspace["large"].share(), res.byWorkspace["w1"].share(), res.messages, res.all.sent)
}

// simulate runs the load at a number of instances, with the queue or with polling.
func simulate(instances int, queued bool) *simResult {
	rnd := rand.New(rand.NewPCG(1, uint64(instances)))
	res := &simResult{byInstance: map[int]simCounts{}, byRank: map[int]simCounts{}, byWorkspace: map[string]simCounts{}}
	var que Queue
	busy := 0
	byEntry := map[*Entry]*simRequest{}
	held := map[int]clock.Milli{}
	at := map[clock.Milli][]func(now clock.Milli){}
	start := func(req *simRequest, now, extra clock.Milli) {
		req.ended = true
		res.count(req, true)
		busy++
		at[now+simRun+extra] = append(at[now+simRun+extra], func(clock.Milli) { busy-- })
	}
	perBurst := int(simOverload * simSlots * simBurst / simRun)
	var arrive func(now clock.Milli)
	var poll func(req *simRequest, now clock.Milli)
	refuse := func(req *simRequest) {
		req.ended = true
		res.count(req, false)
	}
	again := func(req *simRequest, now clock.Milli) {
		if now+simPoll > req.ask.Until {
			refuse(req)
			return
		}
		at[now+simPoll] = append(at[now+simPoll], func(now clock.Milli) { poll(req, now) })
	}
	poll = func(req *simRequest, now clock.Milli) {
		switch {
		case req.instance == 0:
			if busy < simSlots {
				start(req, now, 0)
				return
			}
			again(req, now)
		case now < held[req.instance]:
			again(req, now)
		default:
			res.messages += 2
			at[now+simTransfer] = append(at[now+simTransfer], func(now clock.Milli) {
				if busy < simSlots {
					start(req, now, 2*simTransfer)
					return
				}
				back := now + simTransfer
				held[req.instance] = back + simHold + clock.Milli(simHoldStep*float64(instances))
				at[back] = append(at[back], func(now clock.Milli) { again(req, now) })
			})
		}
	}
	arrive = func(now clock.Milli) {
		for i := range perBurst {
			ins := (int(now/simBurst)*perBurst + i) % instances
			wsp := "large"
			if rnd.IntN(2) == 0 {
				wsp = fmt.Sprint("w", 1+rnd.IntN(3))
			}
			req := &simRequest{instance: ins, ask: Ask{Rank: []int{0, 1, 1, 2, 2, 2, 2, 2}[rnd.IntN(8)], Workspace: wsp}}
			now := now + clock.Milli(rnd.IntN(simSpread))
			req.ask.Until, req.ask.Deadline = now+simWait, now+simWait
			if !queued {
				at[now] = append(at[now], func(now clock.Milli) { poll(req, now) })
				continue
			}
			transfer := clock.Milli(0)
			if ins != 0 {
				transfer = simTransfer
				res.messages += 2
			}
			at[now+transfer] = append(at[now+transfer], func(now clock.Milli) {
				ent, _ := que.Join(req.ask, now)
				if ent == nil {
					refuse(req)
					return
				}
				byEntry[ent] = req
			})
		}
	}
	for now := clock.Milli(1); now < simSpan+2*simWait; now++ {
		if now < simSpan && now%simBurst == 1 {
			arrive(now)
		}
		for len(at[now]) > 0 {
			list := at[now]
			delete(at, now)
			for _, work := range list {
				work(now)
			}
		}
		for _, rfs := range que.Expire(now, false) {
			refuse(byEntry[rfs.Entry])
		}
		take := func(*Entry) bool { return busy < simSlots }
		for ent := que.Next(now, take); ent != nil; ent = que.Next(now, take) {
			start(byEntry[ent], now, 2*simTransfer)
		}
		for _, rfs := range que.Expire(now, true) {
			refuse(byEntry[rfs.Entry])
		}
	}
	return res
}

// Guards against slots that go to the coordinator's own requests, to less urgent ones, or to none, at twice the
// load that a pool can serve. Polling fails in all of these.
func TestServedShares(t *testing.T) {
	for _, instances := range []int{8, 66, 195} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			gom := gomega.NewWithT(t)
			polled, queued := simulate(instances, false), simulate(instances, true)
			t.Logf("polling: %v", polled)
			t.Logf("queue:   %v", queued)
			gom.Expect(queued.all.sent).To(gomega.Equal(polled.all.sent))
			gom.Expect(queued.all.served).To(gomega.BeNumerically(">=", polled.all.served))
			gom.Expect(queued.byInstance[0].share()).To(gomega.BeNumerically("~", queued.others().share(), 0.15))
			gom.Expect(queued.byRank[0].share()).To(gomega.BeNumerically(">", 0.99))
			gom.Expect(queued.byRank[1].share()).To(gomega.BeNumerically(">", queued.byRank[2].share()))
			gom.Expect(polled.byInstance[0].share()).To(gomega.BeNumerically(">", polled.others().share()+0.2))
			gom.Expect(polled.byRank[0].share()).To(gomega.BeNumerically("<", 0.8))
		})
	}
}
