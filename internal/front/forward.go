package front

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/relay"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

// maxBufferedBody bounds a response that is read completely before it is forwarded, in
// bytes.
const maxBufferedBody = 1 << 20

// forwardBytes is the size of the parts in which a longer response is forwarded, unless the budget of all answers has nothing
// left for it.
const forwardBytes = 256 << 10

// forwardPart returns a buffer for the next parts of a response, in place of what was held of it so far.
func forwardPart(held *bounds.Held) []byte {
	if held.Release(); held.Resize(forwardBytes) {
		return make([]byte, forwardBytes)
	}
	return make([]byte, bounds.FreeBytes)
}

// forward sends an endpoint's response on to the caller.
func (run *finalRun) forward(ctx context.Context, tgt coord.Placement, rsp *relay.Response, began clock.Milli) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	if cl.route.Streams() && rsp.Status == http.StatusOK && isEventStream(rsp.Header) {
		// The engine has fetched the inputs. Without them a broken stream can't be resumed at
		// another endpoint, but result storage limits the throughput of the stages: inputs that
		// were held until the stream's end kept other requests waiting.
		fr.releaseResults(cl, allStages)
		return run.forwardStream(ctx, tgt, rsp, began)
	}
	held := fr.set.AnswerBudget.Hold()
	defer held.Release()
	body, isWhole, err := held.ReadWhole(rsp.Body, maxBufferedBody)
	took := fr.set.Clock.Since(began)
	switch {
	case err != nil:
		run.bodyEnded(tgt, rsp, ending.BrokenOff, 0)
		return run.bodyFailed(ctx, tgt, took, err, true)
	case !isWhole && cl.out.headSent:
		run.bodyEnded(tgt, rsp, ending.Unread, 0)
		run.release(tgt, statusOutcome(rsp.Status), took)
		return notResumed(), false
	case !isWhole:
		return run.forwardLarge(ctx, tgt, rsp, body, &held, began), false
	}
	run.bodyEnded(tgt, rsp, ending.Whole, 0)
	fr.judgeEnd(cl, tgt, rsp)
	run.release(tgt, statusOutcome(rsp.Status), took)
	if rsp.Status >= http.StatusInternalServerError && cl.route.Repeatable() && !cl.out.headSent {
		run.keep(&bufferedResponse{rsp: rsp, body: body, held: held})
		held = bounds.Held{}
		if res, again := run.afterFailure(ctx, ending.Cut); again {
			return res, true
		}
	}
	if cl.out.headSent {
		return notResumed(), false
	}
	if cl.out.writeBuffered(rsp, body) != nil {
		return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller disconnected"), false
	}
	return outcm.OK(), false
}

// notResumed returns the result of a stream that has begun if the endpoint that was to resume it answered with
// something else, of which nothing may follow the events that the caller has.
func notResumed() outcm.Result {
	return outcm.New(outcm.Unknown, outcm.StreamCut, "the stream could not be resumed")
}

// bodyEnded counts how the body of an answer ended, and logs it unless it is certainly complete. tail is
// the number of bytes after the last whole event of a stream.
func (run *finalRun) bodyEnded(tgt coord.Placement, rsp *relay.Response, end ending.BodyEnd, tail int) {
	fr, cl := run.fr, run.cl
	fr.set.Meter.CountAnswer(rsp.Framing, end)
	if end == ending.Whole && rsp.Framing.ProvesEnd() {
		return
	}
	fr.set.Log.Info().Str("request", cl.ask.ID).Str("endpoint", string(tgt.ID)).Stringer("framing", rsp.Framing).Stringer("end", end).
		Str("after", run.lastEvent).Int("tail_bytes", tail).Msg("body of answer ended")
}

// bodyFailed ends an attempt whose response body broke off.
func (run *finalRun) bodyFailed(ctx context.Context, tgt coord.Placement, took clock.Milli, err error, inside bool) (outcm.Result, bool) {
	return run.afterFailure(ctx, run.releaseBroken(ctx, tgt, took, err, inside))
}

// releaseBroken frees the slot of an attempt whose response body broke off, and returns its ending. inside is set if
// the endpoint had begun something, the body or an event, that it did not complete: if the deadline ends it, the
// endpoint is too slow or sends without end, and counts as failing.
func (run *finalRun) releaseBroken(ctx context.Context, tgt coord.Placement, took clock.Milli, err error, inside bool) ending.Ending {
	end := ending.Broken(ctx)
	if bounds.Exceeded(err) {
		end = ending.Cut
	}
	run.countUnbounded(tgt, err)
	outlasted := inside && run.cl.http.Context().Err() == nil && run.fr.set.Clock.Now() >= run.cl.deadline
	run.release(tgt, end.RouteOutcome(outlasted), took)
	if end == ending.Cut {
		run.fr.checkCrash(run.cl, tgt, false)
	}
	return end
}

// countUnbounded counts and logs an answer that exceeded a bound of size or time.
func (run *finalRun) countUnbounded(tgt coord.Placement, err error) {
	fr, cl := run.fr, run.cl
	if !bounds.Exceeded(err) {
		return
	}
	fr.set.Meter.CountEvent(meter.EventUnbounded)
	fr.set.Log.Warn().Err(err).Str("request", cl.ask.ID).Str("endpoint", string(tgt.ID)).Str("pool", cl.pool.Name()).Msg("answer of endpoint exceeds a bound")
}

// forwardLarge forwards a response that is too long to be buffered, of which the first part has been read. Once that is sent
// it is no longer held.
func (run *finalRun) forwardLarge(ctx context.Context, tgt coord.Placement, rsp *relay.Response, part []byte, held *bounds.Held, began clock.Milli) outcm.Result {
	fr, out := run.fr, run.cl.out
	out.writeHead(rsp, int(rsp.Length))
	var err error
	for {
		if out.write(part) != nil {
			run.bodyEnded(tgt, rsp, ending.Unread, 0)
			run.release(tgt, route.Cancelled, 0)
			return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller disconnected")
		}
		if err != nil {
			break
		}
		if cap(part) > forwardBytes {
			part = forwardPart(held)
		}
		var n int
		n, err = rsp.Body.Read(part[:cap(part)])
		part = part[:n]
	}
	took := fr.set.Clock.Since(began)
	if errors.Is(err, io.EOF) {
		run.bodyEnded(tgt, rsp, ending.Whole, 0)
		fr.judgeEnd(run.cl, tgt, rsp)
		run.release(tgt, statusOutcome(rsp.Status), took)
		return outcm.OK()
	}
	run.bodyEnded(tgt, rsp, ending.BrokenOff, 0)
	run.releaseBroken(ctx, tgt, took, err, true)
	return outcm.New(outcm.Unknown, outcm.ConnectionCut, "the response body was cut off")
}

func statusOutcome(status int) route.Outcome {
	if status >= http.StatusInternalServerError {
		return route.Failure
	}
	return route.Success
}

// forwardStream forwards the events of a stream as they arrive. A stream that broke off is resumed
// at another endpoint after the last complete event, if the route allows that; the caller keeps the
// header of the first response.
func (run *finalRun) forwardStream(ctx context.Context, tgt coord.Placement, rsp *relay.Response, began clock.Milli) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	if !cl.out.headSent {
		cl.out.writeHead(rsp, -1)
		if cl.out.ctl.Flush() != nil {
			run.release(tgt, route.Cancelled, 0)
			return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller disconnected"), false
		}
	}
	evs := relay.NewEventReader(rsp.Body)
	defer evs.TakeFrom(fr.set.AnswerBudget)()
	last := fr.set.Clock.Now()
	var err error
	for {
		var event []byte
		event, err = evs.Next()
		now := fr.set.Clock.Now()
		cl.maxPause, last = max(cl.maxPause, now-last), now
		if errors.Is(err, io.EOF) {
			return run.streamEnded(ctx, tgt, rsp, began)
		}
		if err != nil {
			break
		}
		run.bind(tgt)
		if cl.out.write(event) != nil {
			run.bodyEnded(tgt, rsp, ending.Unread, 0)
			run.release(tgt, route.Cancelled, 0)
			return outcm.New(outcm.Unknown, outcm.CallerGone, "the caller disconnected"), false
		}
		if name, ok := fr.set.Dialect.EventName(event); ok {
			run.lastEvent = name
		}
	}
	end := ending.BrokenOff
	if errors.Is(err, relay.ErrInsideEvent) {
		end = ending.InsideEvent
	}
	run.bodyEnded(tgt, rsp, end, evs.Tail())
	res, again := run.bodyFailed(ctx, tgt, fr.set.Clock.Since(began), err, evs.Tail() > 0)
	if again {
		fr.set.Meter.CountRetry(retry.Resumed)
	}
	return res, again
}

// streamEnded ends an attempt whose stream was read to its end. If that end proves nothing, but the
// caller would take the end of its response for a proof, the stream is resumed like a broken one.
func (run *finalRun) streamEnded(ctx context.Context, tgt coord.Placement, rsp *relay.Response, began clock.Milli) (outcm.Result, bool) {
	fr, cl := run.fr, run.cl
	run.bodyEnded(tgt, rsp, ending.Whole, 0)
	fr.judgeEnd(cl, tgt, rsp)
	run.release(tgt, route.Success, fr.set.Clock.Since(began))
	if rsp.Framing.ProvesEnd() || !cl.out.provesEnd() {
		return outcm.OK(), false
	}
	res, again := run.afterFailure(ctx, ending.Cut)
	if again {
		fr.set.Meter.CountRetry(retry.Resumed)
	}
	return res, again
}

// isEventStream reports whether a response consists of events; one that names no type does.
func isEventStream(hdr http.Header) bool {
	kind, _, err := mime.ParseMediaType(hdr.Get("Content-Type"))
	return err != nil || kind == "text/event-stream"
}
