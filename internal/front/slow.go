package front

import (
	"context"
	"slices"
	"time"

	"amaranthvalve/internal/coord"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/route"
)

const (
	// slowFactor times the upper bound of a route's first-byte times, but at least minSlowDelay,
	// is how long a repeatable final call waits for its first byte before it is tried at another
	// endpoint. Otherwise a hung endpoint would hold a request until its route's timeout, while
	// other endpoints could answer within some tens of milliseconds. internal/stage uses a factor
	// of four too.
	slowFactor   = 4
	minSlowDelay = 250 * clock.Milli(1)
)

// cancelIfSlow starts a timer that cancels an attempt which takes far longer than others did, if
// another attempt is possible. A request that can't be repeated, or whose inputs can't be fetched
// again, keeps all the time that is left. Before the attempt is canceled, the next one must have a
// placement, be allowed, and be paid for from the pool's retry budget: otherwise there would be no
// next attempt, while this one may still be answered.
func (run *finalRun) cancelIfSlow(ctx context.Context, cgd *cancelGuard, cancel func()) *time.Timer {
	fr, cl := run.fr, run.cl
	if !cl.route.Repeatable() || run.mayHaveRun+1 >= cl.route.Attempts() || len(cl.inputs) > 0 || cl.trial {
		return time.NewTimer(maxRequestTime.Duration())
	}
	ticket, ask := cl.ticket(), cl.placeAsk(slices.Clone(run.avoid))
	return time.AfterFunc(run.slowDelay().Duration(), func() {
		next, ok := run.reserveNext(ctx, ticket, ask)
		if !ok {
			return
		}
		moved := cgd.cancelPending(func() bool {
			if !run.maySend() || !fr.pools.TakeRetry(cl.pool.Name(), fr.set.Control.View()) {
				return false
			}
			run.nextPlacement = &next
			return true
		}, cancel)
		if !moved {
			run.releaseUnused(next)
		}
	})
}

// slowDelay returns how long a repeatable final call waits for its first byte.
func (run *finalRun) slowDelay() clock.Milli {
	fr, cl := run.fr, run.cl
	return max(minSlowDelay, slowFactor*fr.firstByteTimes.upperBound(cl.route.Name(), cl.route.TargetLatency(), fr.set.Clock.Now()))
}

// maySend reports whether the request may still be sent to an endpoint.
func (run *finalRun) maySend() bool {
	return run.fr.tokenValid(run.cl) && !run.fr.isQuarantined(run.cl)
}

// reserveNext waits for a placement of the next attempt while the current one is in flight.
func (run *finalRun) reserveNext(ctx context.Context, ticket string, ask place.Ask) (coord.Placement, bool) {
	fr := run.fr
	for run.maySend() {
		if next, ok := fr.coord.Place(ctx, fr.set.Control.View(), run.cl.pool.Name(), ticket, ask); ok {
			return next, true
		}
		select {
		case <-time.After(minSlowDelay.Duration()):
		case <-ctx.Done():
			return coord.Placement{}, false
		}
	}
	return coord.Placement{}, false
}

// releaseUnused frees the slot of a placement to which nothing was sent.
func (run *finalRun) releaseUnused(tgt coord.Placement) {
	fr, pool := run.fr, run.cl.pool.Name()
	if tgt.Ticket == "" {
		fr.pools.Finish(pool, tgt.ID, route.Cancelled, 0)
		fr.coord.ReleaseSlot(pool, tgt, false)
		return
	}
	fr.coord.RecordEnd(pool, tgt, place.Neutral, 0)
}

// releaseNext frees the slot reserved for a next attempt that is not made.
func (run *finalRun) releaseNext() {
	if run.nextPlacement != nil {
		run.releaseUnused(*run.nextPlacement)
	}
}
