package gather

import "amaranthvalve/pkg/clock"

// End records the end of a batch and the results it produced.
func (sch *Scheduler) End(id int64, ver BatchOutcome, results []Result, now clock.Milli) {
	ob, ok := sch.batches[id]
	if !ok {
		return
	}
	delete(sch.batches, id)
	ep := ob.endpoint
	ep.batches--
	ep.heldBytes -= ob.bytes
	if sch.results == nil {
		sch.results = map[string]storedResult{}
	}
	for _, res := range results {
		sch.results[res.Handle] = storedResult{endpoint: ep, bytes: res.Bytes, until: now + sch.spec.TTL}
		ep.heldBytes += res.Bytes
	}
	sch.updateHealth(ep, ob, ver, now)
}

func (sch *Scheduler) updateHealth(ep *endpoint, ob *openBatch, ver BatchOutcome, now clock.Milli) {
	switch ver {
	case Answered:
		ep.failures = 0
		ep.recordAnswer(float64(max(now-ob.began, 1))/float64(max(sch.spec.Time(ob.count), 1)), now)
	case Busy:
		// Another instance schedules this pool too, or batches of the previous scheduler are still
		// in progress; a slot may be free half a batch later.
		ep.blockedUntil = now + sch.spec.Time(1)/2
		if sch.spec.Brittle {
			ep.blockedUntil = now + brittlePause
		}
	case Failed:
		// A missing answer implies that the batch takes at least this long.
		ep.setSlowness(max(ep.slowness(now), float64(now-ob.began)/float64(max(sch.spec.Time(ob.count), 1))), now)
		ep.inferred = true
		ep.fail(now)
	case Canceled:
	}
}

// fail ejects an endpoint, for longer after each failure in a row.
func (ep *endpoint) fail(now clock.Milli) {
	ep.blockedUntil = now + min(minEject<<min(ep.failures, 5), maxEject)
	ep.failures++
}

// MarkFailed records that an endpoint failed a call that is no batch, as [Scheduler.End] does for a failed one.
func (sch *Scheduler) MarkFailed(id string, now clock.Milli) {
	if ep, ok := sch.byID[id]; ok {
		ep.fail(now)
	}
}

// MarkFull records that an endpoint refused an item for lack of result storage. It gets no batch
// until a result is released or fullRetryDelay has passed, even if storage is free by this
// scheduler's count: sizes are estimates, and other schedulers may have results there.
//
// While results from before this scheduler started may exist, the storage missing from its count is
// attributed to them for foreignTTL. Without that, after a loss of all instances half of each batch
// sized by the count was refused until those results expired, and partly completed jobs occupied
// what was left. Later a refusal only means that the estimated sizes were too small.
func (sch *Scheduler) MarkFull(id string, now clock.Milli) {
	ep, ok := sch.byID[id]
	if !ok {
		return
	}
	ep.fullUntil = now + fullRetryDelay
	if sch.spec.Capacity > 0 && now < sch.allKnownAt {
		ep.foreignBytes = max(ep.foreignBytes, sch.spec.Capacity-ep.heldBytes)
		ep.foreignUntil = max(ep.foreignUntil, now+foreignTTL)
	}
}

// StartTerm records that this instance starts to schedule the pool: until the TTL of results has
// passed, there may be results that it does not know.
func (sch *Scheduler) StartTerm(now clock.Milli) { sch.allKnownAt = now + sch.spec.TTL }

// ReportFree records the free result storage that an endpoint reports and returns the storage
// occupied by foreign results. These were produced for a previous scheduler; their size only
// shrinks and is zero once they expire. So a later report counts only if it lowers the estimate: a
// report is some hundred milliseconds old, and own results released since would count as foreign.
func (sch *Scheduler) ReportFree(id string, free int64, now clock.Milli) int64 {
	ep, ok := sch.byID[id]
	if !ok || sch.spec.Capacity == 0 {
		return 0
	}
	foreign := max(sch.spec.Capacity-free-ep.heldBytes, 0)
	if now >= ep.foreignUntil {
		ep.foreignBytes, ep.foreignUntil = foreign, now+sch.spec.TTL
	}
	ep.foreignBytes = min(ep.foreignBytes, foreign)
	return ep.foreignBytes
}

// Release records the release of a result and returns the endpoint that stored it, or false if the
// result is not known.
func (sch *Scheduler) Release(handle string) (Endpoint, bool) {
	res, ok := sch.results[handle]
	if !ok {
		return Endpoint{}, false
	}
	res.endpoint.heldBytes -= res.bytes
	res.endpoint.fullUntil = 0
	delete(sch.results, handle)
	return res.endpoint.Endpoint, true
}

// HeldBytes returns the known bytes of results stored at an endpoint.
func (sch *Scheduler) HeldBytes(id string) int64 {
	if ep, ok := sch.byID[id]; ok {
		return ep.heldBytes
	}
	return 0
}
