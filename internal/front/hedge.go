package front

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/meter"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/pkg/hedge"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

// hedgeMark distinguishes the ticket of a hedge from that of the next attempt, which may be placed meanwhile.
const hedgeMark = "h"

// hedgeKey names the requests whose hedges are decided together.
type hedgeKey struct{ route, pool string }

// hedgeTrack is what the hedges of a route and pool depend on.
type hedgeTrack struct {
	times  hedge.Times
	budget hedge.Budget
}

// hedges holds the tracks. The zero value is empty.
type hedges struct {
	mtx    sync.Mutex
	tracks map[hedgeKey]*hedgeTrack
}

// with calls work with the track of a request's route and pool.
func (hgs *hedges) with(cl *call, work func(trk *hedgeTrack)) {
	hgs.mtx.Lock()
	defer hgs.mtx.Unlock()
	if hgs.tracks == nil || len(hgs.tracks) >= maxTimedRoutes {
		hgs.tracks = map[hedgeKey]*hedgeTrack{}
	}
	key := hedgeKey{route: cl.route.Name(), pool: cl.pool.Name()}
	if hgs.tracks[key] == nil {
		hgs.tracks[key] = &hedgeTrack{}
	}
	work(hgs.tracks[key])
}

// sample records the time of an attempt.
func (hgs *hedges) sample(share float64, cl *call, took, now clock.Milli) {
	if share > 0 && cl.route.Repeatable() {
		hgs.with(cl, func(trk *hedgeTrack) { trk.times.Add(took, now) })
	}
}

// countRequest adds the share of a request to the budget of its route and pool.
func (hgs *hedges) countRequest(share float64, cl *call) {
	if share > 0 && cl.route.Repeatable() {
		hgs.with(cl, func(trk *hedgeTrack) { trk.budget.CountRequest(share) })
	}
}

// hedgeCase describes the request for the decision on a hedge after the times of its route and pool, or after a
// delay that has passed.
func (run *finalRun) hedgeCase(passed clock.Milli) hedge.Case {
	fr, cl := run.fr, run.cl
	share, now := fr.set.HedgeShare, fr.set.Clock.Now()
	cse := hedge.Case{
		Share: share, Repeatable: cl.route.Repeatable(), Begun: cl.out.headSent || cl.bound.is, Used: run.mayHaveRun + 1, Attempts: cl.route.Attempts(),
		Suspected: cl.trial || fr.isSuspected(cl), Denied: !run.maySend(), Released: len(cl.inputs) > 0 && !cl.hasResults(),
		Scarce: fr.coord.Queues(cl.pool.Name()) || fr.set.Control.View().BrittlePools()[cl.pool.Name()] || fr.set.Control.View().IsCold(cl.pool.Name()),
	}
	fr.hedges.with(cl, func(trk *hedgeTrack) {
		cse.Delay, cse.Affordable = trk.times.Delay(share, now), trk.budget.Affordable()
	})
	cse.Left = cl.deadline - now - cse.Delay
	if passed > 0 {
		cse.Delay, cse.Left = passed, cl.deadline-now
	}
	return cse
}

// isSuspected reports whether endpoints have crashed under a request, or under a part of its prompt.
func (fr *Front) isSuspected(cl *call) bool {
	sus := fr.set.Control.View().Suspects()
	if sus.Empty() {
		return false
	}
	parts := sus.Suspects()
	return len(fr.crashesUnder(cl)) > 0 || slices.ContainsFunc(cl.parts(), func(fpr poison.Fingerprint) bool { return slices.Contains(parts, fpr) })
}

// hedgeDelay returns the time after which a hedge is sent; false if none may be.
func (run *finalRun) hedgeDelay() (clock.Milli, bool) {
	if run.fr.set.HedgeShare <= 0 {
		return 0, false
	}
	cse := run.hedgeCase(0)
	reason := cse.Judge()
	if reason != hedge.None {
		run.fr.set.Meter.CountHedge(reason.String())
	}
	return cse.Delay, reason == hedge.None
}

// race sends an attempt, and a hedge if the attempt is not answered within a delay. It returns the attempt that
// the caller is answered with; what the other one holds is released.
func (run *finalRun) race(first *sending, delay clock.Milli) *sending {
	fr := run.fr
	done := make(chan *sending, 2)
	go func() {
		first.send(fr)
		done <- first
	}()
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-done:
		return first
	case <-timer.C:
	}
	second, ended := run.beginHedge(first, done, delay)
	if second == nil {
		if !ended {
			<-done
		}
		return first
	}
	go func() {
		second.send(fr)
		done <- second
	}()
	best := run.firstGood(first, second, done)
	run.logHedge(first, second, best)
	return best
}

// firstGood returns the attempt that is answered well first. If one fails, the other goes on; if both do, it
// returns the last to fail, or the one that the endpoint answered.
func (run *finalRun) firstGood(first, second *sending, done chan *sending) *sending {
	one, other := <-done, second
	if one == second {
		other = first
	}
	if one.isGood() {
		run.drop(other, done)
		return one
	}
	answered := one.end == ending.Answered
	if !answered {
		run.fail(one)
	}
	// The remaining attempt is canceled for being slow as one without a hedge is, but only while the route permits
	// a further one.
	if !answered && run.mayHaveRun+1 < run.cl.route.Attempts() {
		other.cgd.unhold()
	}
	var expired <-chan time.Time
	if answered {
		timer := time.NewTimer(run.slowDelay().Duration())
		defer timer.Stop()
		expired = timer.C
	} else {
		timer := run.cancelIfSlow(other.ctx, &other.cgd, other.cancel)
		defer timer.Stop()
	}
	select {
	case <-done:
	case <-expired:
		run.drop(other, done)
		return one
	}
	switch {
	case !answered:
		return other
	case other.isGood():
		run.mayHaveRun++
		run.fr.discard(run.cl, one)
		return other
	case other.end == ending.Answered:
		run.mayHaveRun++
		run.fr.discard(run.cl, other)
	default:
		run.fail(other)
	}
	return one
}

// fail records that one of two attempts failed.
func (run *finalRun) fail(snd *sending) {
	run.fr.sampleTimes(run.cl, snd)
	run.failed(snd)
	run.rejected = false
	if snd.end.RanNothing() {
		run.notRun++
	} else {
		run.mayHaveRun++
	}
	snd.close()
}

// drop cancels an attempt that lost. Its slot is freed as soon as it has ended.
func (run *finalRun) drop(snd *sending, done <-chan *sending) {
	fr, cl := run.fr, run.cl
	run.mayHaveRun++
	snd.cgd.cancelLost(snd.cancel)
	go func() {
		<-done
		fr.discard(cl, snd)
	}()
}

// discard frees what an attempt holds whose answer is not used. That it was canceled says nothing about its
// endpoint. It may be called while the request goes on, and reads only what doesn't change any longer.
func (fr *Front) discard(cl *call, snd *sending) {
	out := route.Cancelled
	switch {
	case snd.canceled:
	case snd.end != ending.Answered:
		out = snd.end.RouteOutcome(false)
	case !snd.isGood():
		out = route.Failure
	}
	fr.sampleTimes(cl, snd)
	fr.releaseEnded(cl.pool.Name(), snd.tgt, out, snd.took, snd.isRejected(), 0)
	if snd.end == ending.Cut && !snd.canceled {
		fr.checkCrashSince(cl, snd.tgt, false, 0, -1)
	}
	snd.close()
}

// beginHedge prepares a hedge, or returns nil if something speaks against it. ended reports that the first attempt
// ended meanwhile; it has then been received from done.
func (run *finalRun) beginHedge(first *sending, done <-chan *sending, delay clock.Milli) (second *sending, ended bool) {
	fr, cl := run.fr, run.cl
	reason := run.hedgeCase(delay).Judge()
	if reason == hedge.None {
		var plc coord.Placement
		if plc, reason, ended = run.placeHedge(first, done); ended {
			return nil, true
		}
		if reason == hedge.None {
			if second = run.payHedge(first, plc, &reason); second != nil {
				fr.set.Meter.CountHedge(meter.HedgeSent)
				fr.set.Meter.CountRetry(retry.Hedged)
			}
		}
	}
	if second == nil && reason != hedge.None {
		fr.set.Meter.CountHedge(reason.String())
	}
	evt := fr.set.Log.Info().Str("request", cl.ask.ID).Str("route", cl.route.Name()).Str("pool", cl.pool.Name()).Str("first", string(first.tgt.ID)).
		Int64("delay_ms", int64(delay)).Float64("share", fr.set.HedgeShare).Bool("sent", second != nil).Stringer("reason", reason)
	if second != nil {
		evt.Str("endpoint", string(second.tgt.ID))
	}
	evt.Msg("hedge decided")
	return second, false
}

// placeHedge places a hedge where it doesn't wait for a slot. The first attempt may end meanwhile.
func (run *finalRun) placeHedge(first *sending, done <-chan *sending) (plc coord.Placement, reason hedge.Reason, ended bool) {
	fr, cl := run.fr, run.cl
	type outcome struct {
		plc coord.Placement
		ok  bool
	}
	placed := make(chan outcome, 1)
	ctx, cancel := context.WithCancel(first.ctx)
	defer cancel()
	ticket, ask := cl.ticket()+hedgeMark, cl.placeAsk(slices.Concat(run.avoid, fr.pools.Ejected(cl.pool.Name())))
	go func() {
		plc, ok := fr.coord.Place(ctx, fr.set.Control.View(), cl.pool.Name(), ticket, ask)
		placed <- outcome{plc, ok}
	}()
	select {
	case <-done:
		go func() {
			if out := <-placed; out.ok {
				run.releaseUnused(out.plc)
			}
		}()
		return plc, reason, true
	case out := <-placed:
		switch {
		case !out.ok:
			return plc, hedge.NoSlot, false
		case !run.fitsHedge(out.plc):
			run.releaseUnused(out.plc)
			return plc, hedge.NoSlot, false
		}
		return out.plc, hedge.None, false
	}
}

// fitsHedge reports whether a hedge may be sent where it was placed. A coordinator may have chosen an endpoint of
// which it doesn't know what this instance knows.
func (run *finalRun) fitsHedge(plc coord.Placement) bool {
	vw := run.fr.set.Control.View()
	return !plc.Full && !plc.Waits && run.fitsCold(plc) && !slices.Contains(run.avoid, string(plc.ID)) && !slices.Contains(run.fr.pools.Ejected(run.cl.pool.Name()), string(plc.ID)) &&
		!vw.IsLeaving(plc.ID) && !vw.IsWithheld(plc.ID) && !run.fr.set.Control.Resting(plc.ID)
}

// payHedge takes a hedge from the share of extra work and from the retry budget, and returns its attempt. If either
// is used up, or the first attempt has ended, it releases the placement and returns nil.
func (run *finalRun) payHedge(first *sending, plc coord.Placement, reason *hedge.Reason) (second *sending) {
	fr, cl := run.fr, run.cl
	taken := false
	fr.hedges.with(cl, func(trk *hedgeTrack) { taken = trk.budget.Take() })
	switch {
	case !taken:
		*reason = hedge.NoShare
	case !first.cgd.hold():
		// The first attempt has just ended, or was canceled for being slow.
	case !fr.pools.TakeRetry(cl.pool.Name(), fr.set.Control.View()):
		first.cgd.unhold()
		*reason = hedge.NoRetry
	default:
		first.timer.Stop()
		first.keepInputs()
		second = run.begin(plc)
		second.hedge = true
		second.cgd.hold()
		allowed := second.rqs.Allowed
		second.rqs.Allowed = func() bool { return allowed() && run.fitsCold(plc) }
		return second
	}
	run.releaseUnused(plc)
	if taken {
		fr.hedges.with(cl, func(trk *hedgeTrack) { trk.budget.Refund() })
	}
	return nil
}

// fitsCold reports whether an endpoint is not cold.
func (run *finalRun) fitsCold(plc coord.Placement) bool {
	until, cold := run.fr.set.Control.View().ColdUntil(plc.ID)
	return !cold || until <= run.fr.set.Clock.Now()
}

// logHedge counts and logs how a hedge ended.
func (run *finalRun) logHedge(first, second, best *sending) {
	fr, cl := run.fr, run.cl
	result := meter.HedgeFailed
	switch {
	case best.isGood() && best == second:
		result = meter.HedgeWon
	case best.isGood():
		result = meter.HedgeLost
	}
	fr.set.Meter.CountHedge(result)
	fr.set.Log.Info().Str("request", cl.ask.ID).Str("pool", cl.pool.Name()).Str("first", string(first.tgt.ID)).Str("endpoint", string(second.tgt.ID)).
		Str("result", result).Int64("took_ms", int64(fr.set.Clock.Since(first.began))).Msg("hedge ended")
}
