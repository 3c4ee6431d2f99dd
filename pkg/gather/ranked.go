package gather

import (
	"math"

	"amaranthvalve/pkg/clock"
)

const (
	// contendedStep replaces priorityStep for ranked items while the pool is contended. With 300 ms, items that
	// were queued before a burst was noticed went before more urgent ones, of which a tenth was
	// refused; with 1 s none was. The step is bounded so that items of any priority reach the head of
	// the queue.
	contendedStep = clock.Second
	// contendedShare is the time to start the queued items, as a share of the time of a full batch,
	// above which a pool is contended.
	contendedShare = 0.5
	// demandHalfLife is the half-life of the demand by priority in milliseconds: a burst shows within
	// the time of one request.
	demandHalfLife = 1000.0
	// minFreeShare is the least share of the throughput that is expected to be left to less urgent
	// items. Estimates of several seconds are refusals in any case.
	minFreeShare = 0.1
	// maxPriority bounds the priorities whose demand is measured; larger ones count as it. Priorities
	// come from other instances.
	maxPriority = 255
)

// demand measures how many items of each priority are added. A queue shows only the items that wait
// already. Less urgent items are also overtaken by more urgent ones that are added while they wait.
type demand struct {
	at    clock.Milli
	items []float64
}

func (dmd *demand) decay(now clock.Milli) {
	keep := math.Exp2(-float64(max(now-dmd.at, 0)) / demandHalfLife)
	for i := range dmd.items {
		dmd.items[i] *= keep
	}
	dmd.at = max(now, dmd.at)
}

func (dmd *demand) add(priority int, now clock.Milli) {
	dmd.decay(now)
	priority = min(max(priority, 0), maxPriority)
	for len(dmd.items) <= priority {
		dmd.items = append(dmd.items, 0)
	}
	dmd.items[priority]++
}

// before returns the rate at which items more urgent than a priority are added, per millisecond.
func (dmd *demand) before(priority int, now clock.Milli) float64 {
	dmd.decay(now)
	sum := 0.0
	for i := range min(max(priority, 0), len(dmd.items)) {
		sum += dmd.items[i]
	}
	return sum * math.Ln2 / demandHalfLife
}

// contended reports whether the pool takes long to start the queued items.
func (sch *Scheduler) contended(now clock.Milli) bool {
	rate, _ := sch.effectiveSlots(now)
	return rate > 0 && float64(len(sch.waiting))*sch.plannedInterval(rate) > contendedShare*float64(sch.spec.Time(sch.spec.MaxItems))
}

// orderTime is the key by which waiting items of a class are sorted.
func orderTime(itm Item, contended bool) clock.Milli {
	if contended && itm.Ranked {
		return itm.Due + clock.Milli(itm.Priority)*contendedStep
	}
	return itm.Due + clock.Milli(itm.Priority)*priorityStep
}

// WaitFor estimates how long a ranked item of a priority that is due at a time and added now would
// wait until its batch starts. Unlike [Scheduler.Wait] it counts only what goes before the item: of
// the queued items those that are at least as urgent and those that are sorted before it, and
// the more urgent items that will be added meanwhile. With equal priorities both are the same. A
// more urgent item with the same due time never has a longer wait.
func (sch *Scheduler) WaitFor(priority int, due, now clock.Milli) clock.Milli {
	rate, soonest := sch.effectiveSlots(now)
	if rate == 0 {
		return max(maxEject, sch.restLeft(now))
	}
	sch.throughput.observe(0, len(sch.waiting) >= sch.spec.MaxItems, now)
	interval, contended := sch.interval(rate), sch.contended(now)
	own := orderTime(Item{Due: due, Priority: priority, Ranked: true}, contended)
	ahead := 0
	for _, itm := range sch.waiting {
		if now+sch.spec.Time(1) <= itm.Due && (itm.Priority <= priority || orderTime(itm, contended) < own) {
			ahead++
		}
	}
	free := max(1-sch.demand.before(priority, now)*interval, minFreeShare)
	return soonest + clock.Milli(float64(ahead)*interval/free)
}
