package limit

import "amaranthvalve/pkg/clock"

// leastRate is what an endpoint gets that names less, in requests a second: without any it
// would never be heard to need less no longer.
const leastRate = 0.25

const (
	// newFor is how long an instance that begins to keep rates may send but newShare of them:
	// whoever kept them before may not know of it yet, and both together must stay within one
	// and a half times the rate.
	newFor   = 5 * clock.Second
	newShare = 0.5
)

// KeptShare gives the part of endpoints' rates that the instance which keeps them may send. silent
// is how many others would keep them if they weren't silent, term how long this instance has.
// One that is silent may be keeping them still, for others; if two are, this instance rather is
// cut off itself.
func KeptShare(silent int, term clock.Milli) float64 {
	switch {
	case silent > 1:
		return 0
	case silent > 0 || term < newFor:
		return newShare
	}
	return 1
}

// Rates spaces the requests to endpoints that name how many they take a second. One request may
// come sooner than its turn, so that what nobody sent in time isn't lost (the generic cell rate
// algorithm with a burst of two). The zero value limits nothing. It is not safe for concurrent
// use.
type Rates struct {
	byID map[string]*pace
}

// pace is when an endpoint's next request has its turn, in milliseconds: at a hundred a second
// whole ones would be a tenth wrong.
type pace struct {
	each float64
	next float64
}

// Sync takes the rates of endpoints, by their names. Those that had one keep their turn.
func (rts *Rates) Sync(perSecond map[string]float64) {
	byID := make(map[string]*pace, len(perSecond))
	for id, rate := range perSecond {
		pce, ok := rts.byID[id]
		if !ok {
			pce = &pace{}
		}
		pce.each = float64(clock.Second) / max(rate, leastRate)
		byID[id] = pce
	}
	rts.byID = byID
}

// Has tells whether an endpoint names a rate.
func (rts *Rates) Has(id string) bool {
	_, ok := rts.byID[id]
	return ok
}

// Wait gives how long it is until an endpoint may be sent a request.
func (rts *Rates) Wait(id string, now clock.Milli) clock.Milli {
	pce, ok := rts.byID[id]
	if !ok || pce.next <= float64(now) {
		return 0
	}
	return clock.Milli(pce.next-float64(now)) + 1
}

// Each gives the time between two requests to an endpoint; zero for any.
func (rts *Rates) Each(id string) clock.Milli {
	if pce, ok := rts.byID[id]; ok {
		return clock.Milli(pce.each) + 1
	}
	return 0
}

// Take notes a request to an endpoint, by somebody who may send a share of what it takes.
func (rts *Rates) Take(id string, share float64, now clock.Milli) {
	pce, ok := rts.byID[id]
	if !ok {
		return
	}
	each := pce.each / share
	pce.next = max(pce.next, float64(now)-each) + each
}
