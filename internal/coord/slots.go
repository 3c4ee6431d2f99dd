package coord

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/place"
)

// An endpoint may be brittle: it falls over when it rejects more than a few requests within a second,
// while it lets fewer wait than before. What each instance sends it by its own limits adds up to more
// than it has room for. The coordinator of the pool therefore grants a slot for each request to a
// brittle plain endpoint, as many as the endpoint runs at a time. It places the prompts and batches the
// items of the other pools anyway.

const (
	// slotRetryDelay is how long no slots are requested from a coordinator that has none, plus
	// slotRetryStep for each instance: that many instances ask it.
	slotRetryDelay = 5 * clock.Milli(1)
	slotRetryStep  = 0.5
	// slotGrace is how much longer than its request a slot is kept that is not released.
	slotGrace = clock.Second
	// slotFallbackAfter is how long a coordinator must be out of reach before this instance uses
	// endpoints without its grant, one request at a time each: usually the next coordinator is known
	// by then.
	slotFallbackAfter = 500 * clock.Milli(1)
)

// slotRequest requests a slot of any endpoint of a pool.
type slotRequest struct {
	Pool   string   `cbor:"1,keyasint"`
	Ticket string   `cbor:"2,keyasint"`
	Avoid  []string `cbor:"3,keyasint,omitempty"`
	// Left is the time in which the request ends.
	Left clock.Milli `cbor:"4,keyasint"`
}

// slot is a granted slot: the ticket, and the coordinator that granted it, empty for this instance.
type slot struct {
	ticket      string
	coordinator ident.Incarnation
}

// slotWaits records, by pool, until when no slots are requested and since when the coordinator has been
// out of reach. The zero value is empty.
type slotWaits struct {
	mtx       sync.Mutex
	until     map[string]clock.Milli
	lostSince map[string]clock.Milli
}

func (slw *slotWaits) blocked(pool string, now clock.Milli) bool {
	slw.mtx.Lock()
	defer slw.mtx.Unlock()
	return now < slw.until[pool]
}

func (slw *slotWaits) block(pool string, until clock.Milli) {
	slw.mtx.Lock()
	defer slw.mtx.Unlock()
	if slw.until == nil {
		slw.until = map[string]clock.Milli{}
	}
	slw.until[pool] = until
}

// answered records whether the coordinator of a pool answered, and returns since when it has not.
func (slw *slotWaits) answered(pool string, ok bool, now clock.Milli) (lostSince clock.Milli) {
	slw.mtx.Lock()
	defer slw.mtx.Unlock()
	if ok {
		delete(slw.lostSince, pool)
		return now
	}
	if slw.lostSince == nil {
		slw.lostSince = map[string]clock.Milli{}
	}
	if _, lost := slw.lostSince[pool]; !lost {
		slw.lostSince[pool] = now
	}
	return slw.lostSince[pool]
}

// slotShare returns the share of the slots of a pool's brittle endpoints that this instance may grant as their
// coordinator, zero if it isn't.
func (crd *Coordinator) slotShare(vw *state.View, pool string) float64 {
	share := crd.shareIn(vw, pool, limit.SlotShare)
	if share > 0 {
		crd.slotWaits.answered(pool, true, crd.set.Clock.Now())
	}
	return share
}

// isLost records that nobody grants the slots of a pool, and reports whether that has lasted for slotFallbackAfter.
// An instance that has just started may not know the others.
func (crd *Coordinator) isLost(pool string, now clock.Milli) bool {
	return crd.hasJoined() && now-crd.slotWaits.answered(pool, false, now) >= slotFallbackAfter
}

// timeLeft returns the time in which a request ends, and its slot if that is not released.
func (crd *Coordinator) timeLeft(ctx context.Context) clock.Milli {
	left := slotGrace
	if until, ok := ctx.Deadline(); ok {
		left += crd.set.Clock.Until(until)
	}
	return left
}

// placeBrittle chooses a brittle plain endpoint that has a free slot.
func (crd *Coordinator) placeBrittle(ctx context.Context, vw *state.View, pool, ticket string, ask place.Ask) (Placement, bool) {
	// A coordinator may not know of an evacuation yet.
	avoid := slices.Concat(ask.Avoid, vw.Withheld(pool))
	// Slots whose answer is lost are given back one by one.
	ticket += "." + strconv.FormatInt(crd.placeTries.Add(1), 10)
	id, by := crd.acquireSlot(ctx, vw, slotRequest{Pool: pool, Ticket: ticket, Avoid: avoid, Left: crd.timeLeft(ctx)})
	if id == "" {
		return Placement{}, false
	}
	plc := Placement{slot: &slot{ticket: ticket, coordinator: by}}
	tgt, ok := crd.set.Pools.Begin(pool, id)
	if !ok {
		plc.ID = ident.Process(id)
		crd.ReleaseSlot(pool, plc, false)
		return Placement{}, false
	}
	plc.Target = tgt
	return plc, true
}

// acquireSlot returns an endpoint with a slot for a request, and the coordinator that granted it; empty
// if there is none.
func (crd *Coordinator) acquireSlot(ctx context.Context, vw *state.View, srq slotRequest) (id string, by ident.Incarnation) {
	now := crd.set.Clock.Now()
	if share := crd.slotShare(vw, srq.Pool); share > 0 {
		if crd.isContended(srq.Pool) {
			plc, _ := crd.poll("", srq.Pool, srq.Ticket, place.Ask{Avoid: srq.Avoid}, srq.Left)
			return string(plc.ID), ""
		}
		return crd.set.Pools.TakeSlot(srq.Pool, srq.Ticket, srq.Avoid, share, crd.rateShareIn(vw, srq.Pool), now+srq.Left), ""
	}
	inc := crd.coordinator(vw, srq.Pool)
	if crd.set.Link == nil || crd.slotWaits.blocked(srq.Pool, now) {
		return "", ""
	}
	ok := false
	if inc != crd.set.Control.Self() {
		id, ok = crd.requestSlot(ctx, vw, inc, srq)
	}
	switch {
	case id != "":
		crd.slotWaits.answered(srq.Pool, true, now)
		return id, inc
	case ctx.Err() != nil:
		return "", ""
	case ok:
		crd.slotWaits.answered(srq.Pool, true, now)
	case crd.isLost(srq.Pool, now):
		return crd.set.Pools.TakeSlot(srq.Pool, srq.Ticket, srq.Avoid, limit.OneSlot, 0, now+srq.Left), ""
	}
	crd.slotWaits.block(srq.Pool, now+slotRetryDelay+clock.Milli(slotRetryStep*float64(len(vw.Members()))))
	return "", ""
}

// placeOneSlot places a request at a brittle pool by the records of this instance, which isn't its
// coordinator: one slot of each endpoint may be used.
func (crd *Coordinator) placeOneSlot(pool, ticket string, ask place.Ask, expires clock.Milli) (Placement, bool) {
	ask.Avoid = crd.withResting(ask.Avoid)
	if crd.set.Pools.HasBrittleEngines(pool) {
		ask.Share = limit.OneSlot
		return crd.pick(pool, ticket, ask, 0)
	}
	jrq := joinRequest{Pool: pool, Ticket: ticket, Ask: ask}
	avoid := slices.Concat(ask.Avoid, crd.set.Pools.OtherBuilds(pool, ask.Build))
	id := crd.set.Pools.TakeSlot(pool, ticket, avoid, limit.OneSlot, 0, expires)
	if id == "" {
		return Placement{}, false
	}
	return crd.beginPlain(pool, jrq, id, "")
}

// requestSlot requests a slot from a coordinator. It returns an empty ID if there is none, and false if
// the coordinator did not answer. The slot of an answer that is lost or comes later is given back.
func (crd *Coordinator) requestSlot(ctx context.Context, vw *state.View, inc ident.Incarnation, srq slotRequest) (string, bool) {
	body, err := cbor.Marshal(srq)
	if err != nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	sent := crd.set.Clock.Now()
	ans, err := crd.set.Link.Call(ctx, inc.Addr(), peer.Message{Kind: peer.TakeSlot, From: crd.set.Control.Self(), To: inc, Body: body})
	crd.notePlaceReply(inc, sent, err == nil)
	if err == nil && ans.Kind != peer.OK {
		crd.retryBefore(vw, srq.Pool, inc)
	}
	if err != nil {
		crd.withdraw(inc, srq.Pool, srq.Ticket)
	}
	if err != nil || ans.Kind != peer.OK {
		return "", false
	}
	return string(ans.Body), true
}

// HandleSlot handles the request for a slot of another instance; it is registered with the link.
func (crd *Coordinator) HandleSlot(msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	var srq slotRequest
	if cbor.Unmarshal(msg.Body, &srq) != nil {
		return ans
	}
	vw := crd.view()
	share := crd.shareIn(vw, srq.Pool, limit.SlotShare)
	if share == 0 {
		return ans
	}
	ans.Kind = peer.OK
	if crd.queues.isWithdrawn(msg.From, srq.Ticket, crd.set.Clock.Now()) {
		return ans
	}
	if crd.isContended(srq.Pool) {
		plc, _ := crd.poll(msg.From, srq.Pool, srq.Ticket, place.Ask{Avoid: srq.Avoid}, srq.Left)
		ans.Body = []byte(plc.ID)
		return ans
	}
	ans.Body = []byte(crd.set.Pools.TakeSlot(srq.Pool, srq.Ticket, srq.Avoid, share, crd.rateShareIn(vw, srq.Pool), crd.set.Clock.Now()+min(srq.Left, maxSlotTime)))
	return ans
}

// maxSlotTime bounds the time for which another instance may keep a slot.
const maxSlotTime = 2 * clock.Minute

// ReleaseSlot ends the grant of a request's slot, if it has one; rejected is set if the endpoint had no
// room for it.
func (crd *Coordinator) ReleaseSlot(pool string, plc Placement, rejected bool) {
	if plc.slot == nil {
		return
	}
	crd.set.Pools.ReleaseSlot(plc.ID, plc.slot.ticket, rejected)
	crd.dispatch(pool)
	crd.reports.add(crd, plc.slot.coordinator, report{Pool: pool, Ticket: plc.slot.ticket, Ended: true, Slot: plc.ID, Rejected: rejected})
}
