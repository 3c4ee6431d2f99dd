package front

import (
	"context"

	"amaranthvalve/internal/chain"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

// BeginShutdown begins a planned shutdown, in which requests are answered until end. From now on
// each response asks the caller to close its connection, and requests that may last beyond end are
// refused.
func (fr *Front) BeginShutdown(end clock.Milli) { fr.stopEnd.Store(int64(end)) }

// stopping reports whether a planned shutdown is in progress, and when it ends.
func (fr *Front) stopping() (end clock.Milli, is bool) {
	end = clock.Milli(fr.stopEnd.Load())
	return end, end > 0
}

// drain admits a request during a planned shutdown only if its deadline, or its route's timeout,
// passes before the shutdown ends. Requests still arrive then, because callers use an address for
// some seconds after it was removed from the list of entry addresses. The usual response times of
// the route are not relied on: a response that takes longer would be cut off midway. A refused
// request has not run, and another instance can answer it.
func (fr *Front) drain(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	end, is := fr.stopping()
	if !is {
		return nxt(ctx, cl)
	}
	taken := cl.deadline+answerGrace <= end
	now := fr.set.Clock.Now()
	fr.set.Log.Info().Str("request", cl.ask.ID).Str("route", cl.route.Name()).Int64("deadline_ms", int64(cl.deadline-now)).
		Int64("left_ms", int64(end-now)).Bool("taken", taken).Msg("request during planned shutdown")
	if !taken {
		return outcm.Refuse(outcm.Stopping, minRetryAfter, "this instance may stop before the response is complete; use another address")
	}
	return nxt(ctx, cl)
}
