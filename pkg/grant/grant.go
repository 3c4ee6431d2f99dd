package grant

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amaranthvalve/pkg/clock"
)

const (
	// maxWaiting bounds the length of a queue: 1 MB at about 500 B a request.
	maxWaiting = 2048
	// paceGrants is the number of latest grants from which the time between grants is estimated, and
	// minPaceGrants the least number: slots of one endpoint are often released together.
	paceGrants    = 32
	minPaceGrants = 8
	// maxPaceAge is the time of waiting after which a grant says nothing about the current pace any more.
	maxPaceAge = 5 * clock.Second
	// deadlineGrain is the precision of deadlines in the order; requests within it are in no particular order.
	// It is longer than a message takes between busy instances: in the order of arrival the requests of the
	// coordinator's own callers would go first in every burst, and the others would find the queue too long.
	deadlineGrain = 100 * clock.Milli(1)
	// joinMargin is the multiple of the time that a request may wait by which its expected wait must exceed that
	// for the request to be refused as it joins. Requests above five quarters of that are refused within
	// estimateInterval, by the order of all that have joined by then: refused as they join, those of a burst
	// that arrive first, which are the coordinator's own, would take all room in the queue.
	joinMargin = 2
	// estimateInterval is the interval at which the expected waits of all waiting requests are examined. That
	// takes 80 µs for 500 requests, too much for each of a thousand slots a second on a small machine.
	estimateInterval = 20 * clock.Milli(1)
)

// Ask describes a request for a slot.
type Ask struct {
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Workspace is the flow for fair queueing.
	Workspace string
	// Until is when the request is refused at the latest, if it has no slot.
	Until clock.Milli
	// Deadline is when the request must have ended.
	Deadline clock.Milli
	// Returned is set if the request came back after a refusal.
	Returned bool
	// Class is equal for requests that can use the same endpoints.
	Class string
}

// Entry is a waiting request.
type Entry struct {
	ask      Ask
	joinedAt clock.Milli
	seq      uint64
	// ahead is the number of requests that went before it when it joined.
	ahead  int
	queued bool
}

// Ask returns what the request asks for.
func (ent *Entry) Ask() Ask { return ent.ask }

// JoinedAt returns the time at which the request joined.
func (ent *Entry) JoinedAt() clock.Milli { return ent.joinedAt }

// Ahead returns the number of requests that went before it when it joined.
func (ent *Entry) Ahead() int { return ent.ahead }

// compare orders the requests of one rank and workspace.
func (ent *Entry) compare(oth *Entry) int {
	if ent.ask.Returned != oth.ask.Returned {
		if ent.ask.Returned {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(ent.ask.Deadline/deadlineGrain, oth.ask.Deadline/deadlineGrain), cmp.Compare(ent.tie(), oth.tie()))
}

// tie returns a number that orders requests that are equal otherwise: the finalizer of SplitMix64 (G. Steele and
// others, "Fast splittable pseudorandom number generators", 2014), which is injective.
func (ent *Entry) tie() uint64 {
	val := ent.seq
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}

// flow has the waiting requests of one workspace in one rank, in their order. Its start tag counts its
// grants.
type flow struct {
	name  string
	list  []*Entry
	start float64
}

// level has the waiting requests of one rank.
type level struct {
	rank  int
	count int
	flows map[string]*flow
	// finish has the tags of workspaces that have no request left but are ahead of the virtual time.
	finish  map[string]float64
	virtual float64
}

// Queue is the queue of one pool. The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	levels  []*level
	count   int
	seq     uint64
	classes map[string]int
	// displaced has requests that gave way to more urgent ones in a full queue.
	displaced []*Entry
	// grants has the times of the latest grants in time of waiting, of which waited had passed at asOf.
	grants []clock.Milli
	waited clock.Milli
	asOf   clock.Milli
	// firstUntil is not after the first time at which a request has waited as long as it may; estimatedAt is
	// when the expected waits were last examined.
	firstUntil  clock.Milli
	estimatedAt clock.Milli
}

// Len returns the number of waiting requests.
func (que *Queue) Len() int { return que.count }

// FirstRank returns the most urgent rank of the waiting requests; false if none waits.
func (que *Queue) FirstRank() (rank int, ok bool) {
	if len(que.levels) == 0 {
		return 0, false
	}
	return que.levels[0].rank, true
}

// Oldest returns the longest time that a waiting request has waited, zero if there is none.
func (que *Queue) Oldest(now clock.Milli) (span clock.Milli) {
	for ent := range que.all() {
		span = max(span, now-ent.joinedAt)
	}
	return span
}

func (que *Queue) all() func(yield func(*Entry) bool) {
	return func(yield func(*Entry) bool) {
		for _, lvl := range que.levels {
			for _, flw := range lvl.flows {
				for _, ent := range flw.list {
					if !yield(ent) {
						return
					}
				}
			}
		}
	}
}

// advance adds the time since the last call to the time of waiting, if a request waited.
func (que *Queue) advance(now clock.Milli) {
	if que.count > 0 && now > que.asOf {
		que.waited += now - que.asOf
	}
	que.asOf = max(que.asOf, now)
}

// Pace returns the mean time between grants while requests wait, in milliseconds; zero if it is unknown. A
// pause since the last grant lengthens it.
func (que *Queue) Pace(now clock.Milli) float64 {
	que.advance(now)
	for len(que.grants) > 0 && que.waited-que.grants[0] > maxPaceAge {
		que.grants = que.grants[1:]
	}
	if len(que.grants) < minPaceGrants {
		return 0
	}
	return float64(que.waited-que.grants[0]) / float64(len(que.grants))
}

// Estimate returns the expected wait of a request that would join now, and the number of requests that would
// go before it.
func (que *Queue) Estimate(ask Ask, now clock.Milli) (wait clock.Milli, ahead int) {
	ahead = que.countAhead(&Entry{ask: ask, seq: que.seq + 1})
	return clock.Milli(float64(ahead) * que.Pace(now)), ahead
}

// countAhead counts the requests that go before one: those of more urgent ranks, those before it in its
// workspace, and of each other workspace of its rank as many as fair queueing serves meanwhile.
func (que *Queue) countAhead(ent *Entry) (ahead int) {
	for _, lvl := range que.levels {
		if lvl.rank > ent.ask.Rank {
			break
		}
		if lvl.rank < ent.ask.Rank {
			ahead += lvl.count
			continue
		}
		before, start := 0, lvl.startOf(ent.ask.Workspace)
		if own := lvl.flows[ent.ask.Workspace]; own != nil {
			before, _ = slices.BinarySearchFunc(own.list, ent, (*Entry).compare)
		}
		ahead += before
		for _, flw := range lvl.flows {
			if flw.name != ent.ask.Workspace {
				ahead += min(len(flw.list), max(int(start+float64(before)-flw.start+1), 0))
			}
		}
	}
	return ahead
}

// startOf returns the start tag of a workspace, also of one that has no request.
func (lvl *level) startOf(wsp string) float64 {
	if flw := lvl.flows[wsp]; flw != nil {
		return flw.start
	}
	return max(lvl.virtual, lvl.finish[wsp])
}

// Join adds a request. It returns nil if the request is refused, since it would wait for longer than it may,
// or since the queue is full of requests that are at least as urgent; wait is the time after which a slot is
// expected.
func (que *Queue) Join(ask Ask, now clock.Milli) (ent *Entry, wait clock.Milli) {
	wait, ahead := que.Estimate(ask, now)
	if ahead > 0 && wait > joinMargin*(ask.Until-now) {
		return nil, wait
	}
	if que.count >= maxWaiting && !que.displace(ask.Rank) {
		return nil, wait
	}
	if que.count == 0 || ask.Until < que.firstUntil {
		que.firstUntil = ask.Until
	}
	que.seq++
	ent = &Entry{ask: ask, joinedAt: now, seq: que.seq, ahead: ahead, queued: true}
	flw := que.level(ask.Rank).flow(ask.Workspace)
	at, _ := slices.BinarySearchFunc(flw.list, ent, (*Entry).compare)
	flw.list = slices.Insert(flw.list, at, ent)
	que.level(ask.Rank).count++
	que.count++
	if que.classes == nil {
		que.classes = map[string]int{}
	}
	que.classes[ask.Class]++
	return ent, wait
}

// displace removes the last request of the largest workspace in the least urgent rank, if that is less urgent
// than the given one.
func (que *Queue) displace(rank int) bool {
	lvl := que.levels[len(que.levels)-1]
	if lvl.rank <= rank {
		return false
	}
	var most *flow
	for _, flw := range lvl.flows {
		if most == nil || len(flw.list) > len(most.list) || len(flw.list) == len(most.list) && flw.name > most.name {
			most = flw
		}
	}
	last := most.list[len(most.list)-1]
	que.remove(last)
	que.displaced = append(que.displaced, last)
	return true
}

func (que *Queue) level(rank int) *level {
	at, ok := slices.BinarySearchFunc(que.levels, rank, func(lvl *level, rank int) int { return cmp.Compare(lvl.rank, rank) })
	if !ok {
		que.levels = slices.Insert(que.levels, at, &level{rank: rank, flows: map[string]*flow{}, finish: map[string]float64{}})
	}
	return que.levels[at]
}

func (lvl *level) flow(wsp string) *flow {
	flw := lvl.flows[wsp]
	if flw == nil {
		flw = &flow{name: wsp, start: lvl.startOf(wsp)}
		delete(lvl.finish, wsp)
		lvl.flows[wsp] = flw
	}
	return flw
}

// Leave removes a request, and reports whether it was still waiting.
func (que *Queue) Leave(ent *Entry, now clock.Milli) bool {
	que.advance(now)
	if !ent.queued {
		return false
	}
	que.remove(ent)
	return true
}

// Clear removes all requests, also those that gave way to others and were not refused yet.
func (que *Queue) Clear(now clock.Milli) {
	que.advance(now)
	for ent := range que.all() {
		ent.queued = false
	}
	que.levels, que.count, que.classes, que.displaced = nil, 0, nil, nil
}

func (que *Queue) remove(ent *Entry) {
	ent.queued = false
	lvl := que.level(ent.ask.Rank)
	flw := lvl.flows[ent.ask.Workspace]
	// Thousands of requests may be refused at once: a search through all of them for each takes milliseconds.
	if at, ok := slices.BinarySearchFunc(flw.list, ent, (*Entry).compare); ok {
		flw.list = slices.Delete(flw.list, at, at+1)
	}
	lvl.count--
	que.count--
	if que.classes[ent.ask.Class]--; que.classes[ent.ask.Class] == 0 {
		delete(que.classes, ent.ask.Class)
	}
	if len(flw.list) == 0 {
		delete(lvl.flows, flw.name)
		lvl.finish[flw.name] = flw.start
	}
	maps.DeleteFunc(lvl.finish, func(_ string, tag float64) bool { return tag <= lvl.virtual })
	if lvl.count == 0 {
		que.levels = slices.DeleteFunc(que.levels, func(oth *level) bool { return oth == lvl })
	}
}

// Next removes and returns the first request in the order for which take succeeds, nil if there is none. take
// takes a free slot for a request; it is called once for each class of requests that finds none.
func (que *Queue) Next(now clock.Milli, take func(ent *Entry) bool) *Entry {
	que.advance(now)
	failed := map[string]bool{}
	for _, lvl := range que.levels {
		for ent := range lvl.inOrder() {
			if len(failed) == len(que.classes) {
				return nil
			}
			if failed[ent.ask.Class] {
				continue
			}
			if !take(ent) {
				failed[ent.ask.Class] = true
				continue
			}
			que.grant(lvl, ent)
			return ent
		}
	}
	return nil
}

// grant removes a request that has got a slot.
func (que *Queue) grant(lvl *level, ent *Entry) {
	flw := lvl.flows[ent.ask.Workspace]
	lvl.virtual = max(lvl.virtual, flw.start)
	flw.start++
	que.grants = append(que.grants, que.waited)
	if len(que.grants) > paceGrants {
		que.grants = que.grants[1:]
	}
	que.remove(ent)
}

// inOrder yields the requests of a rank in their order.
func (lvl *level) inOrder() func(yield func(*Entry) bool) {
	type cursor struct {
		flw *flow
		at  int
		tag float64
	}
	return func(yield func(*Entry) bool) {
		open := make([]cursor, 0, len(lvl.flows))
		for _, flw := range lvl.flows {
			open = append(open, cursor{flw: flw, tag: flw.start})
		}
		for len(open) > 0 {
			least := 0
			for i, cur := range open {
				fst := open[least]
				if cur.tag < fst.tag || cur.tag == fst.tag && cur.flw.list[cur.at].seq < fst.flw.list[fst.at].seq {
					least = i
				}
			}
			cur := &open[least]
			if !yield(cur.flw.list[cur.at]) {
				return
			}
			cur.at++
			cur.tag++
			if cur.at == len(cur.flw.list) {
				open = slices.Delete(open, least, least+1)
			}
		}
	}
}

// Refusal is a request that was refused while it waited.
type Refusal struct {
	Entry *Entry
	// Wait is the time after which a slot would have been expected.
	Wait clock.Milli
}

// Expire removes and returns the requests that can't be served in time. Before slots are granted, final is
// unset, and only those are removed whose time has passed: one that may not wait still gets a slot that is
// free now.
func (que *Queue) Expire(now clock.Milli, final bool) (list []Refusal) {
	pace := que.Pace(now)
	due := now > que.firstUntil || final && (now == que.firstUntil || now >= que.estimatedAt+estimateInterval)
	if len(que.displaced) == 0 && (que.count == 0 || !due) {
		return nil
	}
	if final {
		que.estimatedAt = now
	}
	for _, ent := range que.displaced {
		list = append(list, Refusal{Entry: ent, Wait: clock.Milli(float64(que.count+1) * pace)})
	}
	que.displaced = nil
	place, first := 0, clock.Milli(math.MaxInt64)
	for _, lvl := range que.levels {
		for ent := range lvl.inOrder() {
			wait := clock.Milli(float64(place) * pace)
			if now > ent.ask.Until || final && (now == ent.ask.Until || place > 0 && 4*wait > 5*(ent.ask.Until-now)) {
				list = append(list, Refusal{Entry: ent, Wait: wait})
				continue
			}
			place++
			first = min(first, ent.ask.Until)
		}
	}
	que.firstUntil = first
	for _, rfs := range list {
		if rfs.Entry.queued {
			que.remove(rfs.Entry)
		}
	}
	return list
}

// NextExpiry returns a time not after the first one at which a waiting request has waited as long as it may; false
// if none waits.
func (que *Queue) NextExpiry() (at clock.Milli, ok bool) { return que.firstUntil, que.count > 0 }
