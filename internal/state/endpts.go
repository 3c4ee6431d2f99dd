package state

import (
	"context"
	"errors"
	"slices"
	"time"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

const (
	// pollInterval is the time between two reads of the endpoint entries: two seconds after an
	// endpoint announced that it is leaving, it must get no more requests.
	pollInterval = 700 * time.Millisecond
	// maxListAge is the age from which a follower reads its list from the store itself, whatever became
	// of its readers. A list that it gets from a reader is at most as old as that reader's interval and
	// the hold of a request; half a second is left for the read and for requests that are being sent.
	maxListAge = 1500 * clock.Milli(1)
	// maxListAgeSpread spreads the reads of followers that lose a reader at the same time.
	maxListAgeSpread = 200 * clock.Milli(1)
	// dueInterval is how often an instance checks whether its list must be read.
	dueInterval = 100 * clock.Milli(1)
	// lapsedGrace is how long after an outage of the store a read may miss entries that expired during
	// it: endpoints renew them within about two seconds.
	lapsedGrace = 2300 * clock.Milli(1)
	// leavingRetention is how long an endpoint is remembered as leaving that is not listed.
	leavingRetention = 30 * clock.Second
	// maxFaultLogs bounds the log lines on invalid entries for each read.
	maxFaultLogs = 8
	// maxLeavingIDs bounds the endpoint names in one message.
	maxLeavingIDs = 32
)

// never is later than any instant.
const never = clock.Milli(1 << 62)

// errStoreUnknown is returned in place of a read that would be one of too many.
var errStoreUnknown = errors.New("the store is read by other instances, if it is up")

// endptsCtl owns the endpoints.
type endptsCtl struct {
	ctl  *Control
	list []proto.Endpoint
	// listed tells where the list comes from, ignored from where the last older one came.
	listed  provenance
	ignored string
	// received identifies the list as a reader sent it, and its builds; zero if it came from elsewhere.
	received listID
	// ageSpread is this instance's part of maxListAgeSpread.
	ageSpread clock.Milli
	// kept is the number of entries that the store did not list and that were kept.
	kept int
	// leaving has the endpoints that announced their end, or are gone, with the time at which that was
	// learned.
	leaving map[ident.Process]clock.Milli
	// runs has the latest run of each endpoint that was listed recently.
	runs runs
	// reads is since when the store has answered.
	reads reads
	// missingSince is when the store came back from a copy, which may lack entries.
	missingSince clock.Milli
	// keptUntil is when a read of the store no longer misses entries that expired, zero if none are kept.
	keptUntil clock.Milli
	loaded    bool
	faults    map[string]bool
	// readSent and readAt are when the last read of the store by this instance was sent, and ended.
	readSent, readAt clock.Milli
}

// poll reads the endpoint entries. It starts once documents are known: both reads at once would
// share the bandwidth of this instance, and endpoints are of no use without documents.
func (ect *endptsCtl) poll(ctx context.Context) {
	known := func(vw *View) bool { return vw.plan != nil }
	for ctx.Err() == nil && !known(ect.ctl.waitFor(ctx, pollInterval, known)) {
		continue
	}
	for ctx.Err() == nil {
		_, src := ect.ctl.source(ect.ctl.set.Clock.Now())
		wait, ok := loop.Get(ctx, ect.ctl.loop, func(now clock.Milli) clock.Milli { return ect.untilDue(src, now) })
		if !ok {
			return
		}
		if wait > 0 {
			pause(ctx, min(wait, dueInterval).Duration())
			continue
		}
		sent := ect.ctl.set.Clock.Now()
		lst, err := ect.fetch(ctx, src)
		if !ect.ctl.loop.Do(ctx, func(now clock.Milli) { ect.applyRead(lst, err, sent, now) }) {
			return
		}
	}
}

// untilDue returns the time until the list must be read from the store. A reader reads it at an
// interval, also if it has followed another one until now; its followers do once their list is too
// old, since their readers may be dead, or cut off.
func (ect *endptsCtl) untilDue(src source, now clock.Milli) clock.Milli {
	due := ect.readAt + clock.FromDuration(pollInterval)
	if src == fromOther && ect.loaded {
		due = max(due, ect.listed.asOf+maxListAge+ect.ageSpread)
	}
	if src == fromStore && ect.keptUntil > ect.readSent {
		due = min(due, ect.keptUntil)
	}
	return due - now
}

// storeIsBack has the list read at once: it was not while the store was down.
func (ect *endptsCtl) storeIsBack() { ect.readAt = -never }

// fetch reads the entries, unless the store is down. While no reader has updates, an instance that
// has had no answer itself does not know whether the store is up.
func (ect *endptsCtl) fetch(ctx context.Context, src source) (proto.Listing, error) {
	vw := ect.ctl.View()
	switch {
	case ect.ctl.storeDown(ctx):
		return proto.Listing{}, errStoreDown
	case src == fromStoreRarely && vw.storeSilence(ect.ctl.set.Clock.Now()) > maxStoreSilence:
		return proto.Listing{}, errStoreUnknown
	}
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return ect.ctl.set.Store.Endpoints(rctx)
}

// endpointsKnown reports whether endpoints were read, or received from another instance.
func (ect *endptsCtl) endpointsKnown() bool { return ect.loaded || len(ect.list) > 0 }

// applyRead applies the answer to a read of the entries that was sent at an instant.
func (ect *endptsCtl) applyRead(lst proto.Listing, err error, sent, now clock.Milli) {
	ect.readSent, ect.readAt = sent, now
	if ect.ctl.set.Store.Era != nil {
		ect.ctl.docs.enterEra(ect.ctl.set.Store.Era(), now)
	}
	if err != nil {
		if !errors.Is(err, errStoreUnknown) {
			ect.reads.failed(now)
		}
		return
	}
	ect.ctl.docs.fromReader = endpointList{}
	ect.reads.answered(sent)
	// Requests may wait for the first list, also for an empty one.
	ect.ctl.dirty = ect.ctl.dirty || !ect.loaded
	ect.loaded = true
	ect.logFaults(lst.Faults)
	list := lst.Endpoints
	entries := takeEntries(list)
	ect.keptUntil = 0
	if until := max(ect.reads.since, ect.missingSince) + lapsedGrace; sent < until {
		if list = ect.withLapsed(list); len(list) > len(lst.Endpoints) {
			ect.keptUntil = until
		}
	}
	ect.logKept(len(list)-len(lst.Endpoints), now)
	ect.receive(list, provenance{pos: lst.Position, asOf: sent, from: listedByStore}, now)
	ect.ctl.cold.entries(entries, now)
	ect.recordBuilds(now)
}

// withLapsed adds the known endpoints that are missing from a list, except those whose address
// another endpoint has taken.
func (ect *endptsCtl) withLapsed(list []proto.Endpoint) []proto.Endpoint {
	listed := map[string]bool{}
	taken := map[string]bool{}
	for _, ep := range list {
		listed[ep.ID.Name()] = true
		if ect.isKnownPool(ep.Pool) {
			taken[ep.Addr] = true
		}
	}
	for _, ep := range ect.list {
		if !listed[ep.ID.Name()] && !taken[ep.Addr] {
			list = append(list, ep)
		}
	}
	return list
}

// isKnownPool reports whether the documents name a pool. Entries of other pools are not endpoints,
// whatever their address.
func (ect *endptsCtl) isKnownPool(pool string) bool {
	pln := ect.ctl.docs.plan
	if pln == nil {
		return true
	}
	_, ok := pln.Pool(pool)
	return ok
}

// receive applies a list that was read from the store, by this instance or another one, unless it
// is older than the list held: it would bring back endpoints that are gone.
func (ect *endptsCtl) receive(list []proto.Endpoint, listed provenance, now clock.Milli) {
	if listed.isBefore(ect.listed) {
		ect.logIgnored(listed, now)
		return
	}
	listed.asOf = max(listed.asOf, ect.listed.asOf)
	ect.listed, ect.ignored, ect.received = listed, "", listID{}
	ect.apply(list, now)
}

// receiveFrom applies a reader's list.
func (ect *endptsCtl) receiveFrom(lst endpointList, listed provenance, now clock.Milli) {
	ect.ctl.dirty = ect.ctl.dirty || !ect.loaded
	ect.loaded = true
	if ect.received == lst.id() && !listed.isBefore(ect.listed) {
		listed.asOf = max(listed.asOf, ect.listed.asOf)
		ect.listed = listed
		return
	}
	ect.receive(slices.Clone(lst.List), listed, now)
	if !listed.isBefore(ect.listed) {
		ect.received = lst.id()
	}
}

// logIgnored logs an older list, once for each source until another list is applied.
func (ect *endptsCtl) logIgnored(listed provenance, now clock.Milli) {
	ect.ctl.set.Meter.CountEvent(meter.EventListIgnored)
	if ect.ignored == listed.from {
		return
	}
	ect.ignored = listed.from
	ect.ctl.set.Log.Info().Str("from", listed.from).Int64("era", listed.pos.Era).Int64("end", listed.pos.Offset).Int64("list_age_ms", int64(now-listed.asOf)).
		Int64("end_held", ect.listed.pos.Offset).Int64("held_age_ms", int64(now-ect.listed.asOf)).Msg("older list of endpoints ignored")
}

// apply replaces the list of endpoints. An endpoint that was leaving still is: a list may be older than
// what is known, and processes don't come back.
func (ect *endptsCtl) apply(list []proto.Endpoint, now clock.Milli) {
	list = ect.runs.latest(list, ect.list, now)
	before := map[ident.Process]bool{}
	for _, ep := range ect.list {
		before[ep.ID] = ep.Leaving
	}
	for i := range list {
		if _, left := ect.leaving[list[i].ID]; left || before[list[i].ID] {
			list[i].Leaving = true
		}
	}
	slices.SortFunc(list, func(x, y proto.Endpoint) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	if slices.Equal(list, ect.list) {
		if ect.loaded && len(list) == 0 {
			// Endpoints that are listed later have started since.
			ect.ctl.cold.list(nil, now)
		}
		return
	}
	ect.ctl.cold.list(list, now)
	ect.logChanges(list, now)
	ect.list = list
	ect.ctl.dirty = true
}

// applySnapshot uses another instance's list if this one has none yet.
func (ect *endptsCtl) applySnapshot(list []proto.Endpoint, listed provenance, now clock.Milli) {
	if !ect.loaded && len(ect.list) == 0 {
		ect.receive(list, listed, now)
	}
}

// logChanges logs each endpoint that was added, removed or began to leave.
func (ect *endptsCtl) logChanges(list []proto.Endpoint, now clock.Milli) {
	before, names := map[ident.Process]proto.Endpoint{}, map[string]bool{}
	for _, ep := range ect.list {
		before[ep.ID], names[ep.ID.Name()] = ep, true
	}
	for _, ep := range list {
		old, ok := before[ep.ID]
		delete(before, ep.ID)
		if !ok || old.Leaving != ep.Leaving {
			ect.ctl.set.Log.Info().Str("endpoint", string(ep.ID)).Str("pool", ep.Pool).Str("addr", ep.Addr).Str("build", ep.Build).
				Bool("new", !ok).Bool("started_again", !ok && names[ep.ID.Name()]).Bool("leaving", ep.Leaving).
				Str("from", ect.listed.from).Int64("list_age_ms", int64(now-ect.listed.asOf)).Msg("endpoint changed")
		}
	}
	for id, ep := range before {
		ect.ctl.set.Log.Info().Str("endpoint", string(id)).Str("pool", ep.Pool).Str("addr", ep.Addr).
			Int64("store_up_ms", int64(now-ect.reads.since)).
			Str("from", ect.listed.from).Int64("list_age_ms", int64(now-ect.listed.asOf)).Msg("endpoint gone")
	}
}

// logKept logs when the number of entries changes that the store did not list and that are kept.
func (ect *endptsCtl) logKept(count int, now clock.Milli) {
	if count == ect.kept {
		return
	}
	ect.kept = count
	ect.ctl.set.Log.Info().Int("kept", count).Int64("store_up_ms", int64(now-ect.reads.since)).Bool("copy", ect.missingSince > ect.reads.since).
		Int64("list_age_ms", int64(now-ect.listed.asOf)).Msg("missing entries kept as after an outage of the store")
}

// logFaults counts each invalid entry once, and logs the first few.
func (ect *endptsCtl) logFaults(faults []error) {
	now := map[string]bool{}
	fresh := 0
	for _, fault := range faults {
		now[fault.Error()] = true
		if ect.faults[fault.Error()] {
			continue
		}
		ect.ctl.set.Meter.CountEvent(meter.EventEntrySkipped)
		if fresh++; fresh <= maxFaultLogs {
			ect.ctl.set.Log.Error().Err(fault).Msg("invalid endpoint entry skipped")
		}
	}
	if fresh > maxFaultLogs {
		ect.ctl.set.Log.Error().Int("more", fresh-maxFaultLogs).Msg("further invalid endpoint entries skipped")
	}
	ect.faults = now
}

func (ect *endptsCtl) step(now clock.Milli) {
	for id, at := range ect.leaving {
		if now-at > leavingRetention && !ect.runs.has(id) {
			delete(ect.leaving, id)
		}
	}
}

// markLeaving records that an endpoint is leaving, whatever the source, and reports it to other
// instances with the next probes: the store may lag or be down.
func (ect *endptsCtl) markLeaving(id ident.Process, why string, now clock.Milli) {
	if _, ok := ect.leaving[id]; ok {
		return
	}
	ect.leaving[id] = now
	ect.ctl.set.Log.Info().Str("endpoint", string(id)).Str("why", why).Msg("endpoint leaves")
	ect.apply(slices.Clone(ect.list), now)
}

// leavingIDs returns the endpoints that are known to be leaving.
func (ect *endptsCtl) leavingIDs() []string {
	ids := make([]string, 0, len(ect.leaving))
	for id := range ect.leaving {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxLeavingIDs)]
}
