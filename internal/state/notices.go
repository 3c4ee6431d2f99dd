package state

import (
	"strconv"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

const (
	// noticeMargin is how much later than a value was declared a request must be sent for its answer,
	// if that has no value, to clear it: answers overtake one another, and reported ages are some
	// milliseconds too low.
	noticeMargin = 200 * clock.Milli(1)
	// noticeRetention is how long a value stays in effect without renewal, as when the endpoint gets
	// no requests. noticeRenewal is the interval at which an unchanged value is spread again; each
	// time costs every instance some messages.
	noticeRetention = clock.Hour
	noticeRenewal   = 10 * clock.Minute
	// maxNotices bounds the number of known values of a kind, some 100 B each.
	maxNotices = 16 << 10
	// notDeclared is the value of a fact that is no longer declared.
	notDeclared = ""
)

// noticeBounds bounds the facts on values that endpoints declare.
var noticeBounds = gossip.Bounds{Retention: noticeRetention, MaxFacts: maxNotices}

// declaredKinds are the kinds of values that endpoints declare in their answers.
var declaredKinds = []gossip.Kind{gossip.DeclaredRate, gossip.DeclaredBrittle}

// declared is a value that an endpoint declares.
type declared struct {
	value float64
	// renewedAt is when the value was last spread.
	renewedAt clock.Milli
}

// declaredBy has the declared values of one kind by endpoint.
type declaredBy map[ident.Process]declared

// readDeclared returns the values that the facts of a kind describe.
func readDeclared(facts []gossip.Fact, now clock.Milli) declaredBy {
	values := declaredBy{}
	for _, fct := range facts {
		if val, err := strconv.ParseFloat(fct.Value, 64); err == nil {
			values[ident.Process(fct.Key)] = declared{value: val, renewedAt: now - fct.Age}
		}
	}
	return values
}

// Rate returns how many requests per second an endpoint accepts from all instances together: the
// lower one of the rate that it declares and of that which it tolerates while it is cold; false if it
// declares none and is warm.
func (vw *View) Rate(id ident.Process) (perSecond float64, ok bool) {
	rte, declares := vw.declared[gossip.DeclaredRate][id]
	end, isCold := vw.cold[id]
	if isCold && (!declares || end.perSecond < rte.value) {
		return end.perSecond, true
	}
	return rte.value, declares
}

// Rates returns the rates of [View.Rate] by endpoint.
func (vw *View) Rates() map[string]float64 {
	all := make(map[string]float64, len(vw.declared[gossip.DeclaredRate])+len(vw.cold))
	for id, rte := range vw.declared[gossip.DeclaredRate] {
		all[string(id)] = rte.value
	}
	for id := range vw.cold {
		all[string(id)], _ = vw.Rate(id)
	}
	return all
}

// BrittlePools returns the pools with endpoints that fall over when they reject many requests. If one
// of a pool says so, the others are about to.
func (vw *View) BrittlePools() map[string]bool { return vw.brittlePools }

// findBrittlePools returns the pools with brittle endpoints.
func findBrittlePools(endpoints []proto.Endpoint, brittle declaredBy) map[string]bool {
	if len(brittle) == 0 {
		return nil
	}
	pools := map[string]bool{}
	for _, ep := range endpoints {
		if _, ok := brittle[ep.ID]; ok {
			pools[ep.Pool] = true
		}
	}
	return pools
}

// RecordNotice records what an answer from an address says of its endpoint. sent is when the request was
// sent, relay the instance that relayed it, empty for none.
func (ctl *Control) RecordNotice(addr string, ntc proto.Notice, sent clock.Milli, relay ident.Incarnation) {
	vw := ctl.View()
	ctl.recordRest(vw, addr, ntc, relay)
	ctl.recordCold(vw, addr, ntc)
	if ntc.Endpoint == "" {
		return
	}
	ctl.recordLeaving(vw, addr, ntc)
	values := map[gossip.Kind]proto.Declared{gossip.DeclaredRate: ntc.Rate, gossip.DeclaredBrittle: ntc.Brittle}
	for _, kind := range declaredKinds {
		if !values[kind].Is && len(vw.declared[kind]) == 0 {
			continue
		}
		for _, ep := range vw.endpoints {
			if ep.Addr == addr && ep.ID.Name() == ntc.Endpoint {
				ctl.recordDeclared(kind, vw, ep, values[kind], ntc.Success, sent)
			}
		}
	}
}

// recordLeaving records that an endpoint announces its end.
func (ctl *Control) recordLeaving(vw *View, addr string, ntc proto.Notice) {
	if !ntc.Leaving {
		return
	}
	for _, ep := range vw.endpoints {
		if ep.Addr == addr && ep.ID.Name() == ntc.Endpoint && !ep.Leaving {
			ctl.EndpointLeaving(ep.ID, "announced in an answer")
		}
	}
}

// recordDeclared spreads a new or changed value of an endpoint to all instances. A success without a
// value, to a request that was sent after the value was declared, clears it.
func (ctl *Control) recordDeclared(kind gossip.Kind, vw *View, ep proto.Endpoint, val proto.Declared, success bool, sent clock.Milli) {
	known, ok := vw.declared[kind][ep.ID]
	value := notDeclared
	switch {
	case val.Is:
		value = strconv.FormatFloat(val.Value, 'f', -1, 64)
		if ok && known.value == val.Value && ctl.set.Clock.Since(known.renewedAt) < noticeRenewal {
			return
		}
	case !ok || !success || sent <= known.renewedAt+noticeMargin:
		return
	}
	ctl.loop.Offer(func(now clock.Milli) {
		before, at, had := ctl.facts.spread.Get(kind, string(ep.ID))
		if had && before == value && now-at < noticeRenewal || !had && value == notDeclared {
			return
		}
		ctl.facts.addLocal([]gossip.Fact{ctl.facts.spread.Refresh(kind, string(ep.ID), value, now)}, now)
		if !had || before != value {
			ctl.set.Log.Info().Stringer("kind", kind).Str("endpoint", string(ep.ID)).Str("pool", ep.Pool).Str("value", value).Str("before", before).Msg("value declared by an endpoint changed")
		}
	})
}
