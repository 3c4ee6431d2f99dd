package pools

import (
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// rejectPause is how long a brittle endpoint gets no request after it has rejected one: those that are
// on their way may be rejected as well.
const rejectPause = clock.Second

// IsBrittle reports whether the endpoints of a plain pool fall over when they reject many requests, so
// that requests need a slot.
func (pls *Pools) IsBrittle(pool string) bool {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	return pst != nil && pst.plain != nil && pst.brittle
}

// HasBrittleEngines reports whether the engines of a pool fall over when they reject many requests.
func (pls *Pools) HasBrittleEngines(pool string) bool {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	return pst != nil && pst.engines != nil && pst.brittle
}

// TakeSlot grants a slot of the least used endpoint of a brittle plain pool to a request, until the
// ticket is released or expires. share is the part of the slots that this instance may use, rateShare that of the
// rates. It returns no ID if there is no slot.
func (pls *Pools) TakeSlot(pool, ticket string, avoid []string, share, rateShare float64, expires clock.Milli) (id string) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	pst := pls.byName[pool]
	if pst == nil || pst.plain == nil {
		return ""
	}
	pls.slots.Expire(now)
	avoid = slices.Concat(avoid, pls.rateLimited(pst, rateShare, now))
	least, ejected := 0.0, false
	for _, ep := range pst.plain.EndpointStates() {
		usage, ok := pls.slots.Usage(ep.ID, share, now)
		if !ok || ep.Leaving || ep.Withheld || slices.Contains(avoid, ep.ID) {
			continue
		}
		if id == "" || ejected && !ep.Ejected || ejected == ep.Ejected && usage < least {
			id, least, ejected = ep.ID, usage, ep.Ejected
		}
	}
	if id != "" {
		pls.slots.Take(id, ticket, expires)
		pls.rates.Take(id, rateShare, now)
	}
	return id
}

// ReleaseSlot ends the grant of a slot. If the endpoint has rejected the request, it gets none for a
// while.
func (pls *Pools) ReleaseSlot(id ident.Process, ticket string, rejected bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pls.slots.Release(ticket)
	if rejected {
		pls.slots.Pause(string(id), pls.set.Clock.Now()+rejectPause)
	}
}

// Begin counts a request at the given plain endpoint, for which the caller has a slot.
func (pls *Pools) Begin(pool, id string) (Target, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	if pst == nil || pst.plain == nil {
		return Target{}, false
	}
	ep, ok := pst.plain.Begin(id)
	return pst.target(ep), ok
}
