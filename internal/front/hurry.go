package front

import (
	"context"
	"slices"
	"time"

	"amaranthvalve/internal/homes"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/route"
)

const (
	// patience is how many times what it hardly takes a final call that may be repeated
	// may take to its first byte before it is tried at another endpoint, and never less
	// than minPatience. A hung endpoint would otherwise hold a request until its route's
	// time is up, while others could answer it in some tens of milliseconds. Four times
	// is what internal/stage goes by too.
	patience    = 4
	minPatience = 250 * clock.Milli(1)
)

// hurry ends an attempt that takes far longer than others did, if there may be another.
// One that can't be repeated, or whose inputs can't be had again, has all the time that is
// left. The next one has its endpoint, is allowed, and paid for from the pool's budget, before
// this one is ended: otherwise there would be none, and this one may still be answered.
func (run *running) hurry(ctx context.Context, ovt *overtime, cancel func()) *time.Timer {
	fr, cl := run.fr, run.cl
	if !cl.route.Repeatable() || run.ran+1 >= cl.route.Attempts() || len(cl.inputs) > 0 || cl.trial {
		return time.NewTimer(longestWait.Duration())
	}
	careful := fr.firsts.careful(cl.route.Name(), cl.route.Goal(), fr.set.Clock.Now())
	ticket, ask := cl.ticket(), cl.want(slices.Clone(run.avoid))
	return time.AfterFunc(max(minPatience, patience*careful).Duration(), func() {
		next, ok := run.find(ctx, ticket, ask)
		if !ok {
			return
		}
		moved := ovt.end(func() bool {
			if !run.mayRepeat() || !fr.pools.Repeat(cl.pool.Name(), fr.set.Control.View()) {
				return false
			}
			run.next = &next
			return true
		}, cancel)
		if !moved {
			run.giveUp(next)
		}
	})
}

// mayRepeat tells whether the request may still be sent to an endpoint.
func (run *running) mayRepeat() bool {
	return run.fr.stillAllowed(run.cl) && !run.fr.isQuarantined(run.cl)
}

// find waits for an endpoint that takes the next attempt while the present one is under way.
func (run *running) find(ctx context.Context, ticket string, ask place.Ask) (homes.Seat, bool) {
	fr := run.fr
	for run.mayRepeat() {
		if next, ok := fr.homes.Place(ctx, fr.set.Control.View(), run.cl.pool.Name(), ticket, ask); ok {
			return next, true
		}
		select {
		case <-time.After(minPatience.Duration()):
		case <-ctx.Done():
			return homes.Seat{}, false
		}
	}
	return homes.Seat{}, false
}

// giveUp gives an endpoint's place back to which nothing was sent.
func (run *running) giveUp(seat homes.Seat) {
	fr, pool := run.fr, run.cl.pool.Name()
	if seat.Ticket == "" {
		fr.pools.Finish(pool, seat.ID, route.Neutral, 0)
		return
	}
	fr.homes.End(pool, seat, place.Untold, 0)
}

// giveUpNext gives the place of an attempt back that is not made.
func (run *running) giveUpNext() {
	if run.next != nil {
		run.giveUp(*run.next)
	}
}
