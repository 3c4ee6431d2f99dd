package coord

import (
	"context"
	"slices"
	"strconv"

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
	if crd.set.Link == nil || crd.slotBlocks.blocked(srq.Pool, now) {
		return "", ""
	}
	ok := false
	if inc != crd.set.Control.Self() {
		id, ok = crd.requestSlot(ctx, vw, inc, srq)
	}
	switch {
	case id != "":
		crd.losses.granted(srq.Pool)
		return id, inc
	case ctx.Err() != nil:
		return "", ""
	case ok:
		crd.losses.granted(srq.Pool)
	case crd.isLost(srq.Pool, now):
		return crd.set.Pools.TakeSlot(srq.Pool, srq.Ticket, srq.Avoid, limit.OneSlot, 0, now+srq.Left), ""
	}
	crd.slotBlocks.block(srq.Pool, now+slotRetryDelay+clock.Milli(slotRetryStep*float64(len(vw.Members()))))
	return "", ""
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
