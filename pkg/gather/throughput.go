package gather

import (
	"math"

	"amaranthvalve/pkg/clock"
)

const (
	// throughputHalfLife is the half-life of the measurement in milliseconds: a few batches, so
	// that a burst shows within the time of one request.
	throughputHalfLife = 1000.0
	// minObservation is the time with more queued items than a batch holds, in milliseconds, before
	// the measurement is used.
	minObservation = 200.0
)

// throughput measures how fast items are started while more of them wait than a batch holds.
//
// Slots and planned times give an upper bound only. Where results fill the storage of the
// endpoints, the pool is several times slower, and an estimate from planned times admitted requests
// that were half done and waiting when their results expired.
type throughput struct {
	at      clock.Milli
	backlog bool
	span    float64
	started float64
}

// observe adds the time since the last observation, if there was a backlog, and the number of items
// started at its end. backlog reports whether more items wait now than a batch holds.
func (tp *throughput) observe(begun int, backlog bool, now clock.Milli) {
	elapsed := float64(now - tp.at)
	keep := math.Exp2(-elapsed / throughputHalfLife)
	tp.span, tp.started = tp.span*keep, tp.started*keep
	if tp.backlog {
		tp.span += elapsed
		tp.started += float64(begun)
	}
	tp.at, tp.backlog = now, backlog
}

// interval returns the mean time between the starts of two items, or zero if the observation is too
// short.
func (tp *throughput) interval() float64 {
	if tp.span < minObservation {
		return 0
	}
	return tp.span / max(tp.started, 1)
}
