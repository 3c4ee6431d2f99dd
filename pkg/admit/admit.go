// Package admit decides who is served next and who is refused at once.
//
// # Concepts
//
// A [Queue] stands before one pool of endpoints at one instance. Requests wait in
// it while every endpoint is at its limit. The next one is chosen by priority
// between services, then fairly between workspaces: start-time fair queueing (P.
// Goyal, H. Vin, H. Cheng, SIGCOMM 1996) with the document's shares as weights,
// so that a large workspace's burst waits behind itself and not before others.
//
// A request that can't be answered in time is refused when that is known, not
// when its time is up: on arrival when the wait ahead of it and the measured
// need of its stages exceed its deadline, and while it waits as soon as the rest
// of its time is shorter than its need. Serving it anyway costs endpoint time
// that nobody uses and makes the next one late as well.
package admit

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

// maxWaiting bounds a queue. At two kilobytes a request it is two megabytes.
const maxWaiting = 1024

// Ask is a request that wants to be served by the pool.
type Ask struct {
	// Workspace and Share: whose it is and its weight.
	Workspace string
	Share     int
	// Priority is the service's, higher first.
	Priority int
	// Deadline is the instant by which the whole request must be answered.
	Deadline clock.Milli
	// Need is the measured time of this stage and those after it.
	Need clock.Milli
}

// Ticket is a place in a queue.
type Ticket struct {
	ask   Ask
	start float64
	seq   uint64
	// ready is called when the request is served or given up.
	ready func(word Word, now clock.Milli)
}

// Word is what a waiting request is told, once.
type Word int

// The words.
const (
	// Served: its turn has come.
	Served Word = iota
	// Late: it can't be answered in time any more.
	Late
	// Displaced: the line is full and its place went to a higher priority.
	Displaced
)

// Queue is the waiting line before a pool. The zero value is empty. It is not
// safe for concurrent use.
type Queue struct {
	waiting []*Ticket
	finish  map[string]float64
	virtual float64
	seq     uint64
	// pace is the measured time between two servings while requests wait.
	pace     float64
	lastPop  clock.Milli
	lastBusy bool
	fifo     bool
}

// UseFIFO makes the queue serve in the order of arrival and refuse nobody for a
// deadline: the baseline of the measurements.
func (que *Queue) UseFIFO() { que.fifo = true }

// Len gives the number of waiting requests.
func (que *Queue) Len() int { return len(que.waiting) }

// Verdict is the answer to a request to wait.
type Verdict int

// The verdicts.
const (
	Waiting Verdict = iota
	Full
	TooLate
)

// Wait estimates how long a request of this rank would wait now.
func (que *Queue) Wait(ask Ask) clock.Milli {
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
	// Fair queueing serves the others of the same rank in turn with us: at
	// most as many as we have waiting, weighed by the shares; count one each.
	others := que.turns(ask, mine+1)
	return clock.Milli(float64(ahead+mine+others) * que.pace)
}

// turns counts those of the same priority in other workspaces that will be
// served before our n-th.
func (que *Queue) turns(ask Ask, n int) int {
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

// Join adds a request to the line, unless the line is full or the request
// can't be answered in time. ready is called once, with the decision; it must
// not block.
func (que *Queue) Join(ask Ask, now clock.Milli, ready func(word Word, now clock.Milli)) (*Ticket, Verdict) {
	if len(que.waiting) >= maxWaiting && !que.makeRoom(ask, now) {
		return nil, Full
	}
	if !que.fifo && now+que.Wait(ask)+ask.Need > ask.Deadline {
		return nil, TooLate
	}
	que.seq++
	tkt := &Ticket{ask: ask, seq: que.seq, ready: ready}
	tkt.start = que.stamp(ask)
	que.waiting = append(que.waiting, tkt)
	return tkt, Waiting
}

// makeRoom gives up the last in line of a lower priority than the request's, if
// there is one. A full line of drafts would otherwise refuse every booking.
func (que *Queue) makeRoom(ask Ask, now clock.Milli) bool {
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

// stamp gives the start tag of start-time fair queueing.
func (que *Queue) stamp(ask Ask) float64 {
	if que.finish == nil {
		que.finish = map[string]float64{}
	}
	start := max(que.virtual, que.finish[ask.Workspace])
	que.finish[ask.Workspace] = start + 1/float64(max(ask.Share, 1))
	return start
}

// Leave takes a request out whose caller has gone.
func (que *Queue) Leave(tkt *Ticket) {
	que.waiting = slices.DeleteFunc(que.waiting, func(oth *Ticket) bool { return oth == tkt })
}

// Serve hands a free place to the next request and tells whether there was one.
// Those that can no longer be answered in time are given up first.
func (que *Queue) Serve(now clock.Milli) bool {
	que.Expire(now)
	if len(que.waiting) == 0 {
		que.lastBusy = false
		que.tidy()
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
	que.measure(now)
	next.ready(Served, now)
	return true
}

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

// measure keeps the average time between servings while the line was not empty.
func (que *Queue) measure(now clock.Milli) {
	if que.lastBusy {
		gap := float64(now - que.lastPop)
		if que.pace == 0 {
			que.pace = gap
		}
		que.pace += 0.1 * (gap - que.pace)
	}
	que.lastPop, que.lastBusy = now, true
}

// Expire gives up the requests that can no longer be answered in time, at once.
func (que *Queue) Expire(now clock.Milli) {
	if que.fifo {
		return
	}
	var late []*Ticket
	que.waiting = slices.DeleteFunc(que.waiting, func(tkt *Ticket) bool {
		if now+tkt.ask.Need > tkt.ask.Deadline {
			late = append(late, tkt)
			return true
		}
		return false
	})
	for _, tkt := range late {
		tkt.ready(Late, now)
	}
}

// tidy forgets the workspaces' tags when nobody waits; they would otherwise
// grow with every workspace ever seen.
func (que *Queue) tidy() {
	if len(que.finish) > 0 {
		clear(que.finish)
		que.virtual = 0
	}
}
