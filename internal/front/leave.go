package front

import (
	"context"

	"amaranthvalve/internal/chain"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

// Leave makes each answer from now on ask the caller to close its connection; end is the
// instant at which the process ends.
func (fr *Front) Leave(end clock.Milli) { fr.ends.Store(int64(end)) }

// leaving tells whether a planned stop is under way, and when it ends.
func (fr *Front) leaving() (end clock.Milli, is bool) {
	end = clock.Milli(fr.ends.Load())
	return end, end > 0
}

// stay refuses during a planned stop what will probably not be answered before its end.
// Callers use an address for some seconds after it was taken out of the answers to "which
// address", and longer if they hear nothing newer. An answer that takes seconds and was
// begun then is broken off by the end of the process; refused at once, the request goes
// to another instance and is answered there.
func (fr *Front) stay(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	end, is := fr.leaving()
	if !is {
		return nxt(ctx, cl)
	}
	now := fr.set.Clock.Now()
	need := fr.wholes.careful(cl.route.Name(), cl.route.Goal(), now)
	fr.set.Log.Info().Str("request", cl.ask.ID).Str("route", cl.route.Name()).Int64("need_ms", int64(need)).Int64("left_ms", int64(end-now)).
		Int64("deadline_ms", int64(cl.until-now)).Bool("taken", now+need <= end).Msg("request during a planned stop")
	if now+need > end {
		return outcm.Refuse(outcm.Stopping, soonest, "this instance stops before an answer would be whole; use another address")
	}
	return nxt(ctx, cl)
}
