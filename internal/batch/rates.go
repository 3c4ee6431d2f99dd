package batch

import "amaranthvalve/pkg/clock"

// rateRecheckInterval is how long an endpoint with a declared rate gets no call from an instance
// that does not own its pool's rates, before ownership is checked again.
const rateRecheckInterval = 100 * clock.Milli(1)

// holdRateLimited holds back calls to endpoints with a declared rate until one may be sent, and
// returns the fraction of the rates that this instance may use, -1 if no endpoint declares one.
func (pol *pool) holdRateLimited(now clock.Milli) (share float64) {
	share = -1
	for _, ep := range pol.endpoints {
		if !pol.rates.Has(ep.ID) {
			continue
		}
		if share < 0 {
			share = pol.rateShare()
		}
		wait := pol.rates.Wait(ep.ID, now)
		if share == 0 {
			wait = max(wait, rateRecheckInterval)
		}
		pol.sched.Pause(ep.ID, now+wait)
	}
	return share
}

func (pol *pool) rateShare() float64 {
	if pol.set.RateShare == nil {
		return 1
	}
	return pol.set.RateShare(pol.name)
}

// releaseInterval returns the minimum time between two calls that release results at the endpoint
// at an address; these calls count towards its declared rate.
func (pol *pool) releaseInterval(addr string) clock.Milli {
	for _, ep := range pol.endpoints {
		if ep.Addr == addr {
			return pol.rates.Interval(ep.ID)
		}
	}
	return 0
}

// countRelease counts a call that releases results towards the endpoint's declared rate.
func (pol *pool) countRelease(addr string) {
	for _, ep := range pol.endpoints {
		if ep.Addr == addr {
			pol.rates.Take(ep.ID, 1, pol.set.Clock.Now())
		}
	}
}
