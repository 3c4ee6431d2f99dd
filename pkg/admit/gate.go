package admit

import (
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

// Gate joins the decisions about one pool of endpoints at one instance: which
// endpoint, who waits, who is refused, and whether there may be a retry. It is
// not safe for concurrent use; the daemon holds a lock around it, and the
// measurements call it in fake time.
type Gate struct {
	rt  *route.Pool
	que Queue
	bdg retry.Budget
	// plain makes every retry allowed, for the baseline.
	plain bool
}

// NewGate returns the gate of a pool.
func NewGate(rt *route.Pool) *Gate { return &Gate{rt: rt} }

// Pool gives the pool's endpoints.
func (gt *Gate) Pool() *route.Pool { return gt.rt }

// Queue gives the line before the pool.
func (gt *Gate) Queue() *Queue { return &gt.que }

// UsePlainRetries takes the bound off the retries: a baseline.
func (gt *Gate) UsePlainRetries() { gt.plain = true }

// Answer is what became of a wish to use the pool.
type Answer int

// The answers.
const (
	// Granted: the endpoint was taken.
	Granted Answer = iota
	// Waits: ready will be told.
	Waits
	// RefusedFull, RefusedLate, RefusedEmpty: nothing was taken.
	RefusedFull
	RefusedLate
	RefusedEmpty
)

// Enter asks for a place at an endpoint. When it must be waited for, ready is
// told once: Served with an endpoint, or why there is none.
func (gt *Gate) Enter(where route.Ask, ask Ask, now clock.Milli, ready func(ep route.Endpoint, word Word)) (route.Endpoint, *Ticket, Answer) {
	if gt.rt.Usable() == 0 {
		return route.Endpoint{}, nil, RefusedEmpty
	}
	if gt.que.Len() == 0 {
		if ep, word := gt.give(where, Served, now); word == Served {
			return ep, nil, Granted
		}
	}
	tkt, ver := gt.que.Join(ask, now, func(word Word, at clock.Milli) {
		ready(gt.give(where, word, at))
	})
	switch ver {
	case Full:
		return route.Endpoint{}, nil, RefusedFull
	case TooLate:
		return route.Endpoint{}, nil, RefusedLate
	}
	return route.Endpoint{}, tkt, Waits
}

func (gt *Gate) give(where route.Ask, word Word, now clock.Milli) (route.Endpoint, Word) {
	if word != Served {
		return route.Endpoint{}, word
	}
	ep, ok := gt.rt.Pick(where, now)
	if !ok && len(where.Avoid) > 0 {
		// Only endpoints that were tried before are free: better one of those
		// than none.
		ep, ok = gt.rt.Pick(route.Ask{Prefix: where.Prefix}, now)
	}
	if !ok {
		return route.Endpoint{}, Late
	}
	return ep, Served
}

// Finish gives a place back and serves those who wait.
func (gt *Gate) Finish(id string, ver route.Verdict, took, now clock.Milli) {
	gt.rt.Finish(id, ver, took, now)
	gt.Tick(now)
}

// Tick hands out free places, gives up those who are late and lets benched
// endpoints be probed.
func (gt *Gate) Tick(now clock.Milli) {
	served := true
	for served && gt.rt.Room(route.Ask{}) {
		served = gt.que.Serve(now)
	}
	gt.que.Expire(now)
}

// First notes a first attempt, which pays for retries.
func (gt *Gate) First() { gt.bdg.First() }

// MayRetry asks for one retry. Where the bounds allow it there may be one beyond
// the budget while nobody waits and less than half of what the endpoints can
// take is under way: the budget is there so that retries don't add to an
// overload, and where there is none a refusal throws away what the stages before
// have cost. Endpoints that refuse or time out lower their limits, so that this
// way closes by itself.
func (gt *Gate) MayRetry(bnd retry.Bounds) bool {
	return gt.plain || gt.bdg.Take() || bnd.Idle() && gt.idle()
}

func (gt *Gate) idle() bool {
	return gt.que.Len() == 0 && 2*gt.rt.InFlight() < gt.rt.Capacity()
}
