package admit

import (
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

// Gate combines endpoint selection, queueing, refusals and the retry budget of one
// pool of endpoints at one instance. It is not safe for concurrent use: the daemon
// guards it with a lock, and measurements call it in simulated time.
type Gate struct {
	pool *route.Pool
	que  Queue
	bdg  retry.Budget
	// plain allows every retry, as a baseline.
	plain bool
}

// NewGate returns the gate of a pool.
func NewGate(pl *route.Pool) *Gate { return &Gate{pool: pl} }

// Pool returns the endpoints of the pool.
func (gt *Gate) Pool() *route.Pool { return gt.pool }

// Queue returns the wait queue of the pool.
func (gt *Gate) Queue() *Queue { return &gt.que }

// UsePlainRetries removes the retry budget. It is a baseline for measurements.
func (gt *Gate) UsePlainRetries() { gt.plain = true }

// EnterResult is the result of [Gate.Enter].
type EnterResult int

// Results of [Gate.Enter].
const (
	// Granted: an endpoint was assigned.
	Granted EnterResult = iota
	// Waits: the request was queued; ready will be called.
	Waits
	// RefusedFull: the queue is full.
	RefusedFull
	// RefusedLate: the request can't meet its deadline.
	RefusedLate
	// RefusedEmpty: the pool has no usable endpoint.
	RefusedEmpty
)

// Enter requests a slot at an endpoint. If the request has to wait, ready is called
// once: with Served and the endpoint, or with the reason why there is none.
func (gt *Gate) Enter(where route.Ask, ask Ask, now clock.Milli, ready func(ep route.Endpoint, out Outcome)) (route.Endpoint, *Ticket, EnterResult) {
	if gt.pool.Usable() == 0 {
		return route.Endpoint{}, nil, RefusedEmpty
	}
	if gt.que.Len() == 0 {
		if ep, out := gt.assign(where, Served, now); out == Served {
			return ep, nil, Granted
		}
	}
	tkt, res := gt.que.Join(ask, now, func(out Outcome, at clock.Milli) {
		ready(gt.assign(where, out, at))
	})
	switch res {
	case Full:
		return route.Endpoint{}, nil, RefusedFull
	case TooLate:
		return route.Endpoint{}, nil, RefusedLate
	}
	return route.Endpoint{}, tkt, Waits
}

// assign picks an endpoint for a request that was served and passes on other outcomes.
func (gt *Gate) assign(where route.Ask, out Outcome, now clock.Milli) (route.Endpoint, Outcome) {
	if out != Served {
		return route.Endpoint{}, out
	}
	ep, ok := gt.pool.Pick(where, now)
	if !ok && len(where.Avoid) > 0 {
		// Only endpoints that were already tried have free slots; use one of
		// those rather than none.
		ep, ok = gt.pool.Pick(route.Ask{Prefix: where.Prefix}, now)
	}
	if !ok {
		return route.Endpoint{}, Late
	}
	return ep, Served
}

// Finish releases a slot and serves queued requests.
func (gt *Gate) Finish(id string, out route.Outcome, took, now clock.Milli) {
	gt.pool.Finish(id, out, took, now)
	gt.Tick(now)
}

// Tick assigns free slots to queued requests, lets ejected endpoints be probed and
// drops requests that can no longer meet their deadlines.
func (gt *Gate) Tick(now clock.Milli) {
	served := true
	for served && gt.pool.Available(route.Ask{}) {
		served = gt.que.Serve(now)
	}
	gt.que.Expire(now)
}

// RecordAttempt records a first attempt, which adds to the retry budget.
func (gt *Gate) RecordAttempt() { gt.bdg.CountAttempt() }

// TakeRetry reports whether one retry is allowed and takes it from the budget. If the
// bounds permit it, a retry beyond the budget is allowed while the queue is empty and
// less than half of the endpoints' capacity is in flight. The budget keeps retries
// from adding to an overload; without an overload, a refusal would only waste the
// work of earlier stages. Refusals and timeouts lower the endpoints' limits, which
// ends this exception without further checks.
func (gt *Gate) TakeRetry(bnd retry.Bounds) bool {
	return gt.plain || gt.bdg.Take() || bnd.Idle() && gt.idle()
}

// idle reports whether no request waits and less than half of the capacity is in use.
func (gt *Gate) idle() bool {
	return gt.que.Len() == 0 && 2*gt.pool.InFlight() < gt.pool.Capacity()
}
