package state

import (
	"sync"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

const (
	// maxRests bounds the number of rests that are remembered.
	maxRests = 16 << 10
	// RestRounding is how much longer than its span a rest lasts. It makes up for instants and spans that are rounded down to milliseconds.
	RestRounding = 2 * clock.Milli(1)
)

// rests has the endpoints that asked this instance for rest, with the end of that. It binds this
// instance alone: an endpoint asks each for itself. The zero value is empty. It is safe for concurrent
// use.
type rests struct {
	mtx   sync.Mutex
	until map[ident.Process]clock.Milli
}

// set records a rest. A later answer may only lengthen it.
func (rst *rests) set(id ident.Process, until, now clock.Milli) {
	rst.mtx.Lock()
	defer rst.mtx.Unlock()
	if rst.until == nil {
		rst.until = map[ident.Process]clock.Milli{}
	}
	for oth, end := range rst.until {
		if now >= end {
			delete(rst.until, oth)
		}
	}
	if _, known := rst.until[id]; known || len(rst.until) < maxRests {
		rst.until[id] = max(rst.until[id], until)
	}
}

// all returns the rests that have not ended.
func (rst *rests) all(now clock.Milli) map[ident.Process]clock.Milli {
	rst.mtx.Lock()
	defer rst.mtx.Unlock()
	var list map[ident.Process]clock.Milli
	for id, end := range rst.until {
		if now >= end {
			continue
		}
		if list == nil {
			list = map[ident.Process]clock.Milli{}
		}
		list[id] = end
	}
	return list
}

// Rests returns the endpoints that this instance must send nothing, with the time until when; nil for
// none.
func (ctl *Control) Rests() map[ident.Process]clock.Milli { return ctl.rests.all(ctl.set.Clock.Now()) }

// RestUntil returns the time until when this instance must send an endpoint nothing, zero for none.
func (ctl *Control) RestUntil(id ident.Process) clock.Milli {
	ctl.rests.mtx.Lock()
	defer ctl.rests.mtx.Unlock()
	return ctl.rests.until[id]
}

// Resting reports whether this instance must send an endpoint nothing.
func (ctl *Control) Resting(id ident.Process) bool { return ctl.RestUntil(id) > ctl.set.Clock.Now() }

// Rest records that an endpoint asked this instance for rest.
func (ctl *Control) Rest(id ident.Process, span clock.Milli) {
	now := ctl.set.Clock.Now()
	ctl.rests.set(id, now+span+RestRounding, now)
	ctl.set.Meter.CountEvent(meter.EventRest)
}

// recordRest records the rest that an answer asks for. It counts for this instance even if another one
// has relayed the request, which is told as well: the endpoint knows the relay only.
func (ctl *Control) recordRest(vw *View, addr string, ntc proto.Notice, relay ident.Incarnation) {
	if ntc.RestText == "" {
		return
	}
	known := false
	for _, ep := range vw.endpoints {
		if ep.Addr != addr || !ntc.Unnamed && ep.ID.Name() != ntc.Endpoint {
			continue
		}
		known = true
		ctl.set.Log.Info().Str("endpoint", string(ep.ID)).Str("pool", ep.Pool).Str("asked", ntc.RestText).Int64("rest_ms", int64(ntc.Rest)).Str("relay", string(relay)).Msg("endpoint asks for rest")
		if ntc.Rest == 0 {
			continue
		}
		ctl.Rest(ep.ID, ntc.Rest)
		if ctl.set.OnRest != nil {
			ctl.set.OnRest(ep.ID, ntc.Rest, relay)
		}
	}
	if !known {
		ctl.set.Meter.CountEvent(meter.EventRestOfNone)
		ctl.set.Log.Info().Str("addr", addr).Str("named", ntc.Endpoint).Str("asked", ntc.RestText).Str("relay", string(relay)).Msg("rest asked for by an endpoint that isn't known")
	}
}
