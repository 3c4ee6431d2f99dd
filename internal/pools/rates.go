package pools

import (
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/route"
)

// maxPermitWait is the longest wait before a permit is requested again.
const maxPermitWait = clock.Second

// rateLimited returns the IDs of the endpoints that may get no request now because of the rate that
// they declare.
func (pls *Pools) rateLimited(pst *poolState, share float64, now clock.Milli) []string {
	var ids []string
	for _, id := range pst.ids {
		if pls.rates.Has(id) && (share == 0 || pls.rates.Wait(id, now) > 0) {
			ids = append(ids, id)
		}
	}
	return ids
}

// HasRates reports whether any endpoint of a pool declares a rate.
func (pls *Pools) HasRates(pool string) bool {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	return pst != nil && slices.ContainsFunc(pst.ids, pls.rates.Has)
}

// TakePermit takes a permit for a request to any endpoint of a plain pool that declares a rate, and
// returns the endpoint's ID. share is the part of the rates that this instance may use; the endpoints in avoid
// are left out. If there is no permit, the ID is empty, and wait is how long to wait for one.
func (pls *Pools) TakePermit(pool string, share float64, avoid ...string) (id string, wait clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	pst := pls.byName[pool]
	if pst == nil || pst.plain == nil {
		return "", maxPermitWait
	}
	wait = maxPermitWait
	for _, ep := range pst.plain.EndpointStates() {
		if !pls.rates.Has(ep.ID) || ep.Leaving || ep.Withheld || slices.Contains(avoid, ep.ID) {
			continue
		}
		if left := pls.rates.Wait(ep.ID, now); left > 0 {
			wait = min(wait, left)
			continue
		}
		pls.rates.Take(ep.ID, share, now)
		return ep.ID, 0
	}
	return "", wait
}

// UntilOpen returns the time until an endpoint of a pool may be sent a request again that gets none for a pause,
// for its rate, or for a grant that expires. It is the earliest of all endpoints, and maxUntilOpen if there is
// none.
func (pls *Pools) UntilOpen(pool string) clock.Milli {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now, span := pls.set.Clock.Now(), maxUntilOpen
	pst := pls.byName[pool]
	if pst == nil {
		return span
	}
	for _, id := range pst.ids {
		if left := pls.rates.Wait(id, now); left > 0 {
			span = min(span, left)
		}
		if at, ok := pls.slots.Opens(id, now); ok {
			span = min(span, at-now)
		}
		if pst.engines != nil {
			if at, ok := pst.engines.PauseEnd(id, now); ok {
				span = min(span, at-now)
			}
		}
	}
	return span
}

// maxUntilOpen is the time that UntilOpen returns if nothing closes an endpoint for a known time.
const maxUntilOpen = clock.Hour

// PickByID chooses the given plain endpoint, for which the caller has a permit; false if it is to
// be avoided, or is full.
func (pls *Pools) PickByID(pool, id string, avoid []string) (Target, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	if pst == nil || pst.plain == nil || slices.Contains(avoid, id) {
		return Target{}, false
	}
	others := slices.DeleteFunc(slices.Clone(pst.ids), func(other string) bool { return other == id })
	ep, ok := pst.plain.Pick(route.Ask{Avoid: others}, pls.set.Clock.Now())
	return pst.target(ep), ok
}
