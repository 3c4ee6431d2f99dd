package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/retry"
)

const (
	// maxTries is the maximum number of attempts per item.
	maxTries = 3
	// pollInterval is how often the scheduler is polled while items wait and no call ends: an
	// endpoint that was full, failed or out of result storage becomes available without notice.
	pollInterval = 20 * clock.Milli(1)
	// coalesceDelay is how long an order waits for others triggered by the same call of the
	// previous stage: they come from several instances, delayed by the latency between data
	// centres.
	coalesceDelay = 5 * clock.Milli(1)
	// releaseDelay is how long handles to be released are collected for one call, and
	// releaseTimeout bounds that call.
	releaseDelay   = 4 * clock.Milli(1)
	releaseTimeout = time.Second
)

// itemRef maps an item of the scheduler to its order and its index there.
type itemRef struct {
	ord   *order
	index int
}

// pool is the scheduler of one pool with its orders in progress.
type pool struct {
	set  Setup
	name string

	mtx   sync.Mutex
	sched gather.Scheduler
	rates limit.Rates
	refs  map[int64]itemRef
	next  int64
	// linkMbps is the bandwidth at which endpoints fetch inputs; zero if unknown.
	linkMbps float64
	// holdInputsUntil is the time until which inputs are held to the end of the calls that fetch
	// them.
	holdInputsUntil clock.Milli
	budget          budget
	// wakeAt is the latest time of the next dispatch.
	wakeAt          clock.Milli
	pendingReleases map[string][]string
	// inFlight has the calls in progress.
	inFlight ident.RestartWatch
	// lastOrder is when the last order arrived; endpoints, resultStorage and resultTTL come from
	// the service documents and the list of endpoints.
	lastOrder     clock.Milli
	endpoints     []gather.Endpoint
	resultStorage int64
	resultTTL     clock.Milli
}

func newPool(name string, set Setup) *pool {
	return &pool{set: set, name: name, refs: map[int64]itemRef{}, pendingReleases: map[string][]string{}, budget: newBudget(set)}
}

func (pol *pool) sync(spc plan.DraftBatch, endpoints []gather.Endpoint, rates map[string]float64, brittle bool) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	pol.rates.Sync(rates)
	pol.sched.SetSpec(gather.Spec{Slots: spc.Slots, MaxItems: spc.MaxItems, BatchMs: spc.BatchMs, ItemMs: spc.ItemMs, Capacity: spc.ResultBytes, TTL: spc.ResultTTL, Brittle: brittle})
	pol.linkMbps, pol.resultStorage, pol.resultTTL, pol.endpoints = spc.LinkMbps, spc.ResultBytes, spc.ResultTTL, endpoints
	pol.sched.Sync(endpoints)
	for _, ep := range endpoints {
		pol.inFlight.RunListed(ident.Process(ep.ID))
	}
	pol.dispatch()
}

func (pol *pool) wait() clock.Milli {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.sched.Wait(pol.set.Clock.Now())
}

func (pol *pool) waitFor(rank int, due clock.Milli) clock.Milli {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	now := pol.set.Clock.Now()
	return pol.sched.WaitFor(rank, now+due, now)
}

// result returns the outcome of an order with the current waits.
func (pol *pool) result(ord *order, failure proto.Failure) OrderResult {
	now := pol.set.Clock.Now()
	out := OrderResult{Failure: failure, Wait: pol.sched.Wait(now)}
	if ord.Ranked {
		wait := pol.sched.WaitFor(ord.Rank, now+ord.span, now)
		out.RankWait = &wait
	}
	return out
}

// fill adds an order's items to the scheduler and waits for them.
func (pol *pool) fill(ctx context.Context, ask Order) OrderResult {
	ord := &order{Order: ask, span: ask.Due, results: make([]Handle, ask.Count), pending: ask.Count, tries: make([]int, ask.Count), done: make(chan struct{})}
	pol.mtx.Lock()
	now := pol.set.Clock.Now()
	if !ask.Recompute {
		pol.budget.earn(ask.Count)
	} else if !pol.budget.allowRecompute(ask.Count) {
		defer pol.mtx.Unlock()
		pol.set.Log.Info().Str("request", ask.Request).Int("stage", ask.Stage).Str("pool", ask.Pool).Int("pieces", ask.Count).
			Msg("retry budget exhausted, lost inputs are not recomputed")
		return pol.result(ord, proto.InputLost)
	}
	// From here on the spans are instants of the local clock.
	ord.Due, ord.Expires, ord.LocalUntil = now+ask.Due, now+ask.Expires, now+ask.LocalUntil
	pol.next++
	ord.job = pol.next
	for i := range ask.Count {
		pol.add(ord, i, false)
	}
	pol.dispatchWithin(coalesceDelay, now)
	if pol.takesOver(now) {
		pol.sched.StartTerm(now)
		go pol.pollStorage(now)
	}
	pol.mtx.Unlock()
	select {
	case <-ord.done:
	case <-ctx.Done():
	}
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.finish(ord)
}

// finish completes an order and returns its outcome. The results of a failed order are released.
func (pol *pool) finish(ord *order) OrderResult {
	ord.complete(proto.Late)
	out := pol.result(ord, ord.failure)
	out.InputsReleased, out.Crashed = ord.fetch.released, ord.crashes
	if ord.failure == proto.NoFailure {
		out.Results = ord.results
		return out
	}
	pol.withdraw(ord)
	return out
}

// withdraw removes an order's waiting items from the scheduler and releases its results.
func (pol *pool) withdraw(ord *order) {
	for id, ref := range pol.refs {
		if ref.ord == ord && pol.sched.Remove(id) {
			delete(pol.refs, id)
		}
	}
	for i, res := range ord.results {
		if res.Name != "" {
			pol.queueRelease(res)
			ord.results[i] = Handle{}
		}
	}
}

// add puts an item of an order into the scheduler; begun is set when other items of the order are
// done or in progress.
func (pol *pool) add(ord *order, index int, begun bool) {
	pol.next++
	pol.refs[pol.next] = itemRef{ord: ord, index: index}
	pol.sched.Add(gather.Item{
		ID: pol.next, Job: ord.job, Added: pol.set.Clock.Now(), Due: ord.Due, Expires: ord.Expires, Priority: ord.Rank, Ranked: ord.Ranked, Zone: ord.Zone, LocalUntil: ord.LocalUntil, Bytes: ord.Bytes, Begun: begun,
		Exclusive: ord.Exclusive || len(ord.crashes) > 0,
	})
}

// dispatch sends the batches that the scheduler selects, and fails the items that have expired.
func (pol *pool) dispatch() {
	now := pol.set.Clock.Now()
	share := pol.holdRateLimited(now)
	pol.holdResting()
	pol.failWithheld()
	for {
		bat, ok := pol.sched.Next(now)
		if !ok {
			break
		}
		pol.rates.Take(bat.Endpoint.ID, share, now)
		pol.sched.Pause(bat.Endpoint.ID, now+pol.rates.Wait(bat.Endpoint.ID, now))
		go pol.call(bat)
	}
	// Only after the calls: an item that still got a slot has not expired.
	for _, itm := range pol.sched.TakeExpired(now) {
		pol.failItem(itm.ID, proto.Late)
	}
	if pol.sched.Waiting() == 0 {
		return
	}
	span := pollInterval
	if space := pol.sched.StartDelay(now); space > 0 {
		span = min(span, space)
	}
	pol.dispatchWithin(span, now)
}

// dispatchWithin schedules a dispatch after a span, unless one is due sooner.
func (pol *pool) dispatchWithin(span, now clock.Milli) {
	if now < pol.wakeAt && pol.wakeAt <= now+span {
		return
	}
	pol.wakeAt = now + span
	pol.set.After(span, func() {
		pol.mtx.Lock()
		defer pol.mtx.Unlock()
		pol.dispatch()
	})
}

// failItem fails the order of an item that can't be made.
func (pol *pool) failItem(id int64, failure proto.Failure) {
	ref, ok := pol.refs[id]
	if !ok {
		return
	}
	delete(pol.refs, id)
	ref.ord.complete(failure)
}

// call sends one batch to its endpoint and handles the response.
func (pol *pool) call(bat gather.Batch) {
	items := pol.requestItems(bat)
	ctx, cancel := context.WithTimeout(context.Background(), bat.Timeout.Duration())
	defer cancel()
	defer pol.inFlight.Add(ident.Process(bat.Endpoint.ID), cancel)()
	ep := proto.Endpoint{ID: ident.Process(bat.Endpoint.ID), Pool: pol.name, Addr: bat.Endpoint.Addr, Zone: bat.Endpoint.Zone}
	fetch := time.AfterFunc(pol.fetchTime(bat), func() { pol.inputsFetched(bat) })
	defer fetch.Stop()
	if !pol.set.MaySend(ep.ID, ep.Zone) {
		pol.withdrawBatch(bat)
		return
	}
	began := pol.set.Clock.Now()
	made, rep, err := pol.set.Dialect.RunBatch(ctx, pol.set.BatchClient, ep, items)
	took := pol.set.Clock.Since(began)
	if rep.Misdirected {
		pol.set.OnMisdirected(ep.ID, "another endpoint answers at its address")
	}
	if errors.Is(err, proto.ErrWithheld) {
		pol.withdrawBatch(bat)
		return
	}
	crashed := pol.crashedDuring(ctx, bat, err)
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	if crashed {
		pol.recordCrash(bat)
	}
	pol.logCall(bat, made, took, err)
	pol.countUnbounded(err)
	pol.handleResponse(bat, made, err)
	pol.dispatch()
}

// withdrawBatch puts the items of a batch of which nothing was sent back into the scheduler. That is no
// attempt, and takes nothing from the retry budget.
func (pol *pool) withdrawBatch(bat gather.Batch) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	pol.set.Log.Info().Str("pool", pol.name).Str("endpoint", bat.Endpoint.ID).Int("pieces", len(bat.Items)).Msg("batch withheld, its endpoint has left or is in an evacuated data centre")
	pol.sched.End(bat.ID, gather.Canceled, nil, pol.set.Clock.Now())
	for _, itm := range bat.Items {
		ref, ok := pol.refs[itm.ID]
		if !ok {
			continue
		}
		delete(pol.refs, itm.ID)
		if ref.ord.completed {
			continue
		}
		ref.ord.fetch.set(ref.index, ref.ord.Count, false)
		if ref.ord.fetch.released {
			// The inputs were taken for fetched while the connection was opened.
			ref.ord.complete(proto.InputLost)
			continue
		}
		pol.add(ref.ord, ref.index, itm.Begun)
	}
	pol.dispatch()
}

// failWithheld fails all waiting items if no endpoint is left because of evacuations.
func (pol *pool) failWithheld() {
	if !pol.sched.AllWithheld() {
		return
	}
	for _, itm := range pol.sched.TakeAll() {
		pol.failItem(itm.ID, proto.Broken)
	}
}

func (pol *pool) requestItems(bat gather.Batch) []proto.Item {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	now := pol.set.Clock.Now()
	items := make([]proto.Item, len(bat.Items))
	for i, itm := range bat.Items {
		ref := pol.refs[itm.ID]
		items[i] = proto.Item{
			Request: ref.ord.Request, Stage: ref.ord.Stage, Index: ref.index, Remaining: max(itm.Expires-now, 1),
			Key: ref.ord.Key, Inputs: ref.ord.Inputs,
		}
	}
	return items
}

// handleResponse records the outcome of each item of a call.
func (pol *pool) handleResponse(bat gather.Batch, made []proto.ItemResult, err error) {
	var stored []gather.Result
	for i, itm := range bat.Items {
		out := proto.ItemResult{Failure: proto.Broken}
		switch {
		case err == nil:
			out = made[i]
		case errors.Is(err, proto.ErrFull):
			out.Failure = proto.NoRoom
		}
		if out.Handle != "" {
			stored = append(stored, gather.Result{Handle: out.Handle, Bytes: itm.Bytes})
		}
	}
	pol.sched.End(bat.ID, verdict(err), stored, pol.set.Clock.Now())
	for i, itm := range bat.Items {
		switch {
		case err == nil:
			pol.handleItem(itm.ID, made[i], bat.Endpoint)
		case errors.Is(err, proto.ErrFull):
			pol.retryItem(itm.ID, proto.NoRoom)
		default:
			pol.retryItem(itm.ID, proto.Broken)
		}
	}
}

func verdict(err error) gather.BatchOutcome {
	switch {
	case err == nil:
		return gather.Answered
	case errors.Is(err, proto.ErrFull):
		return gather.Busy
	}
	return gather.Failed
}

func (pol *pool) handleItem(id int64, made proto.ItemResult, ep gather.Endpoint) {
	ref, ok := pol.refs[id]
	if !ok {
		return
	}
	res := Handle{Name: made.Handle, Addr: ep.Addr, Zone: ep.Zone}
	switch {
	case made.Failure == proto.NoRoom:
		pol.sched.MarkFull(ep.ID, pol.set.Clock.Now())
		pol.retryItem(id, made.Failure)
	case made.Failure == proto.Broken:
		pol.retryItem(id, made.Failure)
	case made.Failure == proto.InputLost && ref.ord.fetch.released:
		pol.holdInputsUntil = pol.set.Clock.Now() + inputHoldTime
		pol.failItem(id, made.Failure)
	case made.Failure != proto.NoFailure:
		pol.failItem(id, made.Failure)
	case ref.ord.completed:
		// The caller has disconnected, and nobody else has the handle.
		delete(pol.refs, id)
		pol.queueRelease(res)
	default:
		delete(pol.refs, id)
		ref.ord.results[ref.index] = res
		if ref.ord.pending--; ref.ord.pending == 0 {
			ref.ord.complete(proto.NoFailure)
		}
	}
}

// retryItem puts a failed item back into the scheduler, within the retry budget and maxTries.
func (pol *pool) retryItem(id int64, failure proto.Failure) {
	ref, ok := pol.refs[id]
	if !ok {
		return
	}
	delete(pol.refs, id)
	if ref.ord.completed {
		return
	}
	ref.ord.fetch.set(ref.index, ref.ord.Count, false)
	ref.ord.tries[ref.index]++
	switch {
	case ref.ord.fetch.released:
		ref.ord.complete(proto.InputLost)
		return
	case ref.ord.tries[ref.index] >= maxTries || !pol.budget.allowRetry():
		ref.ord.complete(failure)
		return
	}
	pol.set.Meter.CountRetry(retry.Refused)
	pol.add(ref.ord, ref.index, ref.ord.Count > 1)
}

// logCall logs a call, at a higher level if it failed wholly or in part.
func (pol *pool) logCall(bat gather.Batch, made []proto.ItemResult, took clock.Milli, err error) {
	failed, full := 0, 0
	for _, res := range made {
		if res.Failure != proto.NoFailure {
			failed++
		}
		if res.Failure == proto.NoRoom {
			full++
		}
	}
	evt := pol.set.Log.Debug()
	switch {
	case err != nil:
		evt = pol.set.Log.Warn().Err(err)
	case failed > 0:
		evt = pol.set.Log.Info()
	}
	evt.Str("pool", pol.name).Str("endpoint", bat.Endpoint.ID).Int("pieces", len(bat.Items)).Int("flawed", failed).Int("no_room", full).
		Int64("held_bytes", pol.sched.HeldBytes(bat.Endpoint.ID)).Int("waiting", pol.sched.Waiting()).
		Int64("took_ms", int64(took)).Int64("give_up_ms", int64(bat.Timeout)).Msg("batch call ended")
}

// free releases results.
func (pol *pool) free(list []Handle) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	for _, res := range list {
		pol.queueRelease(res)
	}
}

// countUnbounded counts an answer that exceeded a bound.
func (pol *pool) countUnbounded(err error) {
	if bounds.Exceeded(err) {
		pol.set.Meter.CountEvent(meter.EventUnbounded)
	}
}

// failIfUnbounded ejects an endpoint of the pool if its answer to a call that is no batch exceeded a bound.
func (pol *pool) failIfUnbounded(err error, is func(ep gather.Endpoint) bool) {
	if !bounds.Exceeded(err) {
		return
	}
	pol.countUnbounded(err)
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	if i := slices.IndexFunc(pol.endpoints, is); i >= 0 {
		pol.sched.MarkFailed(pol.endpoints[i].ID, pol.set.Clock.Now())
	}
}

// queueRelease collects the handles to be released at one endpoint for a single call. A failed call
// is not retried: the endpoint drops the results when they expire.
func (pol *pool) queueRelease(res Handle) {
	if len(pol.pendingReleases[res.Addr]) == 0 {
		pol.set.After(max(releaseDelay, pol.releaseInterval(res.Addr)), func() { pol.sendReleases(res.Addr, res.Zone) })
	}
	pol.pendingReleases[res.Addr] = append(pol.pendingReleases[res.Addr], res.Name)
}

func (pol *pool) sendReleases(addr, zone string) {
	pol.mtx.Lock()
	if left := pol.restLeft(addr); left > 0 {
		pol.set.After(left, func() { pol.sendReleases(addr, zone) })
		pol.mtx.Unlock()
		return
	}
	list := pol.pendingReleases[addr]
	delete(pol.pendingReleases, addr)
	pol.countRelease(addr)
	pol.mtx.Unlock()
	if !pol.set.MaySendTo(addr, zone) {
		// The endpoint drops them when they expire, as does the scheduler.
		pol.set.Log.Info().Str("pool", pol.name).Str("addr", addr).Int("results", len(list)).Msg("results in an evacuated data centre not released")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := pol.set.Dialect.Free(ctx, pol.set.Client, addr, list); err != nil {
		pol.set.Log.Warn().Err(err).Str("pool", pol.name).Str("addr", addr).Int("results", len(list)).Msg("releasing results failed")
		pol.failIfUnbounded(err, func(ep gather.Endpoint) bool { return ep.Addr == addr })
		return
	}
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	// The storage is available only now: a call made before the endpoint's answer would be refused
	// for lack of it.
	for _, name := range list {
		pol.sched.Release(name)
	}
	pol.dispatch()
}
