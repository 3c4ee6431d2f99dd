package homes

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/place"
)

// An endpoint may name how many requests a second it takes from all instances together. At one a
// second, equal parts for hundreds of instances would be of no use to anybody, so one
// instance keeps the rates of a pool's endpoints: the one that gathers its pieces or places its
// prompts, who sees all of these anyway. For a plain endpoint it is asked for a permit. Who can't
// reach it sends such an endpoint nothing.

// permitAgain is how long a keeper that gave no answer isn't asked.
const permitAgain = 200 * clock.Milli(1)

// keeps gives the part of the rates of a pool's endpoints that this instance may send.
func (hms *Homes) keeps(vw *state.View, pool string) (share float64) {
	if hms.set.Link == nil {
		return 1
	}
	if !hms.hasJoined() {
		return 0
	}
	now := hms.set.Clock.Now()
	before, mine := hms.silentBefore(vw, pool)
	hms.terms.is(pool, mine, now)
	if !mine {
		return 0
	}
	return limit.KeptShare(before, now-hms.terms.since(pool))
}

// silentBefore tells whether a pool falls to this instance, and how many it would fall to if they
// weren't silent.
func (hms *Homes) silentBefore(vw *state.View, pool string) (before int, mine bool) {
	for _, who := range vw.Gatherers(pool) {
		switch {
		case who == hms.set.Control.Self():
			return before, true
		case !hms.isSilent(who):
			return before, false
		}
		before++
	}
	return before, true
}

// Keeps gives the part of the rates of a pool's endpoints that this instance may send, as far as
// it knows who else there is.
func (hms *Homes) Keeps(pool string) float64 { return hms.keeps(hms.set.Control.View(), pool) }

// permit is a keeper's answer: the endpoint that may be sent a request, or how long until one may.
type permit struct {
	ID   string      `cbor:"1,keyasint,omitempty"`
	Wait clock.Milli `cbor:"2,keyasint,omitempty"`
}

// permits tells until when a pool's keeper has none.
type permits struct {
	mtx   sync.Mutex
	until map[string]clock.Milli
}

func (prm *permits) none(pool string, now clock.Milli) bool {
	prm.mtx.Lock()
	defer prm.mtx.Unlock()
	return now < prm.until[pool]
}

func (prm *permits) wait(pool string, until clock.Milli) {
	prm.mtx.Lock()
	defer prm.mtx.Unlock()
	if prm.until == nil {
		prm.until = map[string]clock.Milli{}
	}
	prm.until[pool] = until
}

// placePlain chooses a plain endpoint: one that names a rate if there is a permit for it, so that
// it isn't left idle, or else one that doesn't.
func (hms *Homes) placePlain(ctx context.Context, vw *state.View, pool string, ask place.Ask) (Seat, bool) {
	if hms.set.Pools.Rated(pool) {
		if id := hms.permit(ctx, vw, pool); id != "" {
			if tgt, ok := hms.set.Pools.PickOnly(pool, id, ask.Avoid); ok {
				return Seat{Target: tgt}, true
			}
		}
	}
	tgt, ok := hms.set.Pools.Pick(pool, "", ask, 0)
	return Seat{Target: tgt}, ok
}

// permit asks the keeper of a pool's rates for an endpoint; empty if there is none now.
func (hms *Homes) permit(ctx context.Context, vw *state.View, pool string) string {
	if share := hms.keeps(vw, pool); share > 0 {
		id, _ := hms.set.Pools.Permit(pool, share)
		return id
	}
	now := hms.set.Clock.Now()
	who := hms.gatherer(vw, pool)
	if hms.set.Link == nil || who == hms.set.Control.Self() || hms.permits.none(pool, now) {
		return ""
	}
	prm, ok := hms.permitFrom(ctx, who, pool)
	switch {
	case !ok:
		hms.permits.wait(pool, now+permitAgain)
	case prm.ID == "":
		hms.permits.wait(pool, now+prm.Wait)
	}
	return prm.ID
}

func (hms *Homes) permitFrom(ctx context.Context, who ident.Incarnation, pool string) (permit, bool) {
	ctx, cancel := context.WithTimeout(ctx, placeWait)
	defer cancel()
	ans, err := hms.set.Link.Ask(ctx, who.Addr(), peer.Message{Kind: peer.PermitWanted, From: hms.set.Control.Self(), To: who, Body: []byte(pool)})
	var prm permit
	if err != nil || ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &prm) != nil {
		return permit{}, false
	}
	return prm, true
}

// Permit answers another instance that asks for an endpoint which names a rate; it is given to
// the link.
func (hms *Homes) Permit(msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: hms.set.Control.Self()}
	share := hms.Keeps(string(msg.Body))
	if share == 0 {
		return ans
	}
	var prm permit
	prm.ID, prm.Wait = hms.set.Pools.Permit(string(msg.Body), share)
	if body, err := cbor.Marshal(prm); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}
