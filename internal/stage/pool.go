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

// retryAfterBase is the base of the retry-after delay of a refused caller.
const retryAfterBase = 500 * clock.Milli(1)

// pool is the admission gate of one pool of endpoints, protected by a mutex. The mutex is held
// for decisions only, never during a call.
type pool struct {
	mtx  sync.Mutex
	gate *admit.Gate
	rng  *rand.Rand
}

type grant struct {
	ep  route.Endpoint
	out admit.Outcome
}

func newPool(zone string) *pool {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &pool{gate: admit.NewGate(route.New(zone, rng)), rng: rng}
}

// acquire takes a slot at an endpoint, after waiting in the queue if necessary. The outcome of
// the result is pending if a slot was taken.
func (pl *pool) acquire(ctx context.Context, ask route.Ask, adm admit.Ask, clk clock.Clock) (route.Endpoint, outcm.Result) {
	granted := make(chan grant, 1)
	pl.mtx.Lock()
	ep, tkt, ans := pl.gate.Enter(ask, adm, clk.Now(), func(ep route.Endpoint, out admit.Outcome) { granted <- grant{ep: ep, out: out} })
	pl.mtx.Unlock()
	switch ans {
	case admit.Granted:
		return ep, outcm.Result{}
	case admit.RefusedEmpty:
		return route.Endpoint{}, pl.refuse(outcm.NoEndpoint, "the pool has no usable endpoint")
	case admit.RefusedFull:
		return route.Endpoint{}, pl.refuse(outcm.QueueFull, "the queue of the pool is full")
	case admit.RefusedLate:
		return route.Endpoint{}, pl.refuse(outcm.DeadlineTooShort, "the expected wait exceeds the deadline")
	}
	return pl.wait(ctx, tkt, granted)
}

func (pl *pool) wait(ctx context.Context, tkt *admit.Ticket, granted chan grant) (route.Endpoint, outcm.Result) {
	select {
	case grt := <-granted:
		switch grt.out {
		case admit.Late:
			return route.Endpoint{}, pl.refuse(outcm.DeadlineTooShort, "no slot became free in time")
		case admit.Displaced:
			return route.Endpoint{}, pl.refuse(outcm.QueueFull, "the queue of the pool is full; displaced by a request of higher priority")
		}
		return grt.ep, outcm.Result{}
	case <-ctx.Done():
	}
	pl.mtx.Lock()
	pl.gate.Queue().Leave(tkt)
	pl.mtx.Unlock()
	select {
	case grt := <-granted:
		// The slot was granted at the same moment: release it.
		if grt.out == admit.Served {
			pl.finish(grt.ep.ID, route.Cancelled, 0, 0)
		}
	default:
	}
	return route.Endpoint{}, resultOfContext(ctx)
}

// resultOfContext returns the result of a request whose context ended before anything was sent.
func resultOfContext(ctx context.Context) outcm.Result {
	if ctx.Err() == context.DeadlineExceeded {
		return outcm.New(outcm.NotRun, outcm.DeadlinePassed, "the deadline passed while the request was queued")
	}
	return outcm.New(outcm.NotRun, outcm.CallerGone, "the caller disconnected")
}

func (pl *pool) refuse(rs outcm.Reason, detail string) outcm.Result {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	return outcm.Refuse(rs, retry.Backoff(retryAfterBase, 1, pl.rng), detail)
}

// finish releases a slot and serves the queue.
func (pl *pool) finish(id string, out route.Outcome, took, now clock.Milli) {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.gate.Finish(id, out, took, now)
}

// tick removes requests that can no longer be served in time and lets ejected endpoints be
// probed.
func (pl *pool) tick(now clock.Milli) {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.gate.Tick(now)
}

func (pl *pool) takeRetry(bnd retry.Bounds) bool {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	return pl.gate.TakeRetry(bnd)
}

func (pl *pool) recordFirst() {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.gate.RecordAttempt()
}
