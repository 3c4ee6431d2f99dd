package state

import (
	"strconv"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

const (
	// rateMargin is how much later than a rate was declared a request must be sent for its answer,
	// if that has no rate, to clear the rate: answers overtake one another, and reported ages are
	// some milliseconds too low.
	rateMargin = 200 * clock.Milli(1)
	// rateRetention is how long a rate stays in effect without renewal, as when the endpoint gets no
	// requests. rateRenewal is the interval at which an unchanged rate is spread again; each time
	// costs every instance some messages.
	rateRetention = clock.Hour
	rateRenewal   = 10 * clock.Minute
	// maxRates bounds the number of known rates, some 100 B each.
	maxRates = 16 << 10
	// noRate is the value of a rate that is no longer declared.
	noRate = ""
)

// ratesBounds bounds the facts on rates.
var ratesBounds = gossip.Bounds{Retention: rateRetention, MaxFacts: maxRates}

// rate is the number of requests per second that an endpoint accepts from all instances together.
type rate struct {
	perSecond float64
	// renewedAt is when the rate was last spread.
	renewedAt clock.Milli
}

// readRates returns the rates that the facts describe.
func readRates(facts []gossip.Fact, now clock.Milli) map[ident.Process]rate {
	rates := map[ident.Process]rate{}
	for _, fct := range facts {
		if perSecond, err := strconv.ParseFloat(fct.Value, 64); err == nil {
			rates[ident.Process(fct.Key)] = rate{perSecond: perSecond, renewedAt: now - fct.Age}
		}
	}
	return rates
}

// Rate returns how many requests per second an endpoint accepts from all instances together; false
// if it declares no rate.
func (vw *View) Rate(id ident.Process) (perSecond float64, ok bool) {
	rte, ok := vw.rates[id]
	return rte.perSecond, ok
}

// Rates returns the declared rates by endpoint.
func (vw *View) Rates() map[string]float64 {
	all := make(map[string]float64, len(vw.rates))
	for id, rte := range vw.rates {
		all[string(id)] = rte.perSecond
	}
	return all
}

// RecordNotice records what an answer from an address says of its endpoint; sent is when the request
// was sent.
func (ctl *Control) RecordNotice(addr string, ntc proto.Notice, sent clock.Milli) {
	vw := ctl.View()
	if ntc.Endpoint == "" || !ntc.HasRate && len(vw.rates) == 0 {
		return
	}
	for _, ep := range vw.endpoints {
		if ep.Addr == addr && ep.ID.Name() == ntc.Endpoint {
			ctl.recordRate(vw, ep, ntc, sent)
		}
	}
}

// recordRate spreads a new or changed rate of an endpoint to all instances. An answer without a
// rate, to a request that was sent after the rate was declared, clears it.
func (ctl *Control) recordRate(vw *View, ep proto.Endpoint, ntc proto.Notice, sent clock.Milli) {
	known, ok := vw.rates[ep.ID]
	value := noRate
	switch {
	case ntc.HasRate:
		value = strconv.FormatFloat(ntc.Rate, 'f', -1, 64)
		if ok && known.perSecond == ntc.Rate && ctl.set.Clock.Since(known.renewedAt) < rateRenewal {
			return
		}
	case !ok || !ntc.Success || sent <= known.renewedAt+rateMargin:
		return
	}
	ctl.loop.Offer(func(now clock.Milli) {
		before, at, had := ctl.facts.spread.Get(gossip.DeclaredRate, string(ep.ID))
		if had && before == value && now-at < rateRenewal || !had && value == noRate {
			return
		}
		ctl.facts.addLocal([]gossip.Fact{ctl.facts.spread.Refresh(gossip.DeclaredRate, string(ep.ID), value, now)}, now)
		if !had || before != value {
			ctl.set.Log.Info().Str("endpoint", string(ep.ID)).Str("pool", ep.Pool).Str("per_second", value).Str("before", before).Msg("declared rate of an endpoint changed")
		}
	})
}
