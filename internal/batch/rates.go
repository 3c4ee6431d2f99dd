package batch

import "amaranthvalve/pkg/clock"

// heldAgain is for how long an endpoint that names a rate gets no call from an instance that
// doesn't keep its pool's rates, before that is looked at again.
const heldAgain = 100 * clock.Milli(1)

// holdRated keeps calls from endpoints that name a rate until they may be sent one, and gives the
// part of the rates that this instance may send.
func (pol *pool) holdRated(now clock.Milli) (share float64) {
	share = -1
	for _, mkr := range pol.makers {
		if !pol.rates.Has(mkr.ID) {
			continue
		}
		if share < 0 {
			share = pol.share()
		}
		wait := pol.rates.Wait(mkr.ID, now)
		if share == 0 {
			wait = max(wait, heldAgain)
		}
		pol.book.Hold(mkr.ID, now+wait)
	}
	return share
}

func (pol *pool) share() float64 {
	if pol.set.Keeps == nil {
		return 1
	}
	return pol.set.Keeps(pol.name)
}

// freeEach gives the time between two calls that give results back to the endpoint at an address;
// they are requests too.
func (pol *pool) freeEach(addr string) clock.Milli {
	for _, mkr := range pol.makers {
		if mkr.Addr == addr {
			return pol.rates.Each(mkr.ID)
		}
	}
	return 0
}

// takeFree notes such a call.
func (pol *pool) takeFree(addr string) {
	for _, mkr := range pol.makers {
		if mkr.Addr == addr {
			pol.rates.Take(mkr.ID, 1, pol.set.Clock.Now())
		}
	}
}
