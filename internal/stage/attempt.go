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

// timeoutFactor is the multiple of its upper time estimate that an attempt at an idempotent
// stage may take before the stage is tried at another endpoint, with minAttemptTimeout as the
// lower bound. Otherwise a frozen endpoint would hold a request until its deadline.
const (
	timeoutFactor     = 4
	minAttemptTimeout = 250 * clock.Milli(1)
)

// attempt is the state of all attempts at one stage of one request.
type attempt struct {
	rnr   *Runner
	job   *Job
	stg   svcdoc.Stage
	pl    *pool
	index int
	last  bool
	// inputs are the results that the stage takes, or the caller's input.
	inputs []string
	avoid  []string
	tries  int
	text   []string
	// firstTokenAt is the instant of the first token of the current attempt, zero before it.
	firstTokenAt clock.Milli
	// timedOut is set if the current attempt ended because its time expired.
	timedOut bool
	bounds   retry.Bounds
}

// call runs a stage that returns one complete answer.
func (att *attempt) call(ctx context.Context) (string, wire.StageTime, outcm.Result) {
	for {
		ep, res := att.acquire(ctx, 0)
		if res.Outcome() != outcm.Pending {
			return "", att.stageTime(ep, 0), res
		}
		if att.budget() < minBudget {
			att.pl.finish(ep.ID, route.Cancelled, 0, att.rnr.clk.Now())
			return "", att.stageTime(ep, 0), outcm.New(outcm.NotRun, outcm.DeadlinePassed, "no time left before the deadline for stage "+att.stg.Name())
		}
		ran, end, took := att.once(ctx, ep)
		if end == ending.Answered {
			att.rnr.sample(att.job.Doc.Name(), att.stg.Name(), took)
			return ran.Output, att.stageTime(ep, ran.EngineMs), outcm.Result{}
		}
		if res, again := att.decideRetry(ctx, ep, end, took); !again {
			return "", att.stageTime(ep, 0), res
		}
	}
}

// once sends the stage to an endpoint, once.
func (att *attempt) once(ctx context.Context, ep route.Endpoint) (wire.RunResult, ending.Ending, clock.Milli) {
	ctx, cancel := context.WithTimeout(ctx, att.timeout().Duration())
	defer cancel()
	att.tries++
	began := att.rnr.clk.Now()
	att.markSent()
	ran, rep, end := att.rnr.cli.Run(ctx, ep.Addr, att.run())
	att.undoMarkSent(end)
	took := att.rnr.clk.Since(began)
	att.timedOut = ctx.Err() == context.DeadlineExceeded
	att.complete(ep, rep, end, took, 0)
	return ran, end, took
}

// timeout returns how long the next attempt may take. A non-idempotent one may use all the time
// that is left, because it can't be repeated elsewhere once it was sent.
func (att *attempt) timeout() clock.Milli {
	left := max(att.budget(), minBudget)
	if att.stg.NonIdempotent() || att.tries+1 >= att.bounds.Attempts() {
		return left
	}
	upper := att.rnr.upperTime(att.job.Doc, att.index, att.job.MaxTokens)
	return min(left, max(minAttemptTimeout, timeoutFactor*upper))
}

// markSent records, before the first byte is written, that the stage may run. If the process
// crashes or is paused after that, the outcome of the request is unknown.
func (att *attempt) markSent() {
	att.job.ran.Add(1)
	if att.stg.NonIdempotent() {
		att.job.effects.Add(1)
	}
}

// undoMarkSent undoes markSent if the ending proves that nothing ran.
func (att *attempt) undoMarkSent(end ending.Ending) {
	if !end.RanNothing() {
		return
	}
	att.job.ran.Add(-1)
	if att.stg.NonIdempotent() {
		att.job.effects.Add(-1)
	}
}

// decideRetry decides after a failed attempt whether there is another one.
func (att *attempt) decideRetry(ctx context.Context, ep route.Endpoint, end ending.Ending, took clock.Milli) (outcm.Result, bool) {
	if !end.RanNothing() {
		att.rnr.mtr.AddWasted(att.job.Doc.Name(), att.stg.Name(), took)
	}
	if end == ending.Foreign {
		att.rnr.mtr.CountEvent(meter.EventForeignAnswer)
	}
	res := att.resultOf(ctx, end)
	if ctx.Err() != nil || !retry.Allowed(end.RanNothing(), att.stg.NonIdempotent()) {
		return res, false
	}
	if end == ending.GaveUp && att.stg.Kind() == svcdoc.Generate {
		// A stream is abandoned only on the caller's side: it has no reader any longer.
		return outcm.New(res.Outcome(), outcm.CallerGone, res.Detail()), false
	}
	if end == ending.GaveUp {
		// The attempt timed out. Its time counts as a sample: otherwise a pool that slows down
		// as a whole would be retried indefinitely against its earlier, shorter average.
		att.rnr.sample(att.job.Doc.Name(), att.stg.Name(), took)
	}
	if att.tries >= att.bounds.Attempts() {
		return res, false
	}
	if !att.pl.takeRetry(att.bounds) {
		return outcm.New(res.Outcome(), outcm.RetryBudget, "the retry budget of the pool is exhausted; the last attempt ended as "+end.String()), false
	}
	att.rnr.mtr.CountRetry(end.Cause())
	att.avoid = append(att.avoid, ep.ID)
	return outcm.Result{}, true
}

// resultOf returns the result of a stage whose last attempt had this ending.
func (att *attempt) resultOf(ctx context.Context, end ending.Ending) outcm.Result {
	detail := "stage " + att.stg.Name() + " ended as " + end.String()
	if end.RanNothing() {
		return outcm.Refuse(reasonOf(ctx, end), retryAfterBase, detail)
	}
	if att.stg.NonIdempotent() {
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

func (att *attempt) stageTime(ep route.Endpoint, engine clock.Milli) wire.StageTime {
	return wire.StageTime{Endpoint: ep.ID, EngineMs: engine, Attempts: att.tries}
}
