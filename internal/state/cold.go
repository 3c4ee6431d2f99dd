package state

import (
	"fmt"
	"maps"
	"strconv"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/cold"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

const (
	// maxColdTime bounds the time for which another instance may say that an endpoint is cold.
	maxColdTime = 11 * clock.Minute
	// coldWeight ranks facts on cold endpoints before others in messages to an instance that has just
	// started, which must not send such endpoints more than they tolerate.
	coldWeight = 1 << 20
)

// coldBounds bounds the facts on cold endpoints. Their number is that of endpoints.
var coldBounds = gossip.Bounds{Retention: maxColdTime, MaxFacts: maxNotices, Weight: func(string) int { return coldWeight }}

// coldEnd is when an endpoint is warm again, and the rate that it tolerates until then.
type coldEnd struct {
	until     clock.Milli
	perSecond float64
}

// coldCtl owns the cold endpoints.
type coldCtl struct {
	ctl     *Control
	tracker cold.Tracker
	// released returns when a data centre was last released from an evacuation, false if it never
	// was; nil for none.
	released func(zone string) (at clock.Milli, ok bool)
	ends     map[ident.Process]coldEnd
	// dirty is set if something was learnt since ends was derived.
	dirty bool
}

// list records the endpoints that are listed.
func (ccl *coldCtl) list(eps []proto.Endpoint, now clock.Milli) {
	ids := make([]string, len(eps))
	for i, ep := range eps {
		ids[i] = string(ep.ID)
	}
	ccl.tracker.List(ids, now)
	ccl.dirty = true
}

// takeEntries returns the remaining cold times in entries read from the store, and removes them from
// the list: each read would otherwise be a change.
func takeEntries(eps []proto.Endpoint) map[ident.Process]cold.Entry {
	all := make(map[ident.Process]cold.Entry, len(eps))
	for i := range eps {
		all[eps[i].ID] = cold.Entry{Left: eps[i].ColdLeft, Offset: eps[i].EntryOffset}
		eps[i].ColdLeft, eps[i].EntryOffset = 0, 0
	}
	return all
}

// entries records the remaining cold times in entries read from the store.
func (ccl *coldCtl) entries(all map[ident.Process]cold.Entry, now clock.Milli) {
	for id, ent := range all {
		ccl.tracker.Entry(string(id), ent, now)
		ccl.dirty = ccl.dirty || ent.Left > 0
	}
}

// update derives which endpoints are cold, and tells other instances of ends that moved.
func (ccl *coldCtl) update(now clock.Milli) {
	if !ccl.dirty && !ccl.ctl.dirty && !ccl.ctl.stepped {
		return
	}
	ccl.dirty = false
	eps, rates := ccl.candidates()
	if len(eps) == 0 && len(ccl.ends) == 0 {
		return
	}
	found := ccl.tracker.Ends(eps, now)
	var ends map[ident.Process]coldEnd
	if len(found) > 0 {
		ends = make(map[ident.Process]coldEnd, len(found))
	}
	var fresh []gossip.Fact
	for _, ep := range eps {
		end, ok := found[ep.ID]
		if !ok {
			continue
		}
		if left, ok := cold.ToSpread(end.Until, ep.ToldUntil, now); ok {
			fresh = append(fresh, ccl.ctl.facts.spread.Refresh(gossip.Cold, ep.ID, formatLeft(left), now))
			end.Until = now + left
		}
		id := ident.Process(ep.ID)
		ends[id] = coldEnd{end.Until, rates[ep.ID]}
		if _, was := ccl.ends[id]; !was {
			ccl.ctl.set.Log.Info().Str("endpoint", ep.ID).Stringer("why", end.Reason).Int64("left_ms", int64(end.Until-now)).Float64("per_second", rates[ep.ID]).Msg("endpoint is cold")
		}
	}
	for id := range ccl.ends {
		if _, is := ends[id]; !is {
			_, listed := find(ccl.ctl.endpts.list, id)
			ccl.ctl.set.Log.Info().Str("endpoint", string(id)).Bool("listed", listed).Msg("endpoint is no longer cold")
		}
	}
	if !maps.Equal(ends, ccl.ends) {
		ccl.ends, ccl.ctl.noticesChanged = ends, true
		ccl.ctl.set.Meter.SetGauge(meter.GaugeCold, float64(len(ends)))
	}
	ccl.ctl.facts.addLocal(fresh, now)
	ccl.dirty = false
}

// candidates returns the endpoints that may be cold, and the rates that they tolerate then.
func (ccl *coldCtl) candidates() (eps []cold.Endpoint, rates map[string]float64) {
	pln := ccl.ctl.docs.plan
	if pln == nil || !pln.HasCold() {
		return nil, nil
	}
	rates = map[string]float64{}
	for _, ep := range ccl.ctl.endpts.list {
		pol, ok := pln.Pool(ep.Pool)
		if !ok {
			continue
		}
		span, perSecond, ok := pol.Cold()
		if !ok {
			continue
		}
		cep := cold.Endpoint{ID: string(ep.ID), Span: span, ToldUntil: ccl.toldUntil(string(ep.ID))}
		if ccl.released != nil {
			if at, ok := ccl.released(ep.Zone); ok {
				cep.ReleasedAt = at
			}
		}
		eps, rates[cep.ID] = append(eps, cep), perSecond
	}
	return eps, rates
}

// toldUntil returns the end of the cold time of an endpoint by the facts; zero for none.
func (ccl *coldCtl) toldUntil(id string) clock.Milli {
	value, at, ok := ccl.ctl.facts.spread.Get(gossip.Cold, id)
	if !ok {
		return 0
	}
	return at + parseLeft(value)
}

// current returns the facts on endpoints that are still cold, for an instance that starts.
func (ccl *coldCtl) current(now clock.Milli) []gossip.Fact {
	var list []gossip.Fact
	for _, fct := range ccl.ctl.facts.spread.All(gossip.Cold, now) {
		if parseLeft(fct.Value) > fct.Age {
			list = append(list, fct)
		}
	}
	return list
}

// formatLeft formats a remaining time as the value of a fact. Of two values of one version the one
// that sorts last wins, which is the longer time.
func formatLeft(left clock.Milli) string { return fmt.Sprintf("%07d", min(left, maxColdTime)) }

// parseLeft is the reverse of formatLeft; malformed values are zero.
func parseLeft(value string) clock.Milli {
	left, err := strconv.ParseInt(value, 10, 64)
	if err != nil || left < 0 {
		return 0
	}
	return min(clock.Milli(left), maxColdTime)
}

// recordCold records the remaining cold time that an answer from an address names. A time that ends
// within the known one says nothing new.
func (ctl *Control) recordCold(vw *View, addr string, ntc proto.Notice) {
	if ntc.ColdLeft <= 0 || vw.plan == nil || !vw.plan.HasCold() {
		return
	}
	until := ctl.set.Clock.Now() + ntc.ColdLeft
	for _, ep := range vw.endpoints {
		if ep.Addr != addr || !ntc.Unnamed && ep.ID.Name() != ntc.Endpoint || until <= vw.cold[ep.ID].until {
			continue
		}
		ctl.loop.Offer(func(now clock.Milli) {
			ctl.cold.tracker.Answer(string(ep.ID), until-now, now)
			ctl.cold.dirty = true
		})
	}
}

// ColdUntil returns when a cold endpoint is warm again; false if it is not cold.
func (vw *View) ColdUntil(id ident.Process) (until clock.Milli, ok bool) {
	end, ok := vw.cold[id]
	return end.until, ok
}

// IsCold reports whether a pool has cold endpoints.
func (vw *View) IsCold(pool string) bool { return vw.coldPools[pool] }

// Minority reports whether this instance may be partitioned from a majority of the others.
func (vw *View) Minority() bool { return vw.minority }

// findColdPools returns the pools with cold endpoints.
func findColdPools(endpoints []proto.Endpoint, ends map[ident.Process]coldEnd) map[string]bool {
	if len(ends) == 0 {
		return nil
	}
	pools := map[string]bool{}
	for _, ep := range endpoints {
		if _, ok := ends[ep.ID]; ok {
			pools[ep.Pool] = true
		}
	}
	return pools
}
