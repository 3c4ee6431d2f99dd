package pools

import (
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/route"
)

// permitAgain is after how long whoever found no permit asks again, at the latest.
const permitAgain = clock.Second

// closed lists the endpoints that may be sent nothing now since they name a rate.
func (pls *Pools) closed(fnl *finals, share float64, now clock.Milli) []string {
	var ids []string
	for _, id := range fnl.ids {
		if pls.rates.Has(id) && (share == 0 || pls.rates.Wait(id, now) > 0) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Rated tells whether any endpoint of a pool names a rate.
func (pls *Pools) Rated(pool string) bool {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl := pls.byID[pool]
	return fnl != nil && slices.ContainsFunc(fnl.ids, pls.rates.Has)
}

// Permit gives the name of an endpoint that names a rate and may be sent a request now, by
// whoever asks this instance, which may send a share of the rate; empty if there is none, with
// how long to wait for one.
func (pls *Pools) Permit(pool string, share float64) (id string, wait clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	fnl := pls.byID[pool]
	if fnl == nil || fnl.plain == nil {
		return "", permitAgain
	}
	wait = permitAgain
	for _, ep := range fnl.plain.Standings() {
		if !pls.rates.Has(ep.ID) || ep.Leaving {
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

// PickOnly picks one plain endpoint, for which there is a permit; false if it is among those to
// avoid, or full.
func (pls *Pools) PickOnly(pool, id string, avoid []string) (Target, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl := pls.byID[pool]
	if fnl == nil || fnl.plain == nil || slices.Contains(avoid, id) {
		return Target{}, false
	}
	others := slices.DeleteFunc(slices.Clone(fnl.ids), func(oth string) bool { return oth == id })
	ep, ok := fnl.plain.Pick(route.Ask{Avoid: others}, pls.set.Clock.Now())
	return Target{ID: ident.Process(ep.ID), Addr: ep.Addr}, ok
}
