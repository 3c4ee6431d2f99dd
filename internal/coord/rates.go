package coord

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/place"
)

// An endpoint may declare the rate of requests that it accepts from all instances together. At one
// request per second, equal shares for hundreds of instances would be useless, so the coordinator
// of a pool owns the declared rates of its endpoints: it batches the items or places the prompts,
// and sees all of these anyway. For a plain endpoint the other instances request a permit from it.
// An instance that can't reach the coordinator sends such an endpoint nothing. An endpoint that is
// cold has a rate in the same way.

// permitRetryDelay is how long no permits are requested from a coordinator that did not answer.
const permitRetryDelay = 200 * clock.Milli(1)

// rateShareIn returns the fraction of the declared rates of a pool's endpoints that this instance
// may use by a view of the membership.
func (crd *Coordinator) rateShareIn(vw *state.View, pool string) (share float64) {
	if !vw.IsCold(pool) {
		return crd.shareIn(vw, pool, limit.CoordinatorShare)
	}
	return crd.shareIn(vw, pool, func(unresponsive int, term clock.Milli) float64 {
		return limit.ColdShare(unresponsive, term, vw.Minority())
	})
}

// shareIn returns what this instance may use of a pool as its coordinator, by a function of the number
// of unresponsive instances that precede it and of its term; zero if it is not the coordinator.
func (crd *Coordinator) shareIn(vw *state.View, pool string, of func(unresponsive int, term clock.Milli) float64) float64 {
	if crd.set.Link == nil {
		return 1
	}
	if !crd.hasJoined() {
		return 0
	}
	before, mine := crd.unresponsiveBefore(vw, pool)
	if !mine {
		return 0
	}
	term := clock.Milli(0)
	if since, first := vw.CoordinatorSince(pool); first {
		term = crd.set.Clock.Since(since)
	}
	return of(before, term)
}

// unresponsiveBefore reports whether this instance coordinates a pool, and how many unresponsive
// instances precede it.
func (crd *Coordinator) unresponsiveBefore(vw *state.View, pool string) (before int, mine bool) {
	for _, inc := range vw.Coordinators(pool) {
		switch {
		case inc == crd.set.Control.Self():
			return before, true
		case !crd.isUnresponsive(inc):
			return before, false
		}
		before++
	}
	return before, true
}

// RateShare returns the fraction of the declared rates of a pool's endpoints that this instance may
// use by the current view.
func (crd *Coordinator) RateShare(pool string) float64 {
	return crd.rateShareIn(crd.view(), pool)
}

// permit is a coordinator's answer: the endpoint that may be sent a request, or the time until one
// may.
type permit struct {
	ID   string      `cbor:"1,keyasint,omitempty"`
	Wait clock.Milli `cbor:"2,keyasint,omitempty"`
}

// placePlain chooses a plain endpoint: one with a declared rate if there is a permit for it, so
// that its rate is used, and otherwise one without.
func (crd *Coordinator) placePlain(ctx context.Context, vw *state.View, pool, ticket string, ask place.Ask) (Placement, bool) {
	if crd.set.Pools.IsBrittle(pool) {
		return crd.placeBrittle(ctx, vw, pool, ticket, ask)
	}
	if crd.set.Pools.HasRates(pool) {
		if id := crd.acquirePermit(ctx, vw, pool); id != "" {
			if tgt, ok := crd.set.Pools.PickByID(pool, id, ask.Avoid); ok {
				return Placement{Target: tgt}, true
			}
		}
	}
	tgt, ok := crd.set.Pools.Pick(pool, "", ask, 0)
	return Placement{Target: tgt}, ok
}

// acquirePermit returns an endpoint with a declared rate that may be sent a request now; empty if
// there is none.
func (crd *Coordinator) acquirePermit(ctx context.Context, vw *state.View, pool string) string {
	if share := crd.rateShareIn(vw, pool); share > 0 {
		if crd.isContended(pool) {
			return ""
		}
		id, _ := crd.set.Pools.TakePermit(pool, share)
		return id
	}
	now := crd.set.Clock.Now()
	inc := crd.coordinator(vw, pool)
	if crd.set.Link == nil || inc == crd.set.Control.Self() || crd.permitBlocks.blocked(pool, now) {
		return ""
	}
	prm, ok := crd.requestPermit(ctx, inc, pool)
	switch {
	case !ok:
		crd.permitBlocks.block(pool, now+permitRetryDelay)
	case prm.ID == "":
		crd.permitBlocks.block(pool, now+prm.Wait)
	}
	return prm.ID
}

func (crd *Coordinator) requestPermit(ctx context.Context, inc ident.Incarnation, pool string) (permit, bool) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	ans, err := crd.set.Link.Call(ctx, inc.Addr(), peer.Message{Kind: peer.GetPermit, From: crd.set.Control.Self(), To: inc, Body: []byte(pool)})
	var prm permit
	if err != nil || ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &prm) != nil {
		return permit{}, false
	}
	return prm, true
}

// HandlePermit handles a permit request of another instance; it is registered with the link.
func (crd *Coordinator) HandlePermit(msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	share := crd.RateShare(string(msg.Body))
	if share == 0 {
		return ans
	}
	prm := permit{Wait: pollWait}
	if !crd.isContended(string(msg.Body)) {
		prm.ID, prm.Wait = crd.set.Pools.TakePermit(string(msg.Body), share)
	}
	if body, err := cbor.Marshal(prm); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}
