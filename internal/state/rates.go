package state

import (
	"strconv"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/rumor"
)

const (
	// namedMargin is how much later than a rate was named a request must be sent for an answer
	// without one to lift it: answers overtake one another, and ages are told with some
	// milliseconds too little.
	namedMargin = 200 * clock.Milli(1)
	// rateKept is how long a rate holds of which nobody hears any more, since the endpoint gets
	// nothing, and renewAfter after how long one that is named on is told again: each time costs
	// every instance some messages.
	rateKept   = clock.Hour
	renewAfter = 10 * clock.Minute
	// mostRates bounds the rates that are known, some 100 B each.
	mostRates = 16 << 10
	// lifted is the value of a rate that is named no more.
	lifted = ""
)

// ratesBounds are those of the facts on rates.
var ratesBounds = rumor.Bounds{Keep: rateKept, Most: mostRates}

// rate is what an endpoint takes from all instances together.
type rate struct {
	perSecond float64
	// told is when it was told last.
	told clock.Milli
}

// readRates makes of the facts what traffic goes by.
func readRates(facts []rumor.Fact, now clock.Milli) map[ident.Process]rate {
	rates := map[ident.Process]rate{}
	for _, fct := range facts {
		if perSecond, err := strconv.ParseFloat(fct.Value, 64); err == nil {
			rates[ident.Process(fct.Key)] = rate{perSecond: perSecond, told: now - fct.Age}
		}
	}
	return rates
}

// Rate gives how many requests a second an endpoint takes from all instances together; false if
// it doesn't say.
func (vw *View) Rate(id ident.Process) (perSecond float64, ok bool) {
	rte, ok := vw.rates[id]
	return rte.perSecond, ok
}

// Rates gives the rates of all endpoints that name one, by their names.
func (vw *View) Rates() map[string]float64 {
	all := make(map[string]float64, len(vw.rates))
	for id, rte := range vw.rates {
		all[string(id)] = rte.perSecond
	}
	return all
}

// Answered is told by traffic what an endpoint's answer said, and when the request was sent.
func (ctl *Control) Answered(addr string, rep talk.Reply, sent clock.Milli) {
	vw := ctl.View()
	if rep.Misdirected || !rep.HasRate && len(vw.rates) == 0 {
		return
	}
	// The entry of one that has ended stays for some seconds, and another one may have its
	// address by then.
	for _, ep := range vw.endpoints {
		if ep.Addr == addr {
			ctl.named(vw, ep, rep, sent)
		}
	}
}

// named tells all instances that an endpoint names a rate for the first time or another one, or
// none any more: an answer without one, to a request that was sent after it had been named.
func (ctl *Control) named(vw *View, ep talk.Endpoint, rep talk.Reply, sent clock.Milli) {
	known, ok := vw.rates[ep.ID]
	value := lifted
	switch {
	case rep.HasRate:
		value = strconv.FormatFloat(rep.Rate, 'f', -1, 64)
		if ok && known.perSecond == rep.Rate && ctl.set.Clock.Since(known.told) < renewAfter {
			return
		}
	case !ok || !rep.Signed || sent <= known.told+namedMargin:
		return
	}
	ctl.loop.Offer(func(now clock.Milli) {
		before, at, had := ctl.facts.spread.Get(rumor.NamedRate, string(ep.ID))
		if had && before == value && now-at < renewAfter || !had && value == lifted {
			return
		}
		ctl.facts.learned([]rumor.Fact{ctl.facts.spread.Renew(rumor.NamedRate, string(ep.ID), value, now)}, now)
		if !had || before != value {
			ctl.set.Log.Info().Str("endpoint", string(ep.ID)).Str("pool", ep.Pool).Str("per_second", value).Str("before", before).Msg("rate of an endpoint")
		}
	})
}
