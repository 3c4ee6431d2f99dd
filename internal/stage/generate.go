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
	// prefixBytes is the part of a prompt that engines are expected to cache.
	prefixBytes = 128
	// stallFor is how long a stream may stand still before it is taken up
	// elsewhere. A frozen engine keeps its connection open and sends nothing.
	stallFor = time.Second
	// cancelWait bounds the call that frees an engine of an abandoned stream.
	cancelWait = time.Second
)

// generate runs a generating stage, going on at the next index after each cut.
func (try *attempt) generate(ctx context.Context) (string, wire.StageTime, outcm.Result) {
	if try.last {
		try.text = append(try.text, try.job.Have...)
	}
	if st, ok := try.takeUp(ctx); ok {
		return strings.Join(try.text, ""), st, outcm.Result{}
	}
	for {
		ep, res := try.acquire(ctx, prefixOf(try.taken[0]))
		if res.Outcome() != outcm.Pending {
			return "", try.time(ep, 0), res
		}
		last, end, took := try.stream(ctx, ep)
		if end == ending.Answered {
			return strings.Join(try.text, ""), try.time(ep, last.EngineMs), outcm.Result{}
		}
		if res, again := try.again(ctx, ep, end, took); !again {
			return "", try.time(ep, 0), res
		}
	}
}

func prefixOf(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// takeUp goes on with the stream that the caller's token names, if its engine
// still has it. Anything amiss means a new generation from the same index.
func (try *attempt) takeUp(ctx context.Context) (wire.StageTime, bool) {
	plc := try.job.Place
	if !try.last || plc.Attempt == "" || plc.Pool != try.stg.Pool() {
		return wire.StageTime{}, false
	}
	try.job.ran.Add(1)
	last, end := try.read(ctx, func(ctx context.Context, take func(wire.Token) error) (wire.End, engin.Report, ending.Ending) {
		_, last, rep, end := try.rnr.cli.Resume(ctx, plc.Addr, plc.Attempt, len(try.text), take)
		return last, rep, end
	})
	if end != ending.Answered {
		return wire.StageTime{}, false
	}
	try.rnr.mtr.CountRetry(retry.Resumed)
	try.job.count = len(try.text)
	return wire.StageTime{Endpoint: plc.ID, EngineMs: last.EngineMs, Attempts: 1}, true
}

// stream generates at one engine; when the connection is cut it is taken up
// once at the same engine before anything is generated anew.
func (try *attempt) stream(ctx context.Context, ep route.Endpoint) (wire.End, ending.Ending, clock.Milli) {
	try.tries++
	run := try.run()
	run.MaxTokens, run.From, run.Have = try.job.MaxTokens, len(try.text), try.text
	plc := Place{Pool: try.stg.Pool(), ID: ep.ID, Addr: ep.Addr, Attempt: run.Attempt}
	began := try.rnr.clk.Now()
	try.firstAt = 0
	try.sending()
	if try.last && try.job.Opened != nil {
		try.job.Opened(plc)
	}
	var rep engin.Report
	last, end := try.read(ctx, func(ctx context.Context, take func(wire.Token) error) (wire.End, engin.Report, ending.Ending) {
		_, last, got, end := try.rnr.cli.Generate(ctx, ep.Addr, run, take)
		rep = got
		return last, got, end
	})
	if end == ending.Cut && ctx.Err() == nil {
		try.rnr.mtr.CountRetry(retry.Resumed)
		last, end = try.read(ctx, func(ctx context.Context, take func(wire.Token) error) (wire.End, engin.Report, ending.Ending) {
			_, last, got, end := try.rnr.cli.Resume(ctx, ep.Addr, plc.Attempt, len(try.text), take)
			if end == ending.Errored || end.RanNothing() {
				// What ran before the cut has run, whatever the resumption says.
				end = ending.Cut
			}
			return last, got, end
		})
	}
	try.sent(end)
	took := try.rnr.clk.Since(began)
	tokens := len(try.text) - run.From
	try.outlasted = ctx.Err() == context.DeadlineExceeded
	try.learn(ep, rep, end, took, max(tokens, 1))
	if end == ending.Answered {
		try.job.count = len(try.text)
	}
	if end == ending.Answered && tokens > 0 {
		try.rnr.sampleStream(try.job.Doc.Name(), try.stg.Name(), try.firstAt-began, took, tokens)
	}
	if end != ending.Answered {
		go try.rnr.cancel(plc)
	}
	return last, end, took
}

type reading func(context.Context, func(wire.Token) error) (wire.End, engin.Report, ending.Ending)

// read reads a stream until it ends or stands still. A stall is told as a cut.
func (try *attempt) read(ctx context.Context, from reading) (wire.End, ending.Ending) {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := max(stallFor, (patience * try.rnr.careful(try.job.Doc, try.index, 1)).Duration())
	stall := time.AfterFunc(wait, cancel)
	last, _, end := from(inner, func(tok wire.Token) error {
		stall.Reset(wait)
		if try.firstAt == 0 {
			try.firstAt = try.rnr.clk.Now()
		}
		try.text = append(try.text, tok.Text)
		if try.last && try.job.Take != nil {
			return try.job.Take(tok)
		}
		return nil
	})
	stalled := !stall.Stop()
	if end == ending.GaveUp && stalled && ctx.Err() == nil {
		end = ending.Cut
	}
	return last, end
}

// cancel frees an engine of a stream that nobody waits for.
func (rnr *Runner) cancel(plc Place) {
	ctx, stop := context.WithTimeout(context.Background(), cancelWait)
	defer stop()
	rnr.cli.Cancel(ctx, plc.Addr, plc.Attempt)
}
