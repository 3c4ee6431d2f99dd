package stage

import (
	"context"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
	"amaranthvalve/pkg/svcdoc"
)

// patience is how many times its careful need an attempt of an idempotent stage
// may take before it is tried elsewhere, and never less than minPatience: a
// frozen endpoint would otherwise hold a request until its deadline.
const (
	patience    = 4
	minPatience = 250 * clock.Milli(1)
)

// attempt is the state of the tries at one stage of one request.
type attempt struct {
	rnr   *Runner
	job   *Job
	stg   svcdoc.Stage
	pl    *pool
	index int
	last  bool
	// taken is what the stage takes: results, or what the caller sent.
	taken []string
	avoid []string
	tries int
	text  []string
	// firstAt is the instant of the first token of the present attempt.
	firstAt clock.Milli
	// outlasted tells that the present attempt was given up for its time.
	outlasted bool
	bounds    retry.Bounds
}

// call runs a stage that answers in one piece.
func (try *attempt) call(ctx context.Context) (string, wire.StageTime, outcm.Result) {
	for {
		ep, res := try.acquire(ctx, 0)
		if res.Outcome() != outcm.Pending {
			return "", try.time(ep, 0), res
		}
		if try.budget() < minRest {
			try.pl.finish(ep.ID, route.Cancelled, 0, try.rnr.clk.Now())
			return "", try.time(ep, 0), outcm.New(outcm.NotRun, outcm.DeadlinePassed, "no time is left for stage "+try.stg.Name())
		}
		ran, end, took := try.once(ctx, ep)
		if end == ending.Answered {
			try.rnr.sample(try.job.Doc.Name(), try.stg.Name(), took)
			return ran.Output, try.time(ep, ran.EngineMs), outcm.Result{}
		}
		if res, again := try.again(ctx, ep, end, took); !again {
			return "", try.time(ep, 0), res
		}
	}
}

// once sends the stage to an endpoint, once.
func (try *attempt) once(ctx context.Context, ep route.Endpoint) (wire.RunResult, ending.Ending, clock.Milli) {
	ctx, cancel := context.WithTimeout(ctx, try.allowance().Duration())
	defer cancel()
	try.tries++
	began := try.rnr.clk.Now()
	try.sending()
	ran, rep, end := try.rnr.cli.Run(ctx, ep.Addr, try.run())
	try.sent(end)
	took := try.rnr.clk.Since(began)
	try.outlasted = ctx.Err() == context.DeadlineExceeded
	try.learn(ep, rep, end, took, 0)
	return ran, end, took
}

// allowance is how long this attempt may take. A non-idempotent one gets all
// that is left, for it can't be tried elsewhere once it has been sent.
func (try *attempt) allowance() clock.Milli {
	rest := max(try.budget(), minRest)
	if try.stg.NonIdempotent() || try.tries+1 >= try.bounds.Attempts() {
		return rest
	}
	careful := try.rnr.careful(try.job.Doc, try.index, try.job.MaxTokens)
	return min(rest, max(minPatience, patience*careful))
}

// sending notes, before the first byte is written, that the stage may run: a
// process that dies or is paused from here on leaves the request unknown.
func (try *attempt) sending() {
	try.job.ran.Add(1)
	if try.stg.NonIdempotent() {
		try.job.effects.Add(1)
	}
}

// sent takes the note back when it is proved that nothing ran.
func (try *attempt) sent(end ending.Ending) {
	if !end.RanNothing() {
		return
	}
	try.job.ran.Add(-1)
	if try.stg.NonIdempotent() {
		try.job.effects.Add(-1)
	}
}

// again decides after a failed attempt whether there is another one.
func (try *attempt) again(ctx context.Context, ep route.Endpoint, end ending.Ending, took clock.Milli) (outcm.Result, bool) {
	if !end.RanNothing() {
		try.rnr.mtr.AddWasted(try.job.Doc.Name(), try.stg.Name(), took)
	}
	if end == ending.Foreign {
		try.rnr.mtr.CountEvent(meter.EventForeignAnswer)
	}
	res := try.resultOf(ctx, end)
	if ctx.Err() != nil || !retry.Allowed(end.RanNothing(), try.stg.NonIdempotent()) {
		return res, false
	}
	if end == ending.GaveUp && try.stg.Kind() == svcdoc.Generate {
		// Only the caller's side gives a stream up: nobody reads it any more.
		return outcm.New(res.Outcome(), outcm.CallerGone, res.Detail()), false
	}
	if end == ending.GaveUp {
		// The endpoint outlasted its allowance. Its time counts as a sample:
		// were it left out, a pool that slows down as a whole would be retried
		// for ever against its old, fast average.
		try.rnr.sample(try.job.Doc.Name(), try.stg.Name(), took)
	}
	if try.tries >= try.bounds.Attempts() {
		return res, false
	}
	if !try.pl.mayRetry(try.bounds) {
		return outcm.New(res.Outcome(), outcm.RetryBudget, "the pool's retry budget is used up; the last attempt ended as "+end.String()), false
	}
	try.rnr.mtr.CountRetry(end.Cause())
	try.avoid = append(try.avoid, ep.ID)
	return outcm.Result{}, true
}

// resultOf gives the outcome of a stage whose last attempt ended so.
func (try *attempt) resultOf(ctx context.Context, end ending.Ending) outcm.Result {
	detail := "stage " + try.stg.Name() + " ended as " + end.String()
	if end.RanNothing() {
		return outcm.Refuse(reasonOf(ctx, end), comeBack, detail)
	}
	if try.stg.NonIdempotent() {
		return outcm.New(outcm.Unknown, reasonOf(ctx, end), detail)
	}
	return outcm.New(outcm.Failed, reasonOf(ctx, end), detail)
}

func reasonOf(ctx context.Context, end ending.Ending) outcm.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return outcm.DeadlinePassed
	}
	if ctx.Err() != nil {
		return outcm.CallerGone
	}
	switch end {
	case ending.NothingSent:
		return outcm.NoEndpoint
	case ending.Refused:
		return outcm.StageRefused
	case ending.Foreign:
		return outcm.WrongAttempt
	case ending.Cut:
		return outcm.ConnectionCut
	case ending.GaveUp:
		return outcm.DeadlinePassed
	default:
		return outcm.StageFailed
	}
}

func (try *attempt) time(ep route.Endpoint, engine clock.Milli) wire.StageTime {
	return wire.StageTime{Endpoint: ep.ID, EngineMs: engine, Attempts: try.tries}
}
