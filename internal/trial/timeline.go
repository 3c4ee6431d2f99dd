package trial

import (
	"container/heap"

	"amaranthvalve/pkg/clock"
)

// timeline runs events in the order of simulated time; events of the same time run in the order in
// which they were scheduled.
type timeline struct {
	now    clock.Milli
	seq    int
	events eventHeap
}

type event struct {
	at  clock.Milli
	seq int
	run func()
}

type eventHeap []event

// Len implements heap.Interface.
func (evh eventHeap) Len() int { return len(evh) }

// Less implements heap.Interface.
func (evh eventHeap) Less(i, j int) bool {
	if evh[i].at != evh[j].at {
		return evh[i].at < evh[j].at
	}
	return evh[i].seq < evh[j].seq
}

// Swap implements heap.Interface.
func (evh eventHeap) Swap(i, j int) { evh[i], evh[j] = evh[j], evh[i] }

// Push implements heap.Interface.
func (evh *eventHeap) Push(val any) { *evh = append(*evh, val.(event)) }

// Pop implements heap.Interface.
func (evh *eventHeap) Pop() any {
	old := *evh
	last := old[len(old)-1]
	*evh = old[:len(old)-1]
	return last
}

// after schedules an event; a negative span counts as zero.
func (tln *timeline) after(span clock.Milli, run func()) {
	tln.seq++
	heap.Push(&tln.events, event{at: tln.now + max(span, 0), seq: tln.seq, run: run})
}

// run runs the events up to a time, those at this time included.
func (tln *timeline) run(until clock.Milli) {
	for len(tln.events) > 0 && tln.events[0].at <= until {
		next := heap.Pop(&tln.events).(event)
		tln.now = next.at
		next.run()
	}
	tln.now = until
}
