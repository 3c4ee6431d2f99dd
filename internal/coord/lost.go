package coord

import (
	"context"
	"slices"
	"sync"

	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/place"
)

// What an instance may do at brittle pools while their coordinators are out of reach.

const (
	// slotFallbackAfter is how long a coordinator must be out of reach before this instance uses
	// endpoints without its grant, one request at a time each: usually the next coordinator is known
	// by then.
	slotFallbackAfter = 500 * clock.Milli(1)
)

// losses records, by pool, since when no instance has granted its slots. The zero value is empty.
type losses struct {
	mtx   sync.Mutex
	since map[string]clock.Milli
}

// granted records that an instance grants the slots of a pool.
func (lss *losses) granted(pool string) {
	lss.mtx.Lock()
	defer lss.mtx.Unlock()
	delete(lss.since, pool)
}

// lost records that nobody grants the slots of a pool now, and returns since when.
func (lss *losses) lost(pool string, now clock.Milli) (since clock.Milli) {
	lss.mtx.Lock()
	defer lss.mtx.Unlock()
	if lss.since == nil {
		lss.since = map[string]clock.Milli{}
	}
	if _, ok := lss.since[pool]; !ok {
		lss.since[pool] = now
	}
	return lss.since[pool]
}

// blocks records, by pool, until when its coordinator isn't asked. The zero value is empty.
type blocks struct {
	mtx   sync.Mutex
	until map[string]clock.Milli
}

func (blk *blocks) blocked(pool string, now clock.Milli) bool {
	blk.mtx.Lock()
	defer blk.mtx.Unlock()
	return now < blk.until[pool]
}

func (blk *blocks) block(pool string, until clock.Milli) {
	blk.mtx.Lock()
	defer blk.mtx.Unlock()
	if blk.until == nil {
		blk.until = map[string]clock.Milli{}
	}
	blk.until[pool] = until
}

// slotShare returns the share of the slots of a pool's brittle endpoints that this instance may grant as their
// coordinator, zero if it isn't.
func (crd *Coordinator) slotShare(vw *state.View, pool string) float64 {
	share := crd.shareIn(vw, pool, limit.SlotShare)
	if share > 0 {
		crd.losses.granted(pool)
	}
	return share
}

// isLost records that nobody grants the slots of a pool, and reports whether that has lasted for slotFallbackAfter.
// An instance that has just started may not know the others.
func (crd *Coordinator) isLost(pool string, now clock.Milli) bool {
	return crd.hasJoined() && now-crd.losses.lost(pool, now) >= slotFallbackAfter
}

// placeWithoutCoordinator places a request at a brittle pool for which no instance has granted slots for
// slotFallbackAfter, neither others nor this one, which grants none while two that precede it are unresponsive:
// one slot of each endpoint may be used then.
func (crd *Coordinator) placeWithoutCoordinator(ctx context.Context, pool, ticket string, ask place.Ask, now clock.Milli) (Placement, bool) {
	if !crd.isBrittle(pool) || !crd.isLost(pool, now) {
		return Placement{}, false
	}
	return crd.placeOneSlot(pool, ticket, ask, now+crd.timeLeft(ctx))
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
