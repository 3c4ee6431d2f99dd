package coord

import (
	"cmp"
	"slices"

	"amaranthvalve/internal/meter"
	"amaranthvalve/pkg/clock"
)

// QueueState is the state of the queue of a pool, for operators.
type QueueState struct {
	Pool    string
	Waiting int
	// Oldest is the longest time that a request has waited; Pace is the mean time between grants in
	// milliseconds, zero if it is unknown.
	Oldest clock.Milli
	Pace   float64
}

// QueueStates returns the states of the queues here, by pool; those without requests that wait and without a
// known pace are left out.
func (crd *Coordinator) QueueStates() (list []QueueState) {
	now := crd.set.Clock.Now()
	for pool, pqu := range crd.queues.all() {
		pqu.mtx.Lock()
		qst := QueueState{Pool: pool, Waiting: pqu.que.Len(), Oldest: pqu.que.Oldest(now), Pace: pqu.que.Pace(now)}
		pqu.mtx.Unlock()
		if qst.Waiting > 0 || qst.Pace > 0 {
			list = append(list, qst)
		}
	}
	slices.SortFunc(list, func(x, y QueueState) int { return cmp.Compare(x.Pool, y.Pool) })
	return list
}

// gaugeInterval is the interval at which the gauges of the queues are set at most: they take the longest wait
// of all requests.
const gaugeInterval = 250 * clock.Milli(1)

// setQueueGauges sets the gauges of the queues after the calls in progress, which may hold a queue.
func (crd *Coordinator) setQueueGauges() {
	if crd.set.Meter == nil || !crd.gaugesDue.CompareAndSwap(false, true) {
		return
	}
	crd.set.After(gaugeInterval, func() {
		crd.gaugesDue.Store(false)
		waiting, oldest := 0, clock.Milli(0)
		for _, qst := range crd.QueueStates() {
			waiting, oldest = waiting+qst.Waiting, max(oldest, qst.Oldest)
		}
		crd.set.Meter.SetGauge(meter.GaugeGrantQueue, float64(waiting))
		crd.set.Meter.SetGauge(meter.GaugeGrantWait, float64(oldest))
		if waiting > 0 {
			crd.setQueueGauges()
		}
	})
}
