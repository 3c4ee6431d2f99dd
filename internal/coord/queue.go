package coord

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"

	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/grant"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/place"
)

// Requests of all instances wait in one queue at the coordinator of a pool whose endpoints are brittle or
// declare rates. Polling gave a free slot to whoever asked next, which was mostly the coordinator itself,
// since it asks without a round trip.

const (
	// sweepInterval is the interval at which a queue is examined without an event: some slots become free
	// without one, such as those of requests that an engine reported some time ago.
	sweepInterval = 50 * clock.Milli(1)
	// pollWait is how long a request waits in the queue that polls for a slot, as instances of earlier
	// versions do. They give up after placeTimeout, and count that as a failure of the coordinator.
	pollWait = 10 * clock.Milli(1)
	// restRounding is the precision to which the ends of rests are compared: requests that differ by less
	// are of one class.
	restRounding = 100 * clock.Milli(1)
)

// waiter is a request that waits here.
type waiter struct {
	jrq joinRequest
	// holder is the instance that asks, and rests has the ends of its rests.
	holder ident.Incarnation
	rests  map[string]clock.Milli
	done   chan joinOutcome
}

// joinOutcome is how the wait of a request ended: with an endpoint, or with the time after which a slot is
// expected.
type joinOutcome struct {
	plc  Placement
	ok   bool
	wait clock.Milli
	// moved is set if this instance does not grant the pool's slots any more.
	moved bool
	// unused is the endpoint that was granted but can't be used by this instance, empty for none.
	unused ident.Process
	// ahead is the number of requests that went first, waited how long the request waited.
	ahead  int
	waited clock.Milli
}

// poolQueue is the queue of one pool, with the requests by their entries.
type poolQueue struct {
	mtx     sync.Mutex
	que     grant.Queue
	waiters map[*grant.Entry]*waiter
	// wakeAt is when the queue is examined next, zero if that is not scheduled.
	wakeAt clock.Milli
}

// class returns the class of a request: equal for requests that can use the same endpoints.
func (wtr *waiter) class() string {
	var parts []string
	for _, id := range wtr.jrq.Ask.Avoid {
		parts = append(parts, "-"+id)
	}
	for id, until := range wtr.rests {
		parts = append(parts, id+"@"+strconv.FormatInt(int64(until/restRounding), 10))
	}
	slices.Sort(parts)
	return strings.Join(append(parts, wtr.jrq.Ask.Build), "\x00")
}

// avoid returns the endpoints that the request must not be sent to at the moment.
func (wtr *waiter) avoid(now clock.Milli) []string {
	avoid := slices.Clone(wtr.jrq.Ask.Avoid)
	for id, until := range wtr.rests {
		if now < until {
			avoid = append(avoid, id)
		}
	}
	return avoid
}

// Queues reports whether requests to a pool wait in its coordinator's queue when they find no slot.
func (crd *Coordinator) Queues(pool string) bool {
	return crd.isBrittle(pool) || crd.set.Pools.HasRates(pool)
}

// isBrittle reports whether the endpoints of a pool of either kind are brittle.
func (crd *Coordinator) isBrittle(pool string) bool {
	return crd.set.Pools.IsBrittle(pool) || crd.set.Pools.HasBrittleEngines(pool)
}

// grants reports whether this instance may grant slots of a pool.
func (crd *Coordinator) grants(vw *state.View, pool string) bool {
	if crd.isBrittle(pool) {
		return crd.slotShare(vw, pool) > 0
	}
	return crd.rateShareIn(vw, pool) > 0
}

// isContended reports whether requests wait for a pool here.
func (crd *Coordinator) isContended(pool string) bool {
	pqu := crd.queues.get(pool, false)
	if pqu == nil {
		return false
	}
	pqu.mtx.Lock()
	defer pqu.mtx.Unlock()
	return pqu.que.Len() > 0
}

// join lets a request wait in the queue of a pool that this instance coordinates. It returns when the wait
// has ended, or the context.
func (crd *Coordinator) join(ctx context.Context, holder ident.Incarnation, jrq joinRequest) joinOutcome {
	now := crd.set.Clock.Now()
	wtr := &waiter{jrq: jrq, holder: holder, done: make(chan joinOutcome, 1)}
	if len(jrq.Rests) > 0 {
		wtr.rests = map[string]clock.Milli{}
		for id, left := range jrq.Rests {
			wtr.rests[id] = now + min(left, maxRest)
		}
	}
	ask := grant.Ask{
		Rank: jrq.Rank, Workspace: jrq.Workspace, Until: now + min(max(jrq.Wait, 0), maxSlotTime), Deadline: now + jrq.Left,
		Returned: jrq.Since > 0 || crd.queues.returned(jrq.Key, now), Class: wtr.class(),
	}
	pqu := crd.queues.get(jrq.Pool, true)
	pqu.mtx.Lock()
	if crd.view().AllWithheld(jrq.Pool, jrq.Ask.Build) {
		pqu.mtx.Unlock()
		return joinOutcome{}
	}
	// The queue may have been busy: a request that may not wait still gets a slot that is free now.
	now = crd.set.Clock.Now()
	ask.Until = max(ask.Until, now)
	if holder != "" && crd.queues.isWithdrawn(holder, jrq.Ticket, now) {
		pqu.mtx.Unlock()
		return joinOutcome{}
	}
	if jrq.polls {
		ask.Rank, _ = pqu.que.FirstRank()
	}
	ent, wait := pqu.que.Join(ask, now)
	if ent == nil {
		pqu.mtx.Unlock()
		crd.queues.refuse(jrq.Key, now)
		return joinOutcome{wait: max(wait, crd.untilOpen(jrq.Pool, now))}
	}
	pqu.waiters[ent] = wtr
	crd.dispatchLocked(jrq.Pool, pqu, now)
	pqu.mtx.Unlock()
	select {
	case out := <-wtr.done:
		return out
	default:
	}
	select {
	case out := <-wtr.done:
		return out
	case <-ctx.Done():
	}
	crd.leave(jrq.Pool, pqu, ent, wtr)
	return joinOutcome{}
}

// leave removes a request whose caller has left from the queue. A grant that it has got meanwhile is given
// back.
func (crd *Coordinator) leave(pool string, pqu *poolQueue, ent *grant.Entry, wtr *waiter) {
	pqu.mtx.Lock()
	if pqu.que.Leave(ent, crd.set.Clock.Now()) {
		delete(pqu.waiters, ent)
		pqu.mtx.Unlock()
		return
	}
	pqu.mtx.Unlock()
	if out := <-wtr.done; out.ok {
		crd.giveBack(pool, wtr.jrq.Ticket)
	}
}

// leaveByTicket removes a request that its instance has withdrawn from the queue, if it waits there: the end of its
// call may come later than the report, and a slot that it is granted until then is used by nobody.
func (crd *Coordinator) leaveByTicket(pool, ticket string) {
	pqu := crd.queues.get(pool, false)
	if pqu == nil {
		return
	}
	pqu.mtx.Lock()
	defer pqu.mtx.Unlock()
	for ent, wtr := range pqu.waiters {
		if wtr.jrq.Ticket == ticket && pqu.que.Leave(ent, crd.set.Clock.Now()) {
			pqu.finish(ent, joinOutcome{})
			return
		}
	}
}

// giveBack ends a grant that is not used. The rate of an endpoint that was used for it is not restored.
func (crd *Coordinator) giveBack(pool, ticket string) {
	crd.queues.drop(ticket)
	crd.set.Pools.ReleaseSlot("", ticket, false)
	crd.set.Pools.End(pool, ticket, place.Neutral, 0)
	crd.dispatch(pool)
}

// dispatch gives free slots of a pool to the requests that wait here.
func (crd *Coordinator) dispatch(pool string) {
	pqu := crd.queues.get(pool, false)
	if pqu == nil {
		return
	}
	pqu.mtx.Lock()
	defer pqu.mtx.Unlock()
	crd.dispatchLocked(pool, pqu, crd.set.Clock.Now())
}

// DispatchAll gives free slots of all pools to the requests that wait here. It is called when the endpoints
// or the membership have changed.
func (crd *Coordinator) DispatchAll(vw *state.View) {
	crd.endLost(vw)
	for pool, pqu := range crd.queues.all() {
		pqu.mtx.Lock()
		pqu.refuseWithheld(vw, pool, crd.set.Clock.Now())
		crd.dispatchLocked(pool, pqu, crd.set.Clock.Now())
		pqu.mtx.Unlock()
	}
}

// refuseWithheld refuses the requests whose endpoints are all in evacuated data centres.
func (pqu *poolQueue) refuseWithheld(vw *state.View, pool string, now clock.Milli) {
	withheld := map[string]bool{}
	for ent, wtr := range pqu.waiters {
		build := wtr.jrq.Ask.Build
		if _, ok := withheld[build]; !ok {
			withheld[build] = vw.AllWithheld(pool, build)
		}
		if withheld[build] && pqu.que.Leave(ent, now) {
			pqu.finish(ent, joinOutcome{ahead: ent.Ahead(), waited: now - ent.JoinedAt()})
		}
	}
}

// endLost ends the grants of instances that have died, and those that have expired.
func (crd *Coordinator) endLost(vw *state.View) {
	now := crd.set.Clock.Now()
	for ticket, hld := range crd.queues.takeLost(vw, now) {
		crd.set.Log.Info().Str("pool", hld.pool).Str("request", ticket).Str("holder", string(hld.holder)).Bool("expired", now >= hld.expires).
			Msg("grant was not released, and ended")
		crd.giveBack(hld.pool, ticket)
	}
}

// dispatchLocked is dispatch with the queue locked, at a time that was read since.
func (crd *Coordinator) dispatchLocked(pool string, pqu *poolQueue, now clock.Milli) {
	if pqu.que.Len() == 0 {
		return
	}
	vw := crd.view()
	if !crd.grants(vw, pool) {
		pqu.que.Clear(now)
		for _, wtr := range pqu.waiters {
			wtr.done <- joinOutcome{moved: true}
		}
		clear(pqu.waiters)
		return
	}
	crd.expireLocked(pool, pqu, now, false)
	var plc Placement
	take := func(ent *grant.Entry) (ok bool) {
		plc, ok = crd.take(vw, pool, pqu.waiters[ent], now)
		return ok
	}
	for ent := pqu.que.Next(now, take); ent != nil; ent = pqu.que.Next(now, take) {
		pqu.finish(ent, joinOutcome{plc: plc, ok: true, ahead: ent.Ahead(), waited: now - ent.JoinedAt()})
	}
	crd.expireLocked(pool, pqu, now, true)
	crd.schedule(pool, pqu, now)
	crd.setQueueGauges()
}

// expireLocked refuses the requests that can't be served in time. Before slots are granted, those remain
// which may not wait: they take a slot that is free at once.
func (crd *Coordinator) expireLocked(pool string, pqu *poolQueue, now clock.Milli, all bool) {
	for _, rfs := range pqu.que.Expire(now, all) {
		crd.queues.refuse(pqu.waiters[rfs.Entry].jrq.Key, now)
		pqu.finish(rfs.Entry, joinOutcome{wait: max(rfs.Wait, crd.untilOpen(pool, now)), ahead: rfs.Entry.Ahead(), waited: now - rfs.Entry.JoinedAt()})
	}
}

// finish ends the wait of a request.
func (pqu *poolQueue) finish(ent *grant.Entry, out joinOutcome) {
	pqu.waiters[ent].done <- out
	delete(pqu.waiters, ent)
}

// take takes a free slot of a pool for a request that waits, or a permit.
func (crd *Coordinator) take(vw *state.View, pool string, wtr *waiter, now clock.Milli) (Placement, bool) {
	jrq, expires, isPermit := wtr.jrq, now+min(wtr.jrq.Left, maxSlotTime), false
	var plc Placement
	switch {
	case crd.set.Pools.IsBrittle(pool):
		id := crd.set.Pools.TakeSlot(pool, jrq.Ticket, wtr.avoid(now), crd.shareIn(vw, pool, limit.SlotShare), crd.rateShareIn(vw, pool), expires)
		plc.ID = ident.Process(id)
	case crd.isPlain(vw, pool):
		id, _ := crd.set.Pools.TakePermit(pool, crd.rateShareIn(vw, pool), wtr.avoid(now)...)
		plc.ID, isPermit = ident.Process(id), true
	default:
		ask := jrq.Ask
		ask.Avoid = wtr.avoid(now)
		ask.Share, _ = crd.engineShare(vw, pool)
		plc, _ = crd.pick(pool, jrq.Ticket, ask, crd.rateShareIn(vw, pool))
	}
	// A permit is used up when it is given; nobody releases it.
	if plc.ID != "" && wtr.holder != "" && !isPermit {
		crd.queues.hold(jrq.Ticket, holding{pool: pool, holder: wtr.holder, expires: expires, listed: isMember(vw, wtr.holder)})
	}
	return plc, plc.ID != ""
}

// isMember reports whether an instance is a live member.
func isMember(vw *state.View, inc ident.Incarnation) bool {
	return slices.ContainsFunc(vw.Members(), func(mbr member.Member) bool { return mbr.ID() == inc })
}

// isPlain reports whether a pool has plain endpoints.
func (crd *Coordinator) isPlain(vw *state.View, pool string) bool {
	pol, ok := vw.Plan().Pool(pool)
	return ok && pol.Engine() == nil
}

// schedule arranges that the queue is examined when a slot may become free without a message, or when a
// request has waited as long as it may.
func (crd *Coordinator) schedule(pool string, pqu *poolQueue, now clock.Milli) {
	expiry, ok := pqu.que.NextExpiry()
	if !ok {
		return
	}
	at := max(min(now+sweepInterval, expiry, now+crd.set.Pools.UntilOpen(pool)), now+1)
	if pqu.wakeAt > now && pqu.wakeAt <= at {
		return
	}
	pqu.wakeAt = at
	crd.set.After(at-now, func() {
		if crd.queues.lostDue(crd.set.Clock.Now()) {
			crd.endLost(crd.view())
		}
		pqu.mtx.Lock()
		defer pqu.mtx.Unlock()
		if pqu.wakeAt == at {
			pqu.wakeAt = 0
			crd.dispatchLocked(pool, pqu, crd.set.Clock.Now())
		}
	})
}

// untilOpen returns the time until a pool may have a slot again that has none for a pause or a rate; zero if
// that is unknown.
func (crd *Coordinator) untilOpen(pool string, _ clock.Milli) clock.Milli {
	if span := crd.set.Pools.UntilOpen(pool); span < maxRest {
		return span
	}
	return 0
}
