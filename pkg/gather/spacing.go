package gather

import "amaranthvalve/pkg/clock"

// plannedWeight is the weight of a new batch in the mean planned time.
const plannedWeight = 0.1

// spacing keeps the starts of a pool's batches apart by the planned time of a batch divided by the
// number of slots.
//
// Without it the queued items take all free slots in small batches. These end together, and the
// items that arrived meanwhile, after half a batch's time of waiting, go in one large batch: the
// batches bunch up, as buses on a route do.
type spacing struct {
	// started is set once a batch has started, last is the start of the latest one, and meanMs is
	// the mean planned time.
	started bool
	last    clock.Milli
	meanMs  float64
}

// observe records the start of a batch.
func (spc *spacing) observe(planned, now clock.Milli) {
	if !spc.started {
		spc.meanMs = float64(planned)
	}
	spc.started, spc.last = true, now
	spc.meanMs += plannedWeight * (float64(planned) - spc.meanMs)
}

// delay returns how long the next batch is held back; rate is the number of effective slots.
func (spc *spacing) delay(rate float64, now clock.Milli) clock.Milli {
	if !spc.started || rate == 0 {
		return 0
	}
	return max(spc.last+clock.Milli(spc.meanMs/rate)-now, 0)
}

// StartDelay returns how long the next batch is held back, or zero. A full batch is not held back,
// because waiting would add no items to it.
func (sch *Scheduler) StartDelay(now clock.Milli) clock.Milli {
	if len(sch.waiting) >= sch.spec.MaxItems {
		return 0
	}
	rate, _ := sch.effectiveSlots(now)
	return sch.spacing.delay(rate, now)
}
