package front

import (
	"context"
	"net/http"
	"sync"
	"time"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/relay"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/route"
)

const (
	// extraAttempts is the number of endpoints beyond the route's attempts that may be tried
	// after an endpoint confirmed that it ran nothing.
	extraAttempts = 2
	// slotWaitDivisor divides the target latency into the longest wait for a slot at a full
	// pool: beyond it, an immediate refusal is worth more to the caller than a late one.
	slotWaitDivisor = 8
	// answerGrace is how much longer than its deadline an attempt waits for an answer; a stream that has begun
	// ends at the deadline. An endpoint refuses a request whose deadline passes in its queue, and may ask for
	// rest with it.
	answerGrace = 100 * clock.Milli(1)
	// slotPollInterval is the interval at which a full pool without a queue is polled for a free slot: one whose
	// endpoints are neither brittle nor paced, or whose coordinator is of an earlier version.
	slotPollInterval = 5 * time.Millisecond
	// fetchGrace is the time that an engine has to fetch a request's inputs after the request
	// was written: it fetches them at its next step, some milliseconds later, and the largest
	// results take a few more to transfer. Inputs that were held until the first event took the
	// result storage that other items waited for.
	fetchGrace = 60 * time.Millisecond
)

// final sends the request to an endpoint, and to another one where nothing ran or the route
// allows a repeat.
func (fr *Front) final(ctx context.Context, cl *call) outcm.Result {
	if !fr.tokenValid(cl) {
		return refuseUnconfirmed()
	}
	if fr.isQuarantined(cl) {
		return fr.refuseQuarantined(cl)
	}
	fr.pools.CountAttempt(cl.pool.Name())
	fr.hedges.countRequest(fr.set.HedgeShare, cl)
	run := &finalRun{fr: fr, cl: cl, lastEvent: cl.ask.LastEvent}
	if !cl.route.Resumable() {
		run.lastEvent = ""
	}
	defer run.releaseNext()
	defer run.keep(nil)
	for {
		tgt, res := run.findPlacement(ctx)
		if res.Outcome() != outcm.Pending {
			return run.finalResult(res)
		}
		res, again := run.attempt(ctx, tgt)
		switch {
		case again:
			run.prev = res
		case run.fallback != nil && res.Outcome() != outcm.Done && !cl.out.headSent:
			return run.finalResult(res)
		default:
			return res
		}
	}
}

// finalRun is a final call with its attempts so far.
type finalRun struct {
	fr    *Front
	cl    *call
	avoid []string
	// mayHaveRun counts the endpoints that may have run the request, notRun those that confirmed
	// that they didn't.
	mayHaveRun int
	notRun     int
	// repeatPaid is set when the attempt was canceled for being slow and the next one is paid for
	// from the retry budget; nextPlacement is where that one goes.
	repeatPaid bool
	// rejected is set if the endpoint of the last attempt had no room for the request.
	rejected      bool
	nextPlacement *coord.Placement
	// lastEvent is the ID of the last stream event that the caller has received.
	lastEvent string
	// bound is set once the stream's build has been recorded.
	bound bool
	// prev is the result of the previous attempt; fallback is a complete failure response of an
	// endpoint, which is forwarded if no other endpoint does better.
	prev     outcm.Result
	fallback *bufferedResponse
}

// bufferedResponse is an endpoint's response that was read completely.
type bufferedResponse struct {
	rsp  *relay.Response
	body []byte
	held bounds.Held
}

// keep replaces the fallback.
func (run *finalRun) keep(rsp *bufferedResponse) {
	if run.fallback != nil {
		run.fallback.held.Release()
	}
	run.fallback = rsp
}

// slotWait returns how long a request waits for a slot at a full pool.
func (cl *call) slotWait() clock.Milli { return max(cl.due-cl.arrived, 0) / slotWaitDivisor }

// findPlacement places the attempt at an endpoint. At a full pool the request waits for a bounded time, in
// the queue of the pool's coordinator if there is one; otherwise the pool is polled.
func (run *finalRun) findPlacement(ctx context.Context) (coord.Placement, outcm.Result) {
	fr, cl := run.fr, run.cl
	if next := run.nextPlacement; next != nil {
		run.nextPlacement = nil
		return *next, outcm.Result{}
	}
	fr.set.Control.AwaitList(ctx)
	until := fr.set.Clock.Now() + cl.slotWait()
	for {
		if fr.set.Control.View().AllWithheld(cl.pool.Name(), cl.bound.build) {
			return coord.Placement{}, fr.refuseEvacuated(cl.pool.Name())
		}
		ask := cl.placeAsk(run.avoid)
		ask.Zone, ask.Bytes = cl.inputZone()
		trm := cl.waitTerms(fr.coord, until)
		if len(run.avoid) > 0 {
			trm.Until = 0
		}
		if end, all := fr.coord.RestEnd(cl.pool.Name(), cl.bound.build); all && end > until && trm.Key != 0 {
			return coord.Placement{}, fr.refuseResting(end)
		}
		tgt, wait, acq := fr.coord.Acquire(ctx, cl.pool.Name(), cl.ticket(), ask, trm)
		if acq == coord.Granted {
			return tgt, outcm.Result{}
		}
		if fr.set.Control.View().AllWithheld(cl.pool.Name(), cl.bound.build) {
			return coord.Placement{}, fr.refuseEvacuated(cl.pool.Name())
		}
		if end, all := fr.coord.RestEnd(cl.pool.Name(), cl.bound.build); all && end > until {
			return coord.Placement{}, fr.refuseResting(end)
		}
		if acq == coord.Refused {
			return coord.Placement{}, outcm.Refuse(outcm.QueueFull, fr.retryAfter(max(wait, minRetryAfter)), "no slot is free in time")
		}
		if len(run.avoid) > 0 || ctx.Err() != nil || fr.set.Clock.Now() >= until {
			return coord.Placement{}, outcm.Refuse(outcm.QueueFull, fr.retryAfter(minRetryAfter), "all endpoints are full")
		}
		select {
		case <-time.After(slotPollInterval):
		case <-ctx.Done():
		}
	}
}

// waitTerms returns what the wait of a request for an endpoint depends on. At a pool without a queue, where it is not
// used, it has no key: the fingerprint takes a while to compute.
func (cl *call) waitTerms(crd *coord.Coordinator, until clock.Milli) coord.WaitTerms {
	trm := coord.WaitTerms{Rank: cl.rank, Workspace: cl.wsp, Until: until, Since: cl.sinceFirst}
	if crd.Queues(cl.pool.Name()) {
		trm.Key = max(cl.retryKey(), 1)
	}
	return trm
}

// refuseResting returns the refusal for a pool whose endpoints have all asked this instance for rest, the
// first of them until end.
func (fr *Front) refuseResting(end clock.Milli) outcm.Result {
	return outcm.Refuse(outcm.QueueFull, max(end-fr.set.Clock.Now(), minRetryAfter), "all endpoints have asked this instance for rest")
}

// refuseEvacuated returns the refusal for a pool whose endpoints are all in evacuated data centres.
func (fr *Front) refuseEvacuated(pool string) outcm.Result {
	return outcm.Refuse(outcm.NoEndpoint, fr.retryAfter(maxRetryAfter), "the data centres of all endpoints of pool "+pool+" are evacuated")
}

// release frees the slot of an attempt and records how the attempt ended.
func (run *finalRun) release(tgt coord.Placement, out route.Outcome, took clock.Milli) {
	run.fr.releaseEnded(run.cl.pool.Name(), tgt, out, took, run.rejected, run.cl.maxPause)
}

// releaseEnded frees the slot of an attempt at a pool and records how the attempt ended. rejected is set if the
// endpoint had no room for the request; pause is the longest time between two events.
func (fr *Front) releaseEnded(pool string, tgt coord.Placement, out route.Outcome, took clock.Milli, rejected bool, pause clock.Milli) {
	if tgt.Ticket == "" {
		fr.pools.Finish(pool, tgt.ID, out, took)
		fr.coord.ReleaseSlot(pool, tgt, rejected)
		return
	}
	end := place.Failed
	switch {
	case out == route.Success:
		end = place.Succeeded
	case out == route.Cancelled:
		end = place.Neutral
	case rejected:
		end = place.Rejected
	}
	fr.coord.RecordEnd(pool, tgt, end, pause)
}

// finalResult returns the result of a request for which no further endpoint was found. A buffered response of an
// endpoint tells the caller more than a failure of our own, unless a stream of another endpoint has begun.
func (run *finalRun) finalResult(res outcm.Result) outcm.Result {
	if run.fallback != nil && !run.cl.out.headSent {
		if run.cl.out.writeBuffered(run.fallback.rsp, run.fallback.body) != nil {
			return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller disconnected")
		}
		return outcm.OK()
	}
	if run.prev.Outcome() != outcm.Pending {
		return run.prev
	}
	return res
}

// attempt sends the request once, and perhaps a hedge. It reports whether another endpoint may be tried; the
// result is then what the caller gets if there is none.
func (run *finalRun) attempt(ctx context.Context, tgt coord.Placement) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	cl.headAt, cl.pace, run.rejected = 0, 0, false
	snd := run.begin(tgt)
	snd.timer = run.cancelIfSlow(snd.ctx, &snd.cgd, snd.cancel)
	if delay, ok := run.hedgeDelay(); ok {
		snd = run.race(snd, delay)
	} else {
		snd.send(fr)
	}
	defer snd.close()
	cl.endpoint, cl.check = string(snd.tgt.ID), snd.checked.Load()
	run.repeatPaid = snd.canceled
	fr.sampleTimes(cl, snd)
	cl.pace = snd.tgt.Pace.Percent
	if snd.end == ending.Answered {
		return run.answered(ctx, snd.tgt, snd.rsp, snd.began, snd.took, snd.cancel)
	}
	run.failed(snd)
	return run.afterFailure(ctx, snd.end)
}

// failed records that an attempt ended without an answer.
func (run *finalRun) failed(snd *sending) {
	fr, cl := run.fr, run.cl
	run.countUnbounded(snd.tgt, snd.err)
	run.rejected = snd.isRejected()
	run.release(snd.tgt, snd.end.RouteOutcome(snd.canceled), snd.took)
	if snd.end == ending.Cut {
		fr.checkCrash(cl, snd.tgt, false)
	}
	cl.check.log(fr.set.Log.Info()).Str("request", cl.ask.ID).Str("endpoint", string(snd.tgt.ID)).Str("pool", cl.pool.Name()).Int("attempt", cl.attempts).Bool("hedge", snd.hedge).
		Str("ending", snd.end.String()).AnErr("error", snd.err).Bool("outlasted", snd.canceled).Int64("took_ms", int64(snd.took)).Msg("attempt failed")
	if snd.rsp != nil && snd.rsp.Reply.Misdirected {
		fr.set.Control.EndpointLeaving(snd.tgt.ID, "another endpoint answers at its address")
	}
}

// answered records that an endpoint has begun to answer, and forwards its response. cancel ends the attempt.
func (run *finalRun) answered(ctx context.Context, tgt coord.Placement, rsp *relay.Response, began, took clock.Milli, cancel func()) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	fr.pools.RecordFirstByte(cl.route.Name(), took)
	fr.coord.FirstEvent(cl.pool.Name(), tgt, took)
	cl.firstByte, cl.headAt = took, began+took
	if cl.route.Streams() {
		// Events after the deadline are of no use, and take the engine's time.
		defer context.AfterFunc(ctx, cancel)()
	}
	return run.forward(ctx, tgt, rsp, began)
}

// isRejection reports whether an endpoint refused a request for lack of room.
func isRejection(rsp *relay.Response) bool {
	return rsp != nil && rsp.Status == http.StatusServiceUnavailable && !rsp.Reply.Misdirected
}

// withInputRelease returns the request with a hook that releases its inputs once the engine has
// had time to fetch them, and a function that stops the hook.
//
// A result takes storage at its endpoint until it is released. If inputs were held until the first
// event, they would take storage while the engine prefills the prompt, some hundred milliseconds;
// in a burst all storage would be taken by results that were fetched long ago, and the endpoints
// would be idle. An engine without a free slot fetches later, and would find nothing; it then
// confirms that it ran nothing, and the caller has to retry. So the hook is left out for an engine
// that last reported no free slot.
func (fr *Front) withInputRelease(cl *call, tgt coord.Placement) (relay.Request, func()) {
	rqs := cl.req
	if len(cl.inputs) == 0 || tgt.Full {
		return rqs, func() {}
	}
	ended := make(chan struct{})
	rqs.OnWritten = func() {
		go func() {
			select {
			case <-time.After(fetchGrace):
				fr.releaseResults(cl, allStages)
			case <-ended:
			}
		}()
	}
	return rqs, sync.OnceFunc(func() { close(ended) })
}

// afterFailure returns the result of an attempt without a response, and whether another attempt is
// allowed.
func (run *finalRun) afterFailure(ctx context.Context, end ending.Ending) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	if end.RanNothing() {
		run.notRun++
	} else {
		run.mayHaveRun++
	}
	res := run.failureResult(end)
	switch {
	case ctx.Err() != nil:
		return res, false
	case !end.RanNothing() && !cl.route.Repeatable(), len(cl.inputs) > 0 && !cl.hasResults():
		// The request must not run twice, or its inputs have already been released.
		return res, false
	case run.mayHaveRun >= cl.route.Attempts() || run.mayHaveRun+run.notRun >= cl.route.Attempts()+extraAttempts:
		return res, false
	case fr.isQuarantined(cl) && run.mayHaveRun == 0:
		return fr.refuseQuarantined(cl), false
	case !fr.tokenValid(cl) && run.mayHaveRun == 0:
		return refuseUnconfirmed(), false
	case !fr.tokenValid(cl) || fr.isQuarantined(cl) || cl.trial && (run.mayHaveRun > 0 || len(cl.trialOf.Parts) > 0):
		return res, false
	case !cl.bound.resumable() || cl.bound.is && !fr.pools.HasBuild(cl.pool.Name(), cl.bound.build):
		// What follows of the stream would be of another build.
		return res, false
	case end.Sent() && !run.repeatPaid && !fr.pools.TakeRetry(cl.pool.Name(), fr.set.Control.View()):
		return res, false
	}
	fr.set.Meter.CountRetry(end.Cause())
	return res, true
}

// failureResult returns the result after a failed attempt if nothing more is tried. Once any
// attempt may have run, "not run" can't be claimed any more.
func (run *finalRun) failureResult(end ending.Ending) outcm.Result {
	fr, cl := run.fr, run.cl
	passed := fr.set.Clock.Now() >= cl.deadline
	rested, all := fr.coord.RestEnd(cl.pool.Name(), cl.bound.build)
	switch {
	case run.mayHaveRun == 0 && passed:
		return outcm.Refuse(outcm.DeadlinePassed, minRetryAfter, "no endpoint accepted the request before its deadline")
	case run.mayHaveRun == 0 && fr.set.Control.View().AllWithheld(cl.pool.Name(), cl.bound.build):
		return fr.refuseEvacuated(cl.pool.Name())
	case run.mayHaveRun == 0 && all:
		return fr.refuseResting(rested)
	case run.mayHaveRun == 0:
		return outcm.Refuse(outcm.NoEndpoint, fr.retryAfter(minRetryAfter), "the endpoints tried did not run the request: "+end.String())
	case passed:
		return outcm.New(outcm.Unknown, outcm.DeadlinePassed, "the deadline has passed; the request may have run")
	case end == ending.Foreign || end == ending.Unsigned:
		return outcm.New(outcm.Unknown, outcm.WrongAttempt, "the endpoint's response is unsigned or belongs to another request; the request may have run")
	}
	return outcm.New(outcm.Unknown, outcm.ConnectionCut, "the endpoint's connection was cut; the request may have run")
}
