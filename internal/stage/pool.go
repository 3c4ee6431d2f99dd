package stage

import (
	"context"
	"math/rand/v2"
	"sync"

	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

// comeBack is the base span after which a refused caller may come back.
const comeBack = 500 * clock.Milli(1)

// pool is the gate of one pool of endpoints behind a lock. The lock is held for
// decisions only, never across a call.
type pool struct {
	mtx  sync.Mutex
	gate *admit.Gate
	rng  *rand.Rand
}

type grant struct {
	ep   route.Endpoint
	word admit.Outcome
}

func newPool(zone string) *pool {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &pool{gate: admit.NewGate(route.New(zone, rng)), rng: rng}
}

// acquire takes a place at an endpoint, waiting in line if it must. The result
// is pending when a place was taken.
func (pl *pool) acquire(ctx context.Context, ask route.Ask, adm admit.Ask, clk clock.Clock) (route.Endpoint, outcm.Result) {
	granted := make(chan grant, 1)
	pl.mtx.Lock()
	ep, tkt, ans := pl.gate.Enter(ask, adm, clk.Now(), func(ep route.Endpoint, word admit.Outcome) { granted <- grant{ep: ep, word: word} })
	pl.mtx.Unlock()
	switch ans {
	case admit.Granted:
		return ep, outcm.Result{}
	case admit.RefusedEmpty:
		return route.Endpoint{}, pl.refuse(outcm.NoEndpoint, "the pool has no endpoint that takes work")
	case admit.RefusedFull:
		return route.Endpoint{}, pl.refuse(outcm.QueueFull, "the pool's queue is full")
	case admit.RefusedLate:
		return route.Endpoint{}, pl.refuse(outcm.DeadlineTooShort, "the wait ahead exceeds the deadline")
	}
	return pl.wait(ctx, tkt, granted)
}

func (pl *pool) wait(ctx context.Context, tkt *admit.Ticket, granted chan grant) (route.Endpoint, outcm.Result) {
	select {
	case grt := <-granted:
		switch grt.word {
		case admit.Late:
			return route.Endpoint{}, pl.refuse(outcm.DeadlineTooShort, "no place was free in time")
		case admit.Displaced:
			return route.Endpoint{}, pl.refuse(outcm.QueueFull, "the pool's queue is full, and the place went to a higher priority")
		}
		return grt.ep, outcm.Result{}
	case <-ctx.Done():
	}
	pl.mtx.Lock()
	pl.gate.Queue().Leave(tkt)
	pl.mtx.Unlock()
	select {
	case grt := <-granted:
		// The turn came in the same moment: hand the place back.
		if grt.word == admit.Served {
			pl.finish(grt.ep.ID, route.Cancelled, 0, 0)
		}
	default:
	}
	return route.Endpoint{}, gone(ctx)
}

// gone tells why a request's context ended before anything was sent.
func gone(ctx context.Context) outcm.Result {
	if ctx.Err() == context.DeadlineExceeded {
		return outcm.New(outcm.NotRun, outcm.DeadlinePassed, "the deadline passed while waiting")
	}
	return outcm.New(outcm.NotRun, outcm.CallerGone, "the caller went away")
}

func (pl *pool) refuse(rs outcm.Reason, detail string) outcm.Result {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	return outcm.Refuse(rs, retry.Backoff(comeBack, 1, pl.rng), detail)
}

// finish gives a place back and serves those who wait.
func (pl *pool) finish(id string, ver route.Outcome, took, now clock.Milli) {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.gate.Finish(id, ver, took, now)
}

// tick gives up late requests and lets benched endpoints be probed.
func (pl *pool) tick(now clock.Milli) {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.gate.Tick(now)
}

func (pl *pool) mayRetry(bnd retry.Bounds) bool {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	return pl.gate.TakeRetry(bnd)
}

func (pl *pool) first() {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.gate.RecordAttempt()
}
