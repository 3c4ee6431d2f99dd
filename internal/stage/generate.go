package stage

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/internal/engin"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

const (
	// prefixBytes is the length of the part of a prompt that engines are expected to cache.
	prefixBytes = 128
	// stallTimeout is the lower bound of the time without a token after which a stream counts
	// as cut. A frozen engine keeps its connection open and sends nothing.
	stallTimeout = time.Second
	// cancelTimeout bounds the call that cancels an abandoned stream at its engine.
	cancelTimeout = time.Second
)

// generate runs a generating stage and continues at the next index after each cut.
func (att *attempt) generate(ctx context.Context) (string, wire.StageTime, outcm.Result) {
	if att.last {
		att.text = append(att.text, att.job.Have...)
	}
	if st, ok := att.resume(ctx); ok {
		return strings.Join(att.text, ""), st, outcm.Result{}
	}
	for {
		ep, res := att.acquire(ctx, prefixOf(att.inputs[0]))
		if res.Outcome() != outcm.Pending {
			return "", att.stageTime(ep, 0), res
		}
		last, end, took := att.stream(ctx, ep)
		if end == ending.Answered {
			return strings.Join(att.text, ""), att.stageTime(ep, last.EngineMs), outcm.Result{}
		}
		if res, again := att.decideRetry(ctx, ep, end, took); !again {
			return "", att.stageTime(ep, 0), res
		}
	}
}

func prefixOf(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// resume continues the stream that the caller's resume token names, if its engine still has it.
// If that fails for any reason, a new generation starts from the same index.
func (att *attempt) resume(ctx context.Context) (wire.StageTime, bool) {
	ref := att.job.Stream
	if !att.last || ref.Attempt == "" || ref.Pool != att.stg.Pool() {
		return wire.StageTime{}, false
	}
	att.job.ran.Add(1)
	last, end := att.read(ctx, func(ctx context.Context, take func(wire.Token) error) (wire.End, engin.Report, ending.Ending) {
		_, last, rep, end := att.rnr.cli.Resume(ctx, ref.Addr, ref.Attempt, len(att.text), take)
		return last, rep, end
	})
	if end != ending.Answered {
		return wire.StageTime{}, false
	}
	att.rnr.mtr.CountRetry(retry.Resumed)
	att.job.count = len(att.text)
	return wire.StageTime{Endpoint: ref.ID, EngineMs: last.EngineMs, Attempts: 1}, true
}

// stream generates at one engine. If the connection is cut, the stream is resumed once at the
// same engine before a new generation starts.
func (att *attempt) stream(ctx context.Context, ep route.Endpoint) (wire.End, ending.Ending, clock.Milli) {
	att.tries++
	run := att.run()
	run.MaxTokens, run.From, run.Have = att.job.MaxTokens, len(att.text), att.text
	ref := StreamRef{Pool: att.stg.Pool(), ID: ep.ID, Addr: ep.Addr, Attempt: run.Attempt}
	began := att.rnr.clk.Now()
	att.firstTokenAt = 0
	att.markSent()
	if att.last && att.job.OnOpen != nil {
		att.job.OnOpen(ref)
	}
	var rep engin.Report
	last, end := att.read(ctx, func(ctx context.Context, take func(wire.Token) error) (wire.End, engin.Report, ending.Ending) {
		_, last, report, end := att.rnr.cli.Generate(ctx, ep.Addr, run, take)
		rep = report
		return last, report, end
	})
	if end == ending.Cut && ctx.Err() == nil {
		att.rnr.mtr.CountRetry(retry.Resumed)
		last, end = att.read(ctx, func(ctx context.Context, take func(wire.Token) error) (wire.End, engin.Report, ending.Ending) {
			_, last, report, end := att.rnr.cli.Resume(ctx, ep.Addr, ref.Attempt, len(att.text), take)
			if end == ending.Errored || end.RanNothing() {
				// The part before the cut ran, whatever the ending of the resumption.
				end = ending.Cut
			}
			return last, report, end
		})
	}
	att.undoMarkSent(end)
	took := att.rnr.clk.Since(began)
	tokens := len(att.text) - run.From
	att.timedOut = ctx.Err() == context.DeadlineExceeded
	att.complete(ep, rep, end, took, max(tokens, 1))
	if end == ending.Answered {
		att.job.count = len(att.text)
	}
	if end == ending.Answered && tokens > 0 {
		att.rnr.sampleStream(att.job.Doc.Name(), att.stg.Name(), att.firstTokenAt-began, took, tokens)
	}
	if end != ending.Answered {
		go att.rnr.cancel(ref)
	}
	return last, end, took
}

type streamFunc func(context.Context, func(wire.Token) error) (wire.End, engin.Report, ending.Ending)

// read reads a stream until it ends or stalls. A stall is returned as a cut.
func (att *attempt) read(ctx context.Context, from streamFunc) (wire.End, ending.Ending) {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := max(stallTimeout, (timeoutFactor * att.rnr.upperTime(att.job.Doc, att.index, 1)).Duration())
	stall := time.AfterFunc(wait, cancel)
	last, _, end := from(inner, func(tok wire.Token) error {
		stall.Reset(wait)
		if att.firstTokenAt == 0 {
			att.firstTokenAt = att.rnr.clk.Now()
		}
		att.text = append(att.text, tok.Text)
		if att.last && att.job.OnToken != nil {
			return att.job.OnToken(tok)
		}
		return nil
	})
	stalled := !stall.Stop()
	if end == ending.GaveUp && stalled && ctx.Err() == nil {
		end = ending.Cut
	}
	return last, end
}

// cancel cancels an abandoned stream at its engine.
func (rnr *Runner) cancel(ref StreamRef) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	rnr.cli.Cancel(ctx, ref.Addr, ref.Attempt)
}
