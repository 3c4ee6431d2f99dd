package coord

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/pace"
	"amaranthvalve/pkg/place"
)

// The coordinator of a pool of model engines places the prompts of all instances. It gets a
// placement request before a prompt is sent, and a report of its first event and of its end. If it
// does not answer in time, an instance places the prompt by its own records, which it always keeps
// of its own requests. At brittle engines only the coordinator places prompts, by the rules of slots.

const (
	// placeTimeout bounds a placement request: a few round trips between data centres, and short
	// against the time to prefill a prompt.
	placeTimeout = 30 * time.Millisecond
	// maxPlaceTimeouts is the number of consecutive placement requests without an answer after
	// which the next instance becomes the coordinator. One that is merely busy answers some.
	maxPlaceTimeouts = 4
)

// placeRequest asks for the placement of a prompt.
type placeRequest struct {
	Pool   string    `cbor:"1,keyasint"`
	Ticket string    `cbor:"2,keyasint"`
	Ask    place.Ask `cbor:"3,keyasint"`
	// Predict requests a prediction of the engine only: no slot is taken.
	Predict bool `cbor:"4,keyasint,omitempty"`
	// Queues is set if the request joins the queue of the coordinator when it gets no placement.
	Queues bool `cbor:"5,keyasint,omitempty"`
}

// placeReply answers a placeRequest with the engine, the address from which it can fetch cached
// parts of the prompt, and for a prediction the time to prefill the prompt.
type placeReply struct {
	ID   string      `cbor:"1,keyasint,omitempty"`
	From string      `cbor:"2,keyasint,omitempty"`
	Read clock.Milli `cbor:"3,keyasint,omitempty"`
}

// Placement is the endpoint chosen for a request, and the coordinator that chose it, empty if this
// instance did.
type Placement struct {
	pools.Target
	promptCoordinator ident.Incarnation
	// slot is the slot of a request to a brittle plain endpoint, nil for none.
	slot *slot
	// Pace is what the endpoint reported of its pace with its answer, the zero value for nothing.
	Pace pace.Figure
}

// Place chooses the endpoint of a final call and counts the request there.
func (crd *Coordinator) Place(ctx context.Context, vw *state.View, pool, ticket string, ask place.Ask) (Placement, bool) {
	return crd.place(ctx, vw, pool, ticket, ask, false)
}

// place is Place. With queues the request joins the queue if it gets no endpoint, and must not go before those that
// wait there.
func (crd *Coordinator) place(ctx context.Context, vw *state.View, pool, ticket string, ask place.Ask, queues bool) (Placement, bool) {
	ask.Avoid = crd.withResting(ask.Avoid)
	if pol, ok := vw.Plan().Pool(pool); ok && pol.Engine() == nil {
		ask.Avoid = slices.Concat(ask.Avoid, crd.set.Pools.OtherBuilds(pool, ask.Build))
		return crd.placePlain(ctx, vw, pool, ticket, ask)
	}
	inc := crd.promptCoordinator(vw, pool)
	if inc == crd.set.Control.Self() {
		var mine bool
		if ask.Share, mine = crd.engineShare(vw, pool); !mine {
			return crd.placeWithoutCoordinator(ctx, pool, ticket, ask, crd.set.Clock.Now())
		}
		if crd.isContended(pool) {
			if queues {
				return Placement{}, false
			}
			return crd.poll("", pool, ticket, ask, slotGrace)
		}
		return crd.pick(pool, ticket, ask, crd.rateShareIn(vw, pool))
	}
	// Placements whose answer is lost are ended one by one.
	ticket += "." + strconv.FormatInt(crd.placeTries.Add(1), 10)
	prp, err := crd.requestPlace(ctx, vw, inc, placeRequest{Pool: pool, Ticket: ticket, Ask: ask, Queues: queues})
	if prp.ID != "" && vw.IsWithheld(ident.Process(prp.ID)) {
		// The coordinator doesn't know of the evacuation yet.
		crd.withdraw(inc, pool, ticket)
		ask.Avoid = slices.Concat(ask.Avoid, vw.Withheld(pool))
		ticket += "." + strconv.FormatInt(crd.placeTries.Add(1), 10)
		prp, err = crd.requestPlace(ctx, vw, inc, placeRequest{Pool: pool, Ticket: ticket, Ask: ask, Queues: queues})
	}
	if prp.ID != "" {
		if tgt, ok := crd.set.Pools.Assign(pool, prp.ID, prp.From, ticket, ask); ok {
			crd.losses.granted(pool)
			return Placement{Target: tgt, promptCoordinator: inc}, true
		}
	}
	if prp.ID != "" || err != nil && !errors.Is(err, errRefused) {
		crd.withdraw(inc, pool, ticket)
	}
	if !crd.set.Pools.HasBrittleEngines(pool) {
		return crd.pick(pool, ticket, ask, 0)
	}
	if ctx.Err() != nil {
		return Placement{}, false
	}
	now := crd.set.Clock.Now()
	if err == nil {
		// Coordinators know the requests of all instances.
		crd.losses.granted(pool)
		return Placement{}, false
	}
	return crd.placeWithoutCoordinator(ctx, pool, ticket, ask, now)
}

// engineShare returns the part of the slots of a pool's engines that this instance may use as their
// coordinator, zero for all of them; false if the engines are brittle and it is not the coordinator.
func (crd *Coordinator) engineShare(vw *state.View, pool string) (share float64, mine bool) {
	if !crd.set.Pools.HasBrittleEngines(pool) {
		return 0, true
	}
	share = crd.slotShare(vw, pool)
	return share, share > 0
}

// pick places a request by the records of this instance; share is the fraction of the engines'
// declared rates that it may use.
func (crd *Coordinator) pick(pool, ticket string, ask place.Ask, share float64) (Placement, bool) {
	tgt, ok := crd.set.Pools.Pick(pool, ticket, ask, share)
	if ok && tgt.Ticket != "" {
		why, request, vw := tgt.Placement, ticket, crd.set.Control.View()
		if at := strings.LastIndexByte(ticket, '/'); at >= 0 {
			request = ticket[:at]
		}
		crd.set.Log.Info().Str("request", request).Str("pool", pool).Str("endpoint", string(tgt.ID)).Str("build", tgt.Build).Int("tokens", ask.Prompt.InTokens).Int("held_tokens", why.CachedTokens).
			Int64("wait_ms", int64(why.Wait)).Int64("read_ms", int64(why.Read)).Int("streams", why.Streams).Str("fetch_from", tgt.FetchFrom).Int("avoided", len(ask.Avoid)).Int("ejected", why.Ejected).Int("pace_pct", why.Pace).
			Str("list_from", vw.ListSource()).Int64("list_age_ms", int64(vw.ListAge(crd.set.Clock.Now()))).Msg("engine chosen")
	}
	return Placement{Target: tgt}, ok
}

// Predict returns the model engine that a request will probably go to, and its time to prefill the
// prompt; false if there is none.
func (crd *Coordinator) Predict(ctx context.Context, vw *state.View, pool string, ask place.Ask) (eng place.Engine, read clock.Milli, ok bool) {
	ask.Avoid = crd.withResting(ask.Avoid)
	if inc := crd.promptCoordinator(vw, pool); inc != crd.set.Control.Self() {
		if prp, err := crd.requestPlace(ctx, vw, inc, placeRequest{Pool: pool, Ask: ask, Predict: true}); err == nil && prp.ID != "" {
			if eng, ok := crd.set.Pools.Find(pool, prp.ID); ok && !eng.Withheld {
				return eng, prp.Read, true
			}
		}
	}
	plc, ok := crd.set.Pools.Predict(pool, ask, crd.rateShareIn(vw, pool))
	return plc.Engine, plc.Read, ok
}

// promptCoordinator returns the instance that places a pool's prompts; for plain pools that is this
// one, since each instance chooses their endpoints by itself. When this instance becomes the
// coordinator, it queries the engines' caches.
func (crd *Coordinator) promptCoordinator(vw *state.View, pool string) ident.Incarnation {
	pol, ok := vw.Plan().Pool(pool)
	if !ok || pol.Engine() == nil || crd.set.Link == nil || !crd.hasJoined() {
		return crd.set.Control.Self()
	}
	inc := crd.coordinator(vw, pool)
	crd.tenures.update(pool, inc == crd.set.Control.Self())
	if crd.tenures.takeNew(pool) {
		go crd.queryCaches(vw, pool)
	}
	return inc
}

// requestPlace requests a placement from the coordinator; the reply has no ID if there is none. The error
// is errRefused if the instance isn't the coordinator.
func (crd *Coordinator) requestPlace(ctx context.Context, vw *state.View, inc ident.Incarnation, prq placeRequest) (prp placeReply, err error) {
	body, err := cbor.Marshal(prq)
	if err != nil {
		return placeReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	sent := crd.set.Clock.Now()
	ans, err := crd.set.Link.Call(ctx, inc.Addr(), peer.Message{Kind: peer.PlacePrompt, From: crd.set.Control.Self(), To: inc, Body: body})
	crd.notePlaceReply(inc, sent, err == nil)
	if err == nil && ans.Kind != peer.OK {
		crd.retryBefore(vw, prq.Pool, inc)
		err = errRefused
	}
	if err != nil {
		crd.set.Log.Info().Err(err).Str("request", prq.Ticket).Str("pool", prq.Pool).Str("placer", string(inc)).Msg("no placement from the coordinator")
		return placeReply{}, err
	}
	if cbor.Unmarshal(ans.Body, &prp) != nil {
		return placeReply{}, errRefused
	}
	return prp, nil
}

// timeouts counts consecutive requests without an answer, the last of which was sent before until.
type timeouts struct {
	count int
	until clock.Milli
}

// notePlaceReply records whether an instance answered a placement request. Of requests that were under way
// at the same time one counts: they say no more than one.
func (crd *Coordinator) notePlaceReply(inc ident.Incarnation, sent clock.Milli, answered bool) {
	crd.mtx.Lock()
	tmo := crd.placeTimeouts[inc]
	switch {
	case answered:
		tmo = timeouts{}
	case sent >= tmo.until:
		tmo = timeouts{count: tmo.count + 1, until: crd.set.Clock.Now()}
	}
	lost := tmo.count >= maxPlaceTimeouts
	if crd.placeTimeouts[inc] = tmo; answered || lost {
		delete(crd.placeTimeouts, inc)
	}
	crd.mtx.Unlock()
	if lost {
		crd.set.Log.Warn().Str("placer", string(inc)).Msg("coordinator does not answer placement requests")
		crd.markUnresponsive(inc)
	}
}

// retryBefore retries the coordinators that rank before an instance which takes one of them for the
// coordinator.
func (crd *Coordinator) retryBefore(vw *state.View, pool string, inc ident.Incarnation) {
	list := vw.Coordinators(pool)
	crd.mtx.Lock()
	defer crd.mtx.Unlock()
	for _, oth := range list[:max(slices.Index(list, inc), 0)] {
		delete(crd.unresponsiveUntil, oth)
	}
}

// HandlePlace handles a placement request of another instance; it is registered with the link.
func (crd *Coordinator) HandlePlace(msg peer.Message) peer.Message {
	return crd.handlePlace(crd.view(), msg)
}

func (crd *Coordinator) handlePlace(vw *state.View, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	var prq placeRequest
	if cbor.Unmarshal(msg.Body, &prq) != nil {
		return ans
	}
	prp, ok := crd.answerPlace(vw, msg.From, prq)
	if !ok {
		return ans
	}
	if body, err := cbor.Marshal(prp); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// answerPlace answers the placement request of another instance; false if this one must not place prompts
// at the pool's engines, which are brittle.
func (crd *Coordinator) answerPlace(vw *state.View, holder ident.Incarnation, prq placeRequest) (prp placeReply, ok bool) {
	if vw.Plan() != nil {
		crd.promptCoordinator(vw, prq.Pool)
	}
	if prq.Predict {
		if plc, found := crd.set.Pools.Predict(prq.Pool, prq.Ask, crd.rateShareIn(vw, prq.Pool)); found {
			prp = placeReply{ID: plc.Engine.ID, Read: plc.Read}
		}
		return prp, true
	}
	if prq.Ask.Share, ok = crd.engineShare(vw, prq.Pool); !ok {
		return placeReply{}, false
	}
	if crd.queues.isWithdrawn(holder, prq.Ticket, crd.set.Clock.Now()) {
		return placeReply{}, true
	}
	if crd.isContended(prq.Pool) {
		if prq.Queues {
			return placeReply{}, true
		}
		plc, _ := crd.poll(holder, prq.Pool, prq.Ticket, prq.Ask, maxSlotTime)
		return placeReply{ID: string(plc.ID), From: plc.FetchFrom}, true
	}
	if plc, found := crd.pick(prq.Pool, prq.Ticket, prq.Ask, crd.rateShareIn(vw, prq.Pool)); found {
		prp = placeReply{ID: string(plc.ID), From: plc.FetchFrom}
	}
	return prp, true
}
