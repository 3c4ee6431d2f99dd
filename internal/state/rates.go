package state

import (
	"maps"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// namedMargin is how much later than a rate was named a request must be sent for an answer
// without one to lift it: answers overtake one another, and ages are told with some milliseconds
// too little.
const namedMargin = 200 * clock.Milli(1)

// rate is what an endpoint takes from all instances together.
type rate struct {
	perSecond float64
	// named is when it was named last.
	named clock.Milli
}

// Rate gives how many requests a second an endpoint takes from all instances together; false if
// it doesn't say.
func (vw *View) Rate(id ident.Process) (perSecond float64, ok bool) {
	rte, ok := vw.rates[id]
	return rte.perSecond, ok
}

// Answered is told by traffic what an endpoint's answer said, and when the request was sent.
func (ctl *Control) Answered(addr string, rep talk.Reply, sent clock.Milli) {
	vw := ctl.View()
	if rep.Misdirected || !rep.HasRate && len(vw.rates) == 0 {
		return
	}
	for _, ep := range vw.endpoints {
		if ep.Addr == addr {
			ctl.named(ep, rep, sent)
			return
		}
	}
}

func (ctl *Control) named(ep talk.Endpoint, rep talk.Reply, sent clock.Milli) {
	known, ok := ctl.View().rates[ep.ID]
	switch {
	case rep.HasRate && (!ok || known.perSecond != rep.Rate):
	case !rep.HasRate && rep.Signed && ok && sent > known.named+namedMargin:
	default:
		return
	}
	ctl.loop.Offer(func(now clock.Milli) {
		rates := maps.Clone(ctl.rates)
		if rates == nil {
			rates = map[ident.Process]rate{}
		}
		delete(rates, ep.ID)
		if rep.HasRate {
			rates[ep.ID] = rate{perSecond: rep.Rate, named: now}
		}
		ctl.rates = rates
		ctl.set.Log.Info().Str("endpoint", string(ep.ID)).Str("pool", ep.Pool).Bool("named", rep.HasRate).Float64("per_second", rep.Rate).
			Float64("before", known.perSecond).Msg("rate of an endpoint")
	})
}
