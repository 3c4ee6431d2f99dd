package coord

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
)

// errEarlier is returned when a coordinator is of an earlier version, which knows no queue.
var errEarlier = errors.New("instance of an earlier version")

// notCoordinator is the body of the answer of an instance that knows the queue but isn't the coordinator.
// Earlier versions answer unknown messages without a body.
var notCoordinator = []byte("not the coordinator")

// retryPause is how long a request waits before it asks again when no instance takes itself for the
// coordinator.
const retryPause = 5 * clock.Milli(1)

// joinGrace is how much longer than a request may wait its sender waits for the answer, which the coordinator gives
// by then. A slot that was granted in an answer that comes later is lost until it is withdrawn; on a busy machine
// many answers are later than placeTimeout.
const joinGrace = 100 * time.Millisecond

// joinRequest asks for an endpoint of a pool, for which the request may wait in the coordinator's queue.
type joinRequest struct {
	Pool   string `cbor:"1,keyasint"`
	Ticket string `cbor:"2,keyasint"`
	// Ask has the prompt of a request to a model engine; for a plain endpoint only Avoid and Build are set.
	Ask       place.Ask `cbor:"3,keyasint"`
	Rank      int       `cbor:"4,keyasint,omitempty"`
	Workspace string    `cbor:"5,keyasint,omitempty"`
	// Wait is how long the request may wait, Left the time in which it ends, and Since the time since its
	// first arrival, zero if that is unknown.
	Wait  clock.Milli `cbor:"6,keyasint,omitempty"`
	Left  clock.Milli `cbor:"7,keyasint"`
	Since clock.Milli `cbor:"8,keyasint,omitempty"`
	// Key identifies the request across the attempts of its caller; zero for none.
	Key uint64 `cbor:"9,keyasint,omitempty"`
	// Rests has the endpoints that asked the sender for rest, with the time left.
	Rests map[string]clock.Milli `cbor:"10,keyasint,omitempty"`
	// polls is set for a request of an instance that polls. Its rank is unknown, and it competes with the
	// most urgent ones that wait.
	polls bool
}

// joinReply answers a joinRequest with the endpoint, or without one with the time after which a slot is
// expected.
type joinReply struct {
	ID   string      `cbor:"1,keyasint,omitempty"`
	From string      `cbor:"2,keyasint,omitempty"`
	Wait clock.Milli `cbor:"3,keyasint,omitempty"`
	// Ahead is the number of requests that went first.
	Ahead int `cbor:"4,keyasint,omitempty"`
}

// WaitTerms describes a request that may wait for an endpoint.
type WaitTerms struct {
	Rank      int
	Workspace string
	// Until is when it must have an endpoint; an immediate try is made in any case.
	Until clock.Milli
	// Since is the time since its first arrival, zero if that is unknown, and Key identifies it across the
	// attempts of its caller.
	Since clock.Milli
	Key   uint64
}

// Acquired is the result of [Coordinator.Acquire].
type Acquired int

// Results of [Coordinator.Acquire].
const (
	// Granted: the request has an endpoint.
	Granted Acquired = iota
	// Refused: no endpoint was or would be free in time.
	Refused
	// Unqueued: no endpoint is free, and the request has waited in no queue.
	Unqueued
)

// earlier records which instances are of an earlier version. The zero value is empty.
type earlier struct {
	mtx sync.Mutex
	ids map[ident.Incarnation]bool
}

// maxEarlier bounds the recorded instances, about 100 B each. Beyond it they are found out again.
const maxEarlier = 1024

func (erl *earlier) add(inc ident.Incarnation) {
	erl.mtx.Lock()
	defer erl.mtx.Unlock()
	if erl.ids == nil || len(erl.ids) >= maxEarlier {
		erl.ids = map[ident.Incarnation]bool{}
	}
	erl.ids[inc] = true
}

func (erl *earlier) has(inc ident.Incarnation) bool {
	erl.mtx.Lock()
	defer erl.mtx.Unlock()
	return erl.ids[inc]
}

// Acquire chooses the endpoint of a final call and counts the request there. If none is free, the request
// waits in the queue of the pool's coordinator. wait is the time after which a slot is expected if it was
// refused. At pools without a queue, Acquire tries once, like [Coordinator.Place].
func (crd *Coordinator) Acquire(ctx context.Context, pool, ticket string, ask place.Ask, trm WaitTerms) (plc Placement, wait clock.Milli, acq Acquired) {
	began := crd.set.Clock.Now()
	if !crd.isBrittle(pool) {
		plc, ok := crd.place(ctx, crd.view(), pool, ticket, ask, true)
		switch {
		case ok:
			return plc, 0, Granted
		case !crd.set.Pools.HasRates(pool) || trm.Until <= crd.set.Clock.Now():
			return Placement{}, 0, Unqueued
		}
	}
	var failed []ident.Incarnation
	for {
		out, inc, err := crd.tryJoin(ctx, pool, ticket, ask, trm, failed)
		now, repeated := crd.set.Clock.Now(), slices.Contains(failed, inc)
		switch {
		case err == nil && !out.moved:
			crd.logWait(pool, ticket, inc, trm, out, now-began)
			if out.ok {
				return out.plc, 0, Granted
			}
			if out.unused != "" && !slices.Contains(ask.Avoid, string(out.unused)) && ctx.Err() == nil {
				// The endpoint may have been evacuated, which the coordinator doesn't know yet.
				ask.Avoid = append(slices.Clone(ask.Avoid), string(out.unused))
				continue
			}
			return Placement{}, out.wait, Refused
		case errors.Is(err, errEarlier):
			if plc, ok := crd.Place(ctx, crd.view(), pool, ticket, ask); ok {
				return plc, 0, Granted
			}
			return Placement{}, 0, Unqueued
		case ctx.Err() != nil:
			return Placement{}, 0, Refused
		case err == nil:
			failed = nil
		case errors.Is(err, errRefused):
			// An instance that was passed over may be the coordinator after all.
			failed = nil
			fallthrough
		default:
			if !errors.Is(err, errRefused) {
				failed = append(failed, inc)
			}
			if plc, ok := crd.placeWithoutCoordinator(ctx, pool, ticket, ask, now); ok {
				return plc, 0, Granted
			}
		}
		if now >= trm.Until {
			return Placement{}, 0, Refused
		}
		if repeated || err == nil || errors.Is(err, errRefused) {
			crd.pause(ctx, retryPause)
		}
	}
}

// tryJoin sends a request to the coordinator of a pool, which may be this instance, and returns the outcome
// and the instance that was asked. Instances that have failed before are passed over.
func (crd *Coordinator) tryJoin(ctx context.Context, pool, ticket string, ask place.Ask, trm WaitTerms, failed []ident.Incarnation) (joinOutcome, ident.Incarnation, error) {
	vw, now, self := crd.view(), crd.set.Clock.Now(), crd.set.Control.Self()
	jrq := joinRequest{
		Pool: pool, Ticket: ticket, Ask: ask, Rank: trm.Rank, Workspace: trm.Workspace, Wait: max(trm.Until-now, 0), Left: crd.timeLeft(ctx),
		Since: trm.Since, Key: trm.Key, Rests: crd.restsOf(vw, pool, now),
	}
	// The coordinator may not know of an evacuation yet.
	jrq.Ask.Avoid = slices.Concat(ask.Avoid, vw.Withheld(pool))
	if crd.isPlain(vw, pool) {
		jrq.Ask = place.Ask{Avoid: slices.Concat(jrq.Ask.Avoid, crd.set.Pools.OtherBuilds(pool, ask.Build)), Build: ask.Build}
	}
	inc := crd.coordinatorExcept(vw, pool, failed)
	crd.promptCoordinator(vw, pool)
	if crd.set.Link == nil || inc == self {
		if !crd.grants(vw, pool) {
			return joinOutcome{}, self, errRefused
		}
		out := crd.join(ctx, "", jrq)
		if out.ok {
			id := out.plc.ID
			if out.plc, out.ok = crd.beginLocal(vw, pool, jrq, out.plc); !out.ok {
				out.unused = id
			}
		}
		return out, self, nil
	}
	if crd.earlier.has(inc) {
		return joinOutcome{}, inc, errEarlier
	}
	jrq.Ticket += "." + strconv.FormatInt(crd.placeTries.Add(1), 10)
	jrp, err := crd.callJoin(ctx, vw, inc, jrq)
	if err != nil {
		return joinOutcome{}, inc, err
	}
	crd.losses.granted(pool)
	out := joinOutcome{wait: jrp.Wait, ahead: jrp.Ahead}
	if jrp.ID != "" {
		if out.plc, out.ok = crd.beginGranted(vw, jrq, ask, jrp, inc); !out.ok {
			out.unused = ident.Process(jrp.ID)
		}
	}
	return out, inc, nil
}

// beginLocal counts a request at the plain endpoint of which this instance has granted it a slot or a permit.
// Requests at engines are counted when they are granted.
func (crd *Coordinator) beginLocal(vw *state.View, pool string, jrq joinRequest, plc Placement) (Placement, bool) {
	if !crd.isPlain(vw, pool) {
		return plc, true
	}
	return crd.beginPlain(pool, jrq, string(plc.ID), "")
}

// beginPlain counts a request at a plain endpoint, of which the given coordinator has granted a slot or a
// permit.
func (crd *Coordinator) beginPlain(pool string, jrq joinRequest, id string, by ident.Incarnation) (Placement, bool) {
	if !crd.set.Pools.IsBrittle(pool) {
		tgt, ok := crd.set.Pools.PickByID(pool, id, jrq.Ask.Avoid)
		return Placement{Target: tgt}, ok
	}
	plc := Placement{slot: &slot{ticket: jrq.Ticket, coordinator: by}}
	tgt, ok := crd.set.Pools.Begin(pool, id)
	if !ok {
		plc.ID = ident.Process(id)
		crd.ReleaseSlot(pool, plc, false)
		return Placement{}, false
	}
	plc.Target = tgt
	return plc, true
}

// beginGranted counts a request at the endpoint that another instance has granted it.
func (crd *Coordinator) beginGranted(vw *state.View, jrq joinRequest, ask place.Ask, jrp joinReply, by ident.Incarnation) (Placement, bool) {
	if crd.isPlain(vw, jrq.Pool) {
		return crd.beginPlain(jrq.Pool, jrq, jrp.ID, by)
	}
	tgt, ok := crd.set.Pools.Assign(jrq.Pool, jrp.ID, jrp.From, jrq.Ticket, ask)
	if !ok {
		crd.withdraw(by, jrq.Pool, jrq.Ticket)
		return Placement{}, false
	}
	return Placement{Target: tgt, promptCoordinator: by}, true
}

// callJoin sends a request to a coordinator and waits for its answer. The error is errRefused if that isn't
// the coordinator, and errEarlier if it knows no queue.
func (crd *Coordinator) callJoin(ctx context.Context, vw *state.View, inc ident.Incarnation, jrq joinRequest) (jrp joinReply, err error) {
	body, err := cbor.Marshal(jrq)
	if err != nil {
		return joinReply{}, err
	}
	wctx, cancel := context.WithTimeout(ctx, jrq.Wait.Duration()+joinGrace)
	defer cancel()
	sent := crd.set.Clock.Now()
	ans, err := crd.set.Link.CallLong(wctx, inc.Addr(), peer.Message{Kind: peer.JoinQueue, From: crd.set.Control.Self(), To: inc, Body: body})
	// A caller that left says nothing about the coordinator.
	if err == nil || ctx.Err() == nil {
		crd.notePlaceReply(inc, sent, err == nil)
	}
	switch {
	case err != nil:
		crd.set.Log.Info().Err(err).Str("request", jrq.Ticket).Str("pool", jrq.Pool).Str("placer", string(inc)).Msg("wait for a slot failed at the coordinator")
		crd.withdraw(inc, jrq.Pool, jrq.Ticket)
		return joinReply{}, err
	case ans.Kind != peer.OK && len(ans.Body) == 0:
		crd.earlier.add(inc)
		return joinReply{}, errEarlier
	case ans.Kind != peer.OK:
		crd.retryBefore(vw, jrq.Pool, inc)
		return joinReply{}, errRefused
	}
	if cbor.Unmarshal(ans.Body, &jrp) != nil {
		return joinReply{}, errRefused
	}
	return jrp, nil
}

// coordinatorExcept returns the coordinator of a pool to whom a request is sent that some instances did not
// answer. If all have failed, these are asked again.
func (crd *Coordinator) coordinatorExcept(vw *state.View, pool string, failed []ident.Incarnation) ident.Incarnation {
	for _, inc := range vw.Coordinators(pool) {
		if !crd.isUnresponsive(inc) && !slices.Contains(failed, inc) {
			return inc
		}
	}
	return crd.coordinator(vw, pool)
}

// restsOf returns the endpoints of a pool that asked this instance for rest, with the time left.
func (crd *Coordinator) restsOf(vw *state.View, pool string, now clock.Milli) map[string]clock.Milli {
	rests := crd.set.Control.Rests()
	if len(rests) == 0 {
		return nil
	}
	list := map[string]clock.Milli{}
	for _, ep := range vw.Endpoints() {
		if until, ok := rests[ep.ID]; ok && ep.Pool == pool {
			list[string(ep.ID)] = until - now
		}
	}
	return list
}

// pause waits for some time, or until the context ends.
func (crd *Coordinator) pause(ctx context.Context, span clock.Milli) {
	ended := make(chan struct{})
	crd.set.After(span, func() { close(ended) })
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// logWait logs a request that has waited for a slot, or was refused one.
func (crd *Coordinator) logWait(pool, ticket string, inc ident.Incarnation, trm WaitTerms, out joinOutcome, waited clock.Milli) {
	if out.ok && waited < minLoggedWait {
		return
	}
	outcome := "granted"
	if !out.ok {
		outcome = "refused"
	}
	crd.set.Log.Info().Str("request", ticket).Str("pool", pool).Str("workspace", trm.Workspace).Int("rank", trm.Rank).Int("ahead", out.ahead).
		Int64("waited_ms", int64(waited)).Int64("expected_ms", int64(out.wait)).Str("endpoint", string(out.plc.ID)).Str("placer", string(inc)).
		Str("outcome", outcome).Msg("waited for a slot")
}

// minLoggedWait is the least wait that is logged: a round trip takes less.
const minLoggedWait = 5 * clock.Milli(1)

// HandleJoin handles the request of another instance for an endpoint, and lets it wait in the queue. It is
// registered with the link as a long request. The request leaves the queue when the context ends.
func (crd *Coordinator) HandleJoin(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: crd.set.Control.Self(), Body: notCoordinator}
	var jrq joinRequest
	if cbor.Unmarshal(msg.Body, &jrq) != nil {
		return ans
	}
	vw := crd.view()
	if vw.Plan() == nil {
		return ans
	}
	// The sender may know earlier than this instance that the endpoints are brittle.
	if _, ok := vw.Plan().Pool(jrq.Pool); !ok || !crd.grants(vw, jrq.Pool) {
		return ans
	}
	crd.promptCoordinator(vw, jrq.Pool)
	out := crd.join(ctx, msg.From, jrq)
	if out.moved {
		return ans
	}
	if ctx.Err() != nil && out.ok {
		crd.giveBack(jrq.Pool, jrq.Ticket)
		return ans
	}
	body, err := cbor.Marshal(joinReply{ID: string(out.plc.ID), From: out.plc.FetchFrom, Wait: out.wait, Ahead: out.ahead})
	if err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// poll joins the queue for a request that polls, for as long as a poll may take. It is used while others wait:
// a poll must not go before them.
func (crd *Coordinator) poll(holder ident.Incarnation, pool, ticket string, ask place.Ask, left clock.Milli) (Placement, bool) {
	out := crd.join(context.Background(), holder, joinRequest{Pool: pool, Ticket: ticket, Ask: ask, Wait: pollWait, Left: left, polls: true})
	return out.plc, out.ok
}
