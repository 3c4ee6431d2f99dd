package hedge

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"amaranthvalve/pkg/clock"
)

// load is a pool under load in simulated time: endpoints with slots, of which some are slow for moments.
type load struct {
	share     float64
	endpoints int
	slots     int
	// spacing is the mean time between two requests in microseconds.
	spacing float64
	// slow is the number of endpoints that are slow at any time, for slowFor, by slowFactor.
	slow int
	rng  *rand.Rand
	bdg  Budget
	tms  Times
	// waiting are the requests without a slot, in the order of their arrival.
	waiting []*simRequest
	busy    []int
	slowTo  []float64
	events  events
	took    []float64
	hedged  int
	now     float64
}

const (
	slowFactor = 2.5
	slowFor    = 600e3
	// service is the mean time of an answer in microseconds.
	service = 100e3
)

// simRequest is a request, with its attempts in flight.
type simRequest struct {
	arrived  float64
	sent     float64
	done     bool
	attempts []*simAttempt
}

type simAttempt struct {
	request  *simRequest
	endpoint int
	ended    bool
}

// event is something that happens at a time.
type event struct {
	at   float64
	work func()
}

type events []event

func (evs events) Len() int           { return len(evs) }
func (evs events) Less(i, j int) bool { return evs[i].at < evs[j].at }
func (evs events) Swap(i, j int)      { evs[i], evs[j] = evs[j], evs[i] }
func (evs *events) Push(val any)      { *evs = append(*evs, val.(event)) }
func (evs *events) Pop() any {
	last := (*evs)[len(*evs)-1]
	*evs = (*evs)[:len(*evs)-1]
	return last
}

func (lod *load) after(span float64, work func()) {
	heap.Push(&lod.events, event{at: lod.now + span, work: work})
}

func (lod *load) milli() clock.Milli { return clock.Milli(lod.now/1000) + clock.Second }

// freeSlot returns the least busy endpoint of two that are chosen at random, or any with a free slot.
func (lod *load) freeSlot(avoid int) (int, bool) {
	best := -1
	begin := lod.rng.IntN(lod.endpoints)
	for i := range lod.endpoints {
		ep := (begin + i) % lod.endpoints
		if ep != avoid && lod.busy[ep] < lod.slots && (best < 0 || lod.busy[ep] < lod.busy[best]) {
			best = ep
		}
	}
	return best, best >= 0
}

// send sends an attempt; the time of an answer has a deviation of a quarter.
func (lod *load) send(rqs *simRequest, ep int) {
	att := &simAttempt{request: rqs, endpoint: ep}
	rqs.attempts = append(rqs.attempts, att)
	lod.busy[ep]++
	took := service * (0.75 + 0.5*lod.rng.Float64())
	if lod.slowTo[ep] > lod.now {
		took *= slowFactor
	}
	began := lod.now
	lod.after(took, func() {
		if att.ended {
			return
		}
		rqs.done = true
		lod.took = append(lod.took, lod.now-rqs.arrived)
		lod.tms.Add(clock.Milli((lod.now-began)/1000), lod.milli())
		for i, oth := range rqs.attempts {
			if oth.ended {
				continue
			}
			oth.ended = true
			lod.busy[oth.endpoint]--
			if oth != att && i == 0 {
				lod.tms.Add(clock.Milli((lod.now-rqs.sent)/1000), lod.milli())
			}
		}
		lod.dispatch()
	})
}

// dispatch sends waiting requests while there are free slots.
func (lod *load) dispatch() {
	for len(lod.waiting) > 0 {
		ep, ok := lod.freeSlot(-1)
		if !ok {
			return
		}
		rqs := lod.waiting[0]
		lod.waiting = lod.waiting[1:]
		rqs.sent = lod.now
		lod.bdg.CountRequest(lod.share)
		lod.send(rqs, ep)
		if delay := lod.tms.Delay(lod.share, lod.milli()); delay > 0 && lod.share > 0 {
			lod.after(float64(delay)*1000, func() { lod.hedge(rqs, ep, delay) })
		}
	}
}

func (lod *load) hedge(rqs *simRequest, first int, delay clock.Milli) {
	cse := Case{Share: lod.share, Repeatable: true, Used: 1, Attempts: 3, Delay: delay, Left: clock.Second, Affordable: lod.bdg.Affordable()}
	if rqs.done || len(lod.waiting) > 0 || cse.Judge() != None {
		return
	}
	if ep, ok := lod.freeSlot(first); ok && lod.bdg.Take() {
		lod.hedged++
		lod.send(rqs, ep)
	}
}

// run sends requests and returns the 95th and 99th percentile of their times in ms.
func (lod *load) run(requests int) (p95, p99 float64) {
	lod.rng = rand.New(rand.NewPCG(1, 2))
	lod.busy, lod.slowTo = make([]int, lod.endpoints), make([]float64, lod.endpoints)
	arrivals := rand.New(rand.NewPCG(3, 4))
	at := 0.0
	for range requests {
		at += arrivals.ExpFloat64() * lod.spacing
		lod.after(at, func() {
			lod.waiting = append(lod.waiting, &simRequest{arrived: lod.now})
			lod.dispatch()
		})
	}
	for moment := 0.0; moment < at; moment += slowFor {
		lod.after(moment, func() {
			for _, ep := range arrivals.Perm(lod.endpoints)[:lod.slow] {
				lod.slowTo[ep] = lod.now + slowFor
			}
		})
	}
	for len(lod.events) > 0 {
		evt := heap.Pop(&lod.events).(event)
		lod.now = evt.at
		evt.work()
	}
	slices.Sort(lod.took)
	return lod.took[len(lod.took)*95/100] / 1000, lod.took[len(lod.took)*99/100] / 1000
}

// TestSlowMoments is a pool of 100 endpoints with 6 slots at a quarter of its capacity, of which 15 at a time are slow
// by 2.5 for 600 ms. Guards against hedges that do not cut the slow answers, or cost more than the share. The upper
// bounds leave room for the variance between seeds.
func TestSlowMoments(t *testing.T) {
	const requests = 20000
	without := &load{endpoints: 100, slots: 6, spacing: 666, slow: 15}
	p95, p99 := without.run(requests)
	t.Logf("share 0: p95 %.0f ms, p99 %.0f ms", p95, p99)
	for _, share := range []float64{0.05, 0.1, 0.2} {
		with := &load{share: share, endpoints: 100, slots: 6, spacing: 666, slow: 15}
		h95, h99 := with.run(requests)
		extra := float64(with.hedged) / requests
		t.Logf("share %g: p95 %.0f ms, p99 %.0f ms, extra attempts %.3f", share, h95, h99, extra)
		if extra > share || len(with.took) != requests {
			t.Fatalf("%g extra attempts, %d answers", extra, len(with.took))
		}
		if share == MaxShare && (h95 > 0.95*p95 || h99 > 0.85*p99) {
			t.Fatalf("p95 %.0f ms, p99 %.0f ms", h95, h99)
		}
	}
}

// TestNoFreeSlots is a pool whose slots are all taken, with requests waiting. Guards against hedges that take the slots
// for which requests wait.
func TestNoFreeSlots(t *testing.T) {
	const requests = 5000
	without := &load{endpoints: 10, slots: 2, spacing: 4500, slow: 1}
	p95, p99 := without.run(requests)
	with := &load{share: MaxShare, endpoints: 10, slots: 2, spacing: 4500, slow: 1}
	h95, h99 := with.run(requests)
	t.Logf("p95 %.0f to %.0f ms, p99 %.0f to %.0f ms, %d hedges", p95, h95, p99, h99, with.hedged)
	if with.hedged > requests/100 || h95 > 1.01*p95 || h99 > 1.01*p99 {
		t.Fatal("hedges at a pool without free slots")
	}
}
