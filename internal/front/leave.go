package front

import (
	"context"

	"amaranthvalve/internal/chain"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

// Leave begins a planned stop, in which requests are answered up to end. Each answer from
// now on asks the caller to close its connection, and what may last beyond end is refused.
func (fr *Front) Leave(end clock.Milli) { fr.ends.Store(int64(end)) }

// leaving tells whether a planned stop is under way, and when it ends.
func (fr *Front) leaving() (end clock.Milli, is bool) {
	end = clock.Milli(fr.ends.Load())
	return end, end > 0
}

// stay lets a request in during a planned stop only if its deadline, or its route's
// timeout, passes before the end of the stop. Callers use an address for some seconds
// after it was taken out of the answers to "which address". What answers took before bounds
// no answer: a longer one would be cut off in its middle. A refused request has not run,
// and another instance can answer it.
func (fr *Front) stay(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	end, is := fr.leaving()
	if !is {
		return nxt(ctx, cl)
	}
	taken := cl.until <= end
	now := fr.set.Clock.Now()
	fr.set.Log.Info().Str("request", cl.ask.ID).Str("route", cl.route.Name()).Int64("deadline_ms", int64(cl.until-now)).
		Int64("left_ms", int64(end-now)).Bool("taken", taken).Msg("request during a planned stop")
	if !taken {
		return outcm.Refuse(outcm.Stopping, soonest, "this instance may stop before the answer is whole; use another address")
	}
	return nxt(ctx, cl)
}
