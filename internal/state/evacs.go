package state

import (
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/evac"
	"amaranthvalve/pkg/ident"
)

// Evacuations of data centres spread like documents: readers find them in the same read, followers get
// them in the updates of their reader, and probes name the position of the sender's set, so that an
// instance that is cut off from its readers notices a later one and fetches a snapshot.

// evacsCtl owns the set of evacuated data centres.
type evacsCtl struct {
	ctl *Control
	set evac.Set
	// unlisted has the evacuated data centres that were logged because no endpoint is listed there.
	unlisted map[string]bool
	// faults has the invalid records that were logged.
	faults map[string]bool
}

// applyRead applies the records of a read of the store.
func (ect *evacsCtl) applyRead(doc proto.Document, sent, now clock.Milli) {
	ect.logFaults(doc.Faults)
	ect.apply(evac.Named(evac.Position{Era: doc.Era, End: doc.End}, doc.Evacuated...), sent, now, "store")
}

// apply puts the records of a read into force if they are later than those in force. asOf is an instant at
// which they were the newest, from is who sent them.
func (ect *evacsCtl) apply(rec evac.Records, asOf, now clock.Milli, from string) {
	set, changes := ect.set.Apply(rec, settleTime, now)
	ect.put(set, changes, now-asOf, from)
}

// step ends evacuations that the store lacks since it came back from a copy.
func (ect *evacsCtl) step(now clock.Milli) {
	set, changes := ect.set.Expire(now)
	ect.put(set, changes, 0, "store")
	ect.warnUnlisted()
	ect.ctl.set.Meter.SetGauge(meter.GaugeEvacuated, float64(set.Len()))
}

// put replaces the set, and logs what changed.
func (ect *evacsCtl) put(set evac.Set, changes []evac.Change, age clock.Milli, from string) {
	ect.set = set
	if len(changes) == 0 {
		return
	}
	ect.ctl.dirty = true
	pos := set.Position()
	for _, chg := range changes {
		msg := "data centre evacuated"
		if chg.Released {
			msg = "data centre released"
			delete(ect.unlisted, chg.Zone)
		}
		ect.ctl.set.Log.Info().Str("zone", chg.Zone).Int64("era", pos.Era).Int64("end", pos.End).Int64("age_ms", int64(age)).
			Int("endpoints", ect.countIn(chg.Zone)).Str("from", from).Msg(msg)
	}
}

// warnUnlisted logs evacuated data centres without endpoints, which may be misspelt, once the endpoints are
// known.
func (ect *evacsCtl) warnUnlisted() {
	if ect.set.Len() == 0 || !ect.ctl.endpts.endpointsKnown() {
		return
	}
	for _, zon := range ect.set.Zones(0) {
		if ect.unlisted[zon.Name] || ect.countIn(zon.Name) > 0 {
			continue
		}
		if ect.unlisted == nil {
			ect.unlisted = map[string]bool{}
		}
		ect.unlisted[zon.Name] = true
		ect.ctl.set.Log.Warn().Str("zone", zon.Name).Msg("no endpoint is listed in an evacuated data centre")
	}
}

// countIn returns the number of listed endpoints in a data centre.
func (ect *evacsCtl) countIn(zone string) int {
	count := 0
	for _, ep := range ect.ctl.endpts.list {
		if ep.Zone == zone {
			count++
		}
	}
	return count
}

// logFaults counts each invalid record once, and logs the first few.
func (ect *evacsCtl) logFaults(faults []error) {
	now, fresh := map[string]bool{}, 0
	for _, fault := range faults {
		now[fault.Error()] = true
		if ect.faults[fault.Error()] {
			continue
		}
		ect.ctl.set.Meter.CountEvent(meter.EventRecordSkipped)
		if fresh++; fresh <= maxFaultLogs {
			ect.ctl.set.Log.Error().Err(fault).Msg("invalid record of the operators")
		}
	}
	ect.faults = now
}

// attached returns the mark of the set for a probe, nil while no read is known.
func (ect *evacsCtl) attached() *evac.Mark {
	mrk := ect.set.Mark()
	if mrk == (evac.Mark{}) {
		return nil
	}
	return &mrk
}

// receive takes over the position of another instance's set, and reports whether that set must be fetched.
func (ect *evacsCtl) receive(mrk *evac.Mark) (fetch bool) {
	if mrk == nil {
		return false
	}
	ect.set = ect.set.Advance(*mrk)
	return ect.set.Lacks(*mrk)
}

// withheld returns a list of endpoints in which those in evacuated data centres are withheld; nil if
// none is evacuated.
func withheld(set evac.Set, list []proto.Endpoint) []proto.Endpoint {
	if set.Len() == 0 {
		return nil
	}
	flagged := make([]proto.Endpoint, len(list))
	for i, ep := range list {
		ep.Withheld = set.Has(ep.Zone)
		flagged[i] = ep
	}
	return flagged
}

// IsEvacuated reports whether a data centre is evacuated: nothing may be sent to its endpoints.
func (vw *View) IsEvacuated(zone string) bool { return vw.evacuations.Has(zone) }

// Evacuations returns the evacuated data centres with the time since when, sorted by name.
func (vw *View) Evacuations(now clock.Milli) []evac.Zone { return vw.evacuations.Zones(now) }

// Released returns the instant at which a data centre was last released from an evacuation; false if it never
// was, as far as this instance knows.
func (vw *View) Released(zone string) (at clock.Milli, ok bool) { return vw.evacuations.Released(zone) }

// IsWithheld reports whether an endpoint is in an evacuated data centre.
func (vw *View) IsWithheld(id ident.Process) bool {
	if vw.evacuations.Len() == 0 {
		return false
	}
	ep, ok := find(vw.endpoints, id)
	return ok && vw.evacuations.Has(ep.Zone)
}

// IsWithheldAt reports whether the endpoints at an address are all in evacuated data centres; false if none is
// known there.
func (vw *View) IsWithheldAt(addr string) bool {
	if vw.evacuations.Len() == 0 || addr == "" {
		return false
	}
	found := false
	for _, ep := range vw.endpoints {
		if ep.Addr != addr || ep.Leaving {
			continue
		}
		if !vw.evacuations.Has(ep.Zone) {
			return false
		}
		found = true
	}
	return found
}

// Withheld returns the IDs of the endpoints of a pool that are in evacuated data centres.
func (vw *View) Withheld(pool string) []string {
	if vw.evacuations.Len() == 0 {
		return nil
	}
	var ids []string
	for _, ep := range vw.endpoints {
		if ep.Pool == pool && vw.evacuations.Has(ep.Zone) {
			ids = append(ids, string(ep.ID))
		}
	}
	return ids
}

// AllWithheld reports whether a pool has endpoints in evacuated data centres and no others. With a build, its
// endpoints alone count. Endpoints that are leaving don't count.
func (vw *View) AllWithheld(pool, build string) bool {
	if vw.evacuations.Len() == 0 {
		return false
	}
	found := false
	for _, ep := range vw.endpoints {
		if ep.Pool != pool || ep.Leaving || build != "" && ep.Build != build {
			continue
		}
		if !vw.evacuations.Has(ep.Zone) {
			return false
		}
		found = true
	}
	return found
}

// MaySend reports whether an endpoint may be sent something by the current view, and counts it if not: the
// last check right before sending. zone is its data centre as it was when it was chosen, since it may not be
// listed any more; empty if that is unknown.
func (ctl *Control) MaySend(id ident.Process, zone string) bool {
	if vw := ctl.View(); !vw.IsWithheld(id) && !vw.IsEvacuated(zone) {
		return true
	}
	ctl.set.Meter.CountEvent(meter.EventWithheld)
	return false
}

// MaySendTo is MaySend for the endpoints at an address.
func (ctl *Control) MaySendTo(addr, zone string) bool {
	if vw := ctl.View(); !vw.IsWithheldAt(addr) && !vw.IsEvacuated(zone) {
		return true
	}
	ctl.set.Meter.CountEvent(meter.EventWithheld)
	return false
}
