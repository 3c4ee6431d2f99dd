package gather

import (
	"math"
	"slices"

	"amaranthvalve/pkg/clock"
)

// Parameters of the scheduler.
const (
	// slownessWeight is the weight of a new batch in an endpoint's slowness.
	slownessWeight = 0.3
	// fillWeight is the weight of a new batch in the mean batch size.
	fillWeight = 0.1
	// slowThreshold is the ratio of measured to planned time above which an endpoint is skipped
	// while others will be free sooner.
	slowThreshold = 1.6
	// slownessHalfLife is the half-life of an endpoint's slowness in milliseconds, so that an
	// endpoint that gets no batches is tried again.
	slownessHalfLife = 3000.0
	// minEject is how long an endpoint is ejected after a failed batch; it doubles with each
	// consecutive failure, up to maxEject.
	minEject = 500 * clock.Milli(1)
	maxEject = 4 * clock.Second
	// timeoutFactor times the expected time of a batch, plus timeoutMargin, is its time-out. Before
	// that an unresponsive endpoint cannot be distinguished from a slow one.
	timeoutFactor = 3.0
	timeoutMargin = 300 * clock.Milli(1)
	// fullRetryDelay is how long an endpoint without free result storage gets no batch, unless a
	// result is released sooner.
	fullRetryDelay = 60 * clock.Milli(1)
	// brittlePause is how long a brittle endpoint gets no batch after it has rejected one.
	brittlePause = clock.Second
	// foreignTTL is how long storage that was refused to an item counts as occupied by foreign
	// results.
	foreignTTL = clock.Second
	// lookAheadBatches times the batch size is how many of the most urgent items are considered to
	// fill a batch, local ones first. The most urgent job that fits is always included, so that
	// none is starved.
	lookAheadBatches = 6
	// priorityStep is added to the due time, for ordering, for each step of priority below the
	// highest.
	priorityStep = 300 * clock.Milli(1)
	// topUpIntervalMs is the longest interval between the batches of a pool, in milliseconds, at
	// which jobs are split to fill batches.
	topUpIntervalMs = 30.0
	// topUpStorageShare is the share of an endpoint's result storage above which a batch is not topped
	// up with part of a job, whose results occupy storage until its remaining items are complete.
	topUpStorageShare = 0.5
	// wholeJobStorageShare is the share of an endpoint's result storage above which the results of a
	// job may be split. A larger job would wait long for so much storage at one endpoint, while
	// small ones take each bit that is released.
	wholeJobStorageShare = 0.25
)

// Spec describes how the endpoints of a pool process items.
type Spec struct {
	// Slots is the number of concurrent batches of an endpoint.
	Slots int
	// MaxItems is the largest number of items in a batch.
	MaxItems int
	// BatchMs is the fixed time of a batch and ItemMs the time that each item adds.
	BatchMs float64
	ItemMs  float64
	// Capacity is the result storage of an endpoint in bytes; zero if unbounded.
	Capacity int64
	// TTL is how long an endpoint stores a result that is not released.
	TTL clock.Milli
	// Brittle is set if endpoints fall over when they reject many batches.
	Brittle bool
}

// Time returns the planned time of a batch of n items.
func (spc Spec) Time(n int) clock.Milli {
	return clock.Milli(spc.BatchMs + spc.ItemMs*float64(n))
}

// Endpoint is an endpoint of the pool.
type Endpoint struct {
	ID      string
	Addr    string
	Zone    string
	Leaving bool
	// Withheld is set while the endpoint must be sent nothing. Unlike Leaving, a later Sync takes it back.
	Withheld bool
}

// Item is an item: a unit of work of one stage of one request.
type Item struct {
	// ID is assigned by the caller and identifies the item in all later calls.
	ID int64
	// Job groups the items of one stage of one request; the job is complete when all its items are.
	Job int64
	// Added is when the item was added.
	Added clock.Milli
	// Due is when the item must be complete for its request to be on time.
	Due clock.Milli
	// Expires is when the item becomes useless.
	Expires clock.Milli
	// Priority is the request's priority, 0 being the highest.
	Priority int
	// Ranked is set if a document gives different priorities to the routes that share the pool.
	Ranked bool
	// Zone is the preferred data centre, where the item's inputs are or its result will be used;
	// empty if there is none.
	Zone string
	// LocalUntil is the time until which the item waits for an endpoint in its preferred data centre.
	LocalUntil clock.Milli
	// Bytes is the estimated size of the result.
	Bytes int64
	// Begun reports that the job has begun: other items of it are complete or in progress, and their
	// results occupy storage until this one is complete too.
	Begun bool
	// Exclusive makes the job exclusive: it shares no batch with other jobs, because an endpoint
	// crashed under it and the next one may too.
	Exclusive bool
}

// Batch is a set of items to be sent to an endpoint.
type Batch struct {
	ID       int64
	Endpoint Endpoint
	Items    []Item
	// Timeout is the time-out of the batch.
	Timeout clock.Milli
}

// Result is the result of an item; it occupies storage until it is released.
type Result struct {
	Handle string
	Bytes  int64
}

// BatchOutcome is how a batch ended.
type BatchOutcome int

// Outcomes of a batch.
const (
	// Answered: the endpoint answered, with whatever outcome for each item.
	Answered BatchOutcome = iota
	// Busy: the endpoint had no free slot.
	Busy
	// Failed: there was no answer or an invalid one.
	Failed
	// Canceled: the batch was cancelled by its sender, which says nothing about the endpoint.
	Canceled
)

type endpoint struct {
	Endpoint
	// foreignBytes is the storage occupied by results that this scheduler does not know, until
	// foreignUntil.
	foreignBytes int64
	foreignUntil clock.Milli
	batches      int
	heldBytes    int64
	slowRatio    float64
	slowRatioAt  clock.Milli
	// inferred is set if slowRatio is a lower bound inferred from a missing answer.
	inferred     bool
	failures     int
	blockedUntil clock.Milli
	// pausedUntil is when the endpoint may be sent batches again.
	pausedUntil clock.Milli
	// restUntil is when the endpoint may be sent batches again after it asked for rest.
	restUntil clock.Milli
	// fullUntil is when the endpoint may be sent batches again after it refused an item for lack of
	// result storage.
	fullUntil clock.Milli
}

// isHeld reports whether the endpoint must not be sent batches now.
func (ep *endpoint) isHeld(now clock.Milli) bool {
	return ep.Leaving || ep.Withheld || now < max(ep.blockedUntil, ep.pausedUntil, ep.restUntil)
}

// slowness returns the ratio of measured to planned time of the endpoint's batches, decayed towards
// 1.
func (ep *endpoint) slowness(now clock.Milli) float64 {
	if ep.slowRatio <= 1 {
		return ep.slowRatio
	}
	return 1 + (ep.slowRatio-1)*math.Exp2(-float64(now-ep.slowRatioAt)/slownessHalfLife)
}

func (ep *endpoint) setSlowness(slowRatio float64, now clock.Milli) {
	ep.slowRatio, ep.slowRatioAt = slowRatio, now
}

// recordAnswer adds the ratio of measured to planned time of an answered batch. The first answer
// after a missing one replaces the inferred ratio: the missing answer may have been lost on the
// network although the endpoint is as fast as ever.
func (ep *endpoint) recordAnswer(ratio float64, now clock.Milli) {
	was := ep.slowness(now)
	share := slownessWeight
	if ep.inferred {
		share = 1
	}
	ep.inferred = false
	ep.setSlowness(was+share*(max(ratio, 0.5)-was), now)
}

type openBatch struct {
	endpoint *endpoint
	count    int
	bytes    int64
	began    clock.Milli
	expect   clock.Milli
}

type storedResult struct {
	endpoint *endpoint
	bytes    int64
	until    clock.Milli
}

// Scheduler is the batch scheduler of a pool. The zero value is an empty pool. It is not safe for
// concurrent use.
type Scheduler struct {
	spec      Spec
	endpoints []*endpoint
	byID      map[string]*endpoint
	waiting   []Item
	batches   map[int64]*openBatch
	results   map[string]storedResult
	lastID    int64
	// meanFill is the mean size of batches started while enough items waited to fill them.
	meanFill   float64
	throughput throughput
	spacing    spacing
	demand     demand
	// allKnownAt is when all results from before this scheduler started will have expired.
	allKnownAt clock.Milli
}

// SetSpec sets the specification of the pool.
func (sch *Scheduler) SetSpec(spc Spec) { sch.spec = spc }

// Sync replaces the list of endpoints; the state of those that remain is kept. An endpoint once
// marked as leaving stays so.
func (sch *Scheduler) Sync(list []Endpoint) {
	byID := make(map[string]*endpoint, len(list))
	endpoints := make([]*endpoint, 0, len(list))
	for _, ep := range list {
		cur, ok := sch.byID[ep.ID]
		if !ok {
			cur = &endpoint{slowRatio: 1}
		}
		leaving := cur.Leaving || ep.Leaving
		cur.Endpoint = ep
		cur.Leaving = leaving
		byID[ep.ID] = cur
		endpoints = append(endpoints, cur)
	}
	sch.endpoints, sch.byID = endpoints, byID
}

// Leave marks an endpoint as leaving.
func (sch *Scheduler) Leave(id string) {
	if ep, ok := sch.byID[id]; ok {
		ep.Leaving = true
	}
}

// Pause sends no batches to an endpoint until the given time.
func (sch *Scheduler) Pause(id string, until clock.Milli) {
	if ep, ok := sch.byID[id]; ok {
		ep.pausedUntil = until
	}
}

// Rest sends no batches to an endpoint until the given time, or a later one of an earlier call.
func (sch *Scheduler) Rest(id string, until clock.Milli) {
	if ep, ok := sch.byID[id]; ok {
		ep.restUntil = max(ep.restUntil, until)
	}
}

// Add queues an item. An exclusive item makes its whole job exclusive.
func (sch *Scheduler) Add(itm Item) {
	sch.demand.add(itm.Priority, itm.Added)
	sch.waiting = append(sch.waiting, itm)
	for i := range sch.waiting {
		sch.waiting[i].Exclusive = sch.waiting[i].Exclusive || itm.Exclusive && sch.waiting[i].Job == itm.Job
	}
}

// Remove withdraws an item; it returns false if the item is not queued.
func (sch *Scheduler) Remove(id int64) bool {
	before := len(sch.waiting)
	sch.waiting = slices.DeleteFunc(sch.waiting, func(itm Item) bool { return itm.ID == id })
	return before > len(sch.waiting)
}

// TakeExpired removes and returns the items that can no longer be completed before they expire.
func (sch *Scheduler) TakeExpired(now clock.Milli) []Item {
	var expired []Item
	sch.waiting = slices.DeleteFunc(sch.waiting, func(itm Item) bool {
		if now+sch.spec.Time(1) <= itm.Expires {
			return false
		}
		expired = append(expired, itm)
		return true
	})
	return expired
}

// TakeAll removes and returns all queued items.
func (sch *Scheduler) TakeAll() []Item {
	all := sch.waiting
	sch.waiting = nil
	return all
}

// Waiting returns the number of queued items.
func (sch *Scheduler) Waiting() int { return len(sch.waiting) }

// Usable returns the number of endpoints that are neither leaving nor withheld.
func (sch *Scheduler) Usable() int {
	n := 0
	for _, ep := range sch.endpoints {
		if !ep.Leaving && !ep.Withheld {
			n++
		}
	}
	return n
}

// AllWithheld reports whether endpoints are withheld and no other one is left.
func (sch *Scheduler) AllWithheld() bool {
	return sch.Usable() == 0 && slices.ContainsFunc(sch.endpoints, func(ep *endpoint) bool { return ep.Withheld && !ep.Leaving })
}

// Wait estimates how long an item added now would wait until its batch starts. It counts the
// batches in progress and the queued items that can still be on time, started at the planned
// interval or, if that is longer, at the measured one. Late items are overtaken and do not count.
func (sch *Scheduler) Wait(now clock.Milli) clock.Milli {
	rate, soonest := sch.effectiveSlots(now)
	if rate == 0 {
		return max(maxEject, sch.restLeft(now))
	}
	sch.throughput.observe(0, len(sch.waiting) >= sch.spec.MaxItems, now)
	ahead := 0
	for _, itm := range sch.waiting {
		if now+sch.spec.Time(1) <= itm.Due {
			ahead++
		}
	}
	return soonest + clock.Milli(float64(ahead)*sch.interval(rate))
}

// interval returns the expected mean time between the starts of two items with the given number of
// slots, in milliseconds: the planned one or, if that is longer, the measured one.
func (sch *Scheduler) interval(rate float64) float64 {
	return max(sch.plannedInterval(rate), sch.throughput.interval())
}

// plannedInterval returns the planned mean time between the starts of two items with the given
// number of slots, in milliseconds.
func (sch *Scheduler) plannedInterval(rate float64) float64 {
	fill := sch.expectedFill()
	return float64(sch.spec.Time(int(fill))) / fill / rate
}

// effectiveSlots returns the number of usable slots, with those of slow endpoints weighted down,
// and the time until the first of them is free.
func (sch *Scheduler) effectiveSlots(now clock.Milli) (rate float64, soonest clock.Milli) {
	soonest = -1
	for _, ep := range sch.endpoints {
		if ep.isHeld(now) {
			continue
		}
		rate += float64(max(sch.spec.Slots, 1)) / ep.slowness(now)
		if left := sch.untilFree(ep, now); soonest < 0 || left < soonest {
			soonest = left
		}
	}
	return rate, soonest
}

// restLeft returns the time until the first rest ends if all usable endpoints asked for rest, otherwise
// zero.
func (sch *Scheduler) restLeft(now clock.Milli) clock.Milli {
	first := clock.Milli(-1)
	for _, ep := range sch.endpoints {
		if left := max(ep.restUntil-now, 0); !ep.Leaving && !ep.Withheld && (first < 0 || left < first) {
			first = left
		}
	}
	return max(first, 0)
}

// expectedFill returns the expected size of a batch while enough items wait: less than the limit
// where result storage is short.
func (sch *Scheduler) expectedFill() float64 {
	if sch.meanFill == 0 {
		return float64(max(sch.spec.MaxItems, 1))
	}
	return max(sch.meanFill, 1)
}

// untilFree returns the time until an endpoint's next slot is free.
func (sch *Scheduler) untilFree(ep *endpoint, now clock.Milli) clock.Milli {
	if ep.batches < max(sch.spec.Slots, 1) {
		return 0
	}
	soonest := clock.Milli(0)
	for _, ob := range sch.batches {
		if ob.endpoint != ep {
			continue
		}
		if left := max(ob.began+ob.expect-now, 1); soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}
