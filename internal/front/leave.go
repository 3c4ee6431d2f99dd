package front

import (
	"context"
	"sync"

	"amaranthvalve/internal/chain"
	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

// wholes has the time of whole requests, from their arrival to the end of their answer, by
// route. The zero value has measured nothing.
type wholes struct {
	mtx     sync.Mutex
	byRoute map[string]*admit.Need
}

// sample notes the time of a request that was answered.
func (whl *wholes) sample(route string, took, now clock.Milli) {
	whl.mtx.Lock()
	defer whl.mtx.Unlock()
	if whl.byRoute == nil {
		whl.byRoute = map[string]*admit.Need{}
	}
	ned, ok := whl.byRoute[route]
	if !ok {
		ned = &admit.Need{}
		whl.byRoute[route] = ned
	}
	ned.Sample(took, now)
}

// careful gives what a route's request will hardly exceed; guess stands for it until it
// was measured.
func (whl *wholes) careful(route string, guess, now clock.Milli) clock.Milli {
	whl.mtx.Lock()
	defer whl.mtx.Unlock()
	if ned, ok := whl.byRoute[route]; ok {
		return ned.Careful(guess, now)
	}
	return guess
}

// Leave makes each answer from now on ask the caller to close its connection; end is the
// instant at which the process ends.
func (fr *Front) Leave(end clock.Milli) { fr.ends.Store(int64(end)) }

// leaving tells whether a planned stop is under way, and when it ends.
func (fr *Front) leaving() (end clock.Milli, is bool) {
	end = clock.Milli(fr.ends.Load())
	return end, end > 0
}

// stay refuses during a planned stop what will probably not be answered before its end.
// Callers use an address for some seconds after it was taken out of the answers to "which
// address", and longer if they hear nothing newer. An answer that takes seconds and was
// begun then is broken off by the end of the process; refused at once, the request goes
// to another instance and is answered there.
func (fr *Front) stay(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	now := fr.set.Clock.Now()
	if end, is := fr.leaving(); is && now+fr.wholes.careful(cl.route.Name(), cl.route.Goal(), now) > end {
		return outcm.Refuse(outcm.Stopping, soonest, "this instance stops before an answer would be whole; use another address")
	}
	return nxt(ctx, cl)
}
