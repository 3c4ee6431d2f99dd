// Package admit implements admission control and fair queueing for a pool of endpoints.
//
// # Concepts
//
// A [Queue] holds the requests of one instance that wait for one pool of endpoints
// while every endpoint is at its limit. The next request is selected by priority
// between services, then by start-time fair queueing between workspaces (P. Goyal,
// H. Vin, H. Cheng, SIGCOMM 1996) with the document's shares as weights, so that a
// burst from a large workspace delays that workspace and not the others.
//
// A request that can't meet its deadline is refused as soon as this is known, not
// when the deadline passes: on arrival if the expected wait plus the estimated time
// of its stages exceeds the deadline, and in the queue as soon as the remaining time
// is shorter than that estimate. Serving it anyway would spend endpoint time on an
// unused answer and delay the next request as well.
//
// # Chains of stages
//
// A request that passes through the pools of several stages is admitted once, on arrival, over the
// whole chain ([Budget]). Where routes of different priorities share such a pool, the waits are those
// of the request's rank ([WaitTable]), so that the least urgent requests are refused first. [Recent]
// notices routes, workspaces and sizes of requests that are served far less often than all; these
// are admitted at the most urgent rank.
package admit

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

// maxQueued bounds the length of a queue: 2 MB at 2 kB a request.
const maxQueued = 1024

// Ask describes a request for admission to the pool.
type Ask struct {
	// Workspace is the flow for fair queueing, Share its weight.
	Workspace string
	Share     int
	// Priority is the priority of the service; higher values are served first.
	Priority int
	// Deadline is the instant by which the whole request must be answered.
	Deadline clock.Milli
	// Estimate is the estimated time of this stage and the following ones.
	Estimate clock.Milli
}

// Ticket identifies a queued request.
type Ticket struct {
	ask   Ask
	start float64
	seq   uint64
	// ready is called once, when the request leaves the queue other than by [Queue.Leave].
	ready func(out Outcome, now clock.Milli)
}

// Outcome is the final outcome of a queued request.
type Outcome int

// Outcomes of a queued request.
const (
	// Served: the request was dequeued for an endpoint.
	Served Outcome = iota
	// Late: the request can no longer meet its deadline.
	Late
	// Displaced: the queue was full and a request of higher priority took the slot.
	Displaced
)

// Queue is the wait queue of a pool. The zero value is an empty queue. It is not
// safe for concurrent use.
type Queue struct {
	waiting []*Ticket
	// finish holds the last finish tag of each workspace, virtual the virtual time.
	finish  map[string]float64
	virtual float64
	seq     uint64
	// interval is the moving average of the time between dequeues under load, in
	// milliseconds.
	interval   float64
	lastServed clock.Milli
	lastBusy   bool
	fifo       bool
}

// UseFIFO makes the queue serve in order of arrival and ignore deadlines. It is a
// baseline for measurements.
func (que *Queue) UseFIFO() { que.fifo = true }

// Len returns the number of queued requests.
func (que *Queue) Len() int { return len(que.waiting) }

// JoinResult is the result of [Queue.Join].
type JoinResult int

// Results of [Queue.Join].
const (
	// Queued: the request was queued.
	Queued JoinResult = iota
	// Full: the queue is full.
	Full
	// TooLate: the request can't meet its deadline.
	TooLate
)

// EstimateWait estimates the queueing delay of a request that would join now.
func (que *Queue) EstimateWait(ask Ask) clock.Milli {
	ahead := 0
	mine := 0
	for _, tkt := range que.waiting {
		switch {
		case tkt.ask.Priority > ask.Priority:
			ahead++
		case tkt.ask.Priority == ask.Priority && tkt.ask.Workspace == ask.Workspace:
			mine++
		}
	}
	// Fair queueing interleaves workspaces of the same priority: before our
	// n-th request each of them has up to n served, scaled by the shares.
	others := que.interleaved(ask, mine+1)
	return clock.Milli(float64(ahead+mine+others) * que.interval)
}

// interleaved counts the requests of the same priority from other workspaces that will
// be served before the n-th request of this workspace.
func (que *Queue) interleaved(ask Ask, n int) int {
	counts := map[string]int{}
	sum := 0
	for _, tkt := range que.waiting {
		if tkt.ask.Priority != ask.Priority || tkt.ask.Workspace == ask.Workspace {
			continue
		}
		limit := max(1, n*max(tkt.ask.Share, 1)/max(ask.Share, 1))
		if counts[tkt.ask.Workspace] < limit {
			counts[tkt.ask.Workspace]++
			sum++
		}
	}
	return sum
}

// Join adds a request to the queue, unless the queue is full or the request can't
// meet its deadline. ready is called once with the outcome and must not block.
func (que *Queue) Join(ask Ask, now clock.Milli, ready func(out Outcome, now clock.Milli)) (*Ticket, JoinResult) {
	if len(que.waiting) >= maxQueued && !que.displace(ask, now) {
		return nil, Full
	}
	if !que.fifo && now+que.EstimateWait(ask)+ask.Estimate > ask.Deadline {
		return nil, TooLate
	}
	que.seq++
	tkt := &Ticket{ask: ask, seq: que.seq, ready: ready}
	tkt.start = que.startTag(ask)
	que.waiting = append(que.waiting, tkt)
	return tkt, Queued
}

// displace displaces the last request in the queue if its priority is lower than
// that of the new one. Without it a queue full of drafts would refuse every booking.
func (que *Queue) displace(ask Ask, now clock.Milli) bool {
	if que.fifo {
		return false
	}
	last := que.waiting[0]
	for _, tkt := range que.waiting[1:] {
		if que.before(last, tkt) {
			last = tkt
		}
	}
	if last.ask.Priority >= ask.Priority {
		return false
	}
	que.Leave(last)
	last.ready(Displaced, now)
	return true
}

// startTag assigns the start tag of start-time fair queueing and advances the finish
// tag of the workspace.
func (que *Queue) startTag(ask Ask) float64 {
	if que.finish == nil {
		que.finish = map[string]float64{}
	}
	start := max(que.virtual, que.finish[ask.Workspace])
	que.finish[ask.Workspace] = start + 1/float64(max(ask.Share, 1))
	return start
}

// Leave removes a request whose caller has disconnected. ready is not called.
func (que *Queue) Leave(tkt *Ticket) {
	que.waiting = slices.DeleteFunc(que.waiting, func(oth *Ticket) bool { return oth == tkt })
}

// Serve dequeues the next request for a free slot and reports whether there was
// one. Requests that can no longer meet their deadlines are dropped first.
func (que *Queue) Serve(now clock.Milli) bool {
	que.Expire(now)
	if len(que.waiting) == 0 {
		que.lastBusy = false
		que.resetTags()
		return false
	}
	next := que.waiting[0]
	for _, tkt := range que.waiting[1:] {
		if que.before(tkt, next) {
			next = tkt
		}
	}
	que.Leave(next)
	que.virtual = max(que.virtual, next.start)
	que.updateInterval(now)
	next.ready(Served, now)
	return true
}

// before reports whether x is served before y.
func (que *Queue) before(x, y *Ticket) bool {
	switch {
	case que.fifo:
		return x.seq < y.seq
	case x.ask.Priority != y.ask.Priority:
		return x.ask.Priority > y.ask.Priority
	case x.start != y.start:
		return x.start < y.start
	}
	return x.seq < y.seq
}

// updateInterval updates the average time between dequeues while the queue is not empty.
func (que *Queue) updateInterval(now clock.Milli) {
	if que.lastBusy {
		gap := float64(now - que.lastServed)
		if que.interval == 0 {
			que.interval = gap
		}
		que.interval += 0.1 * (gap - que.interval)
	}
	que.lastServed, que.lastBusy = now, true
}

// Expire drops the requests that can no longer meet their deadlines.
func (que *Queue) Expire(now clock.Milli) {
	if que.fifo {
		return
	}
	var late []*Ticket
	que.waiting = slices.DeleteFunc(que.waiting, func(tkt *Ticket) bool {
		if now+tkt.ask.Estimate > tkt.ask.Deadline {
			late = append(late, tkt)
			return true
		}
		return false
	})
	for _, tkt := range late {
		tkt.ready(Late, now)
	}
}

// resetTags resets the fair-queueing tags when the queue is empty; the map would
// otherwise grow with every workspace ever seen.
func (que *Queue) resetTags() {
	if len(que.finish) > 0 {
		clear(que.finish)
		que.virtual = 0
	}
}
