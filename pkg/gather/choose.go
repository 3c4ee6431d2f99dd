package gather

import (
	"cmp"
	"slices"

	"amaranthvalve/pkg/clock"
)

// Next returns a batch to send now, or false if none is due.
func (sch *Scheduler) Next(now clock.Milli) (Batch, bool) {
	if len(sch.waiting) == 0 || sch.StartDelay(now) > 0 {
		return Batch{}, false
	}
	sch.expire(now)
	open := sch.available(now)
	if len(open) == 0 {
		return Batch{}, false
	}
	sch.sortWaiting(now)
	for len(open) > 0 {
		ep := sch.chooseEndpoint(open, now)
		if ep == nil {
			return Batch{}, false
		}
		if bat, ok := sch.fill(ep, now); ok {
			return bat, true
		}
		open = slices.DeleteFunc(open, func(oth *endpoint) bool { return oth == ep })
	}
	return Batch{}, false
}

// reservedElsewhere reports whether an item is still reserved for an endpoint in its preferred data
// centre, which is not that of ep.
func (sch *Scheduler) reservedElsewhere(itm Item, ep *endpoint, now clock.Milli) bool {
	if itm.Zone == "" || itm.Zone == ep.Zone || now >= itm.LocalUntil {
		return false
	}
	for _, oth := range sch.endpoints {
		if oth.Zone == itm.Zone && !oth.Leaving && !oth.Withheld && now >= max(oth.blockedUntil, oth.restUntil) && oth.slowness(now) <= slowThreshold {
			return true
		}
	}
	return false
}

// expire drops results past their TTL and estimates of foreign results past theirs.
func (sch *Scheduler) expire(now clock.Milli) {
	for handle, res := range sch.results {
		if now > res.until {
			res.endpoint.heldBytes -= res.bytes
			delete(sch.results, handle)
		}
	}
	for _, ep := range sch.endpoints {
		if now >= ep.foreignUntil {
			ep.foreignBytes = 0
		}
	}
}

// available returns the endpoints with a free slot. A slow endpoint is left out if the others would
// complete the item sooner, including the time to start the queued items. Comparing it only with
// the next free slot of a large pool left slow endpoints idle beside a long queue.
func (sch *Scheduler) available(now clock.Milli) []*endpoint {
	var free []*endpoint
	soonest := clock.Milli(-1)
	for _, ep := range sch.endpoints {
		if ep.isHeld(now) || now < ep.fullUntil {
			continue
		}
		done := sch.untilFree(ep, now) + clock.Milli(ep.slowness(now)*float64(sch.spec.Time(1)))
		if soonest < 0 || done < soonest {
			soonest = done
		}
		if ep.batches < max(sch.spec.Slots, 1) {
			free = append(free, ep)
		}
	}
	queued := sch.backlogTime(now)
	return slices.DeleteFunc(free, func(ep *endpoint) bool {
		return ep.slowness(now) > slowThreshold && clock.Milli(ep.slowness(now)*float64(sch.spec.Time(1))) > soonest+queued
	})
}

// backlogTime returns the time the pool takes to start the items that exceed one batch.
func (sch *Scheduler) backlogTime(now clock.Milli) clock.Milli {
	beyond := len(sch.waiting) - sch.spec.MaxItems
	rate, _ := sch.effectiveSlots(now)
	if beyond <= 0 || rate == 0 {
		return 0
	}
	return clock.Milli(float64(beyond) * sch.plannedInterval(rate))
}

// sortWaiting orders the waiting items: remaining items of jobs that have begun, then items that
// can still be on time, then late items; within each class by due time, with a step for each
// priority that is larger for ranked items while the pool is contended.
//
// Remaining items go first even if they are late. The results of a job that has begun can be
// neither used nor released before its last item is complete. When they were sorted behind all
// others, they waited until they expired while the results of the job occupied the storage that the
// others needed: the pool stalled with its endpoints idle.
func (sch *Scheduler) sortWaiting(now clock.Milli) {
	contended := sch.contended(now)
	slices.SortStableFunc(sch.waiting, func(x, y Item) int {
		if classX, classY := sch.class(x, now), sch.class(y, now); classX != classY {
			return cmp.Compare(classX, classY)
		}
		return cmp.Compare(orderTime(x, contended), orderTime(y, contended))
	})
}

// class is the primary sort key of waiting items; the due time is the secondary one.
type class int

const (
	begunClass class = iota
	onTimeClass
	lateClass
)

func (sch *Scheduler) class(itm Item, now clock.Milli) class {
	switch {
	case itm.Begun:
		return begunClass
	case now+sch.spec.Time(1) <= itm.Due:
		return onTimeClass
	}
	return lateClass
}

// chooseEndpoint returns the available endpoint whose data centre most of the urgent items prefer,
// among those that can accept at least one of them now.
func (sch *Scheduler) chooseEndpoint(open []*endpoint, now clock.Milli) *endpoint {
	next := sch.mostUrgent()
	var best *endpoint
	bestFor := -1
	for _, ep := range open {
		wanted, able := 0, false
		for _, itm := range next {
			if sch.reservedElsewhere(itm, ep, now) || !sch.fits(ep, 0, itm) {
				continue
			}
			able = true
			if itm.Zone == ep.Zone {
				wanted++
			}
		}
		if !able {
			continue
		}
		if wanted > bestFor || wanted == bestFor && better(ep, best, now) {
			best, bestFor = ep, wanted
		}
	}
	return best
}

// better reports whether ep is preferred to than when equally many items prefer their data centres:
// the less slow one first, then the one with fewer stored results.
func better(ep, than *endpoint, now clock.Milli) bool {
	if ep.slowness(now) != than.slowness(now) {
		return ep.slowness(now) < than.slowness(now)
	}
	return ep.heldBytes+ep.foreignBytes < than.heldBytes+than.foreignBytes
}

func (sch *Scheduler) fits(ep *endpoint, taken int64, itm Item) bool {
	return sch.spec.Capacity == 0 || ep.heldBytes+ep.foreignBytes+taken+itm.Bytes <= sch.spec.Capacity
}

// mostUrgent returns the head of the sorted queue, extended to the end of a job.
func (sch *Scheduler) mostUrgent() []Item {
	n := min(len(sch.waiting), lookAheadBatches*sch.spec.MaxItems)
	for n > 0 && n < len(sch.waiting) && sch.waiting[n].Job == sch.waiting[n-1].Job {
		n++
	}
	return sch.waiting[:n]
}

// markBegunJobs marks the waiting items of jobs of which a batch has just taken items.
func (sch *Scheduler) markBegunJobs(items []Item) {
	begun := make(map[int64]bool, len(items))
	for _, itm := range items {
		begun[itm.Job] = true
	}
	for i := range sch.waiting {
		sch.waiting[i].Begun = sch.waiting[i].Begun || begun[sch.waiting[i].Job]
	}
}

// startBatch records a batch as started and removes its items from the queue.
func (sch *Scheduler) startBatch(ep *endpoint, bld builder, now clock.Milli) (Batch, bool) {
	bat := Batch{Endpoint: ep.Endpoint, Items: bld.items}
	taken, bytes := bld.taken, bld.bytes
	if len(bat.Items) == 0 {
		return Batch{}, false
	}
	if len(sch.waiting) >= sch.spec.MaxItems {
		sch.meanFill = sch.expectedFill() + fillWeight*(float64(len(bat.Items))-sch.expectedFill())
	}
	sch.waiting = slices.DeleteFunc(sch.waiting, func(itm Item) bool { return taken[itm.ID] })
	sch.markBegunJobs(bld.items)
	sch.throughput.observe(len(bat.Items), len(sch.waiting) >= sch.spec.MaxItems, now)
	sch.lastID++
	bat.ID = sch.lastID
	expect := clock.Milli(ep.slowness(now) * float64(sch.spec.Time(len(bat.Items))))
	bat.Timeout = clock.Milli(timeoutFactor*float64(max(expect, sch.spec.Time(sch.spec.MaxItems)))) + timeoutMargin
	if sch.batches == nil {
		sch.batches = map[int64]*openBatch{}
	}
	sch.batches[bat.ID] = &openBatch{endpoint: ep, count: len(bat.Items), bytes: bytes, began: now, expect: expect}
	ep.batches++
	ep.heldBytes += bytes
	sch.spacing.observe(sch.spec.Time(len(bat.Items)), now)
	return bat, true
}
