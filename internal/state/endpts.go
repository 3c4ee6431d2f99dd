package state

import (
	"context"
	"slices"
	"time"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

const (
	// pollEvery is the time between two looks at the endpoints' entries. A
	// leaving endpoint must get no work some two seconds after it said so.
	pollEvery = 700 * time.Millisecond
	// toldFor is how long after a reader's last word the store is left to it.
	toldFor = 2500 * clock.Milli(1)
	// backAfter is how long after an outage of the store entries that lapsed
	// in it are waited for: their writers are back within two seconds, and our
	// own look may be one poll late.
	backAfter = 2800 * clock.Milli(1)
	// leftFor is how long a leaving endpoint is passed on to others.
	leftFor = 30 * clock.Second
	// maxFaults bounds the lines on entries that can't be used, for each look at them.
	maxFaults = 8
	// maxLeft bounds the names in one message.
	maxLeft = 32
)

// never is an instant after all others.
const never = clock.Milli(1 << 62)

// endptsCtl keeps the endpoints.
type endptsCtl struct {
	ctl  *Control
	list []talk.Endpoint
	left map[ident.Process]clock.Milli
	// runs has the latest run of each endpoint that was listed lately.
	runs runs
	// upSince is since when the store has answered without a failure between.
	upSince clock.Milli
	// upElse is since when it has answered another instance, as far as was told.
	upElse clock.Milli
	down   bool
	seen   bool
	faults map[string]bool
	// followed is when a reader of the store last told us.
	followed clock.Milli
}

// poll reads the endpoints' entries. The first look comes when documents are known: both
// at once would share the way to this instance, and without documents no endpoint is used.
func (ect *endptsCtl) poll(ctx context.Context) {
	known := func(vw *View) bool { return vw.plan != nil }
	for ctx.Err() == nil && !known(ect.ctl.waitFor(ctx, pollEvery, known)) {
		continue
	}
	for ctx.Err() == nil {
		if ect.told(ctx) {
			pause(ctx, pollEvery)
			continue
		}
		list, faults, err := ect.ask(ctx)
		if !ect.ctl.loop.Do(ctx, func(now clock.Milli) { ect.read(list, faults, err, now) }) {
			return
		}
		pause(ctx, pollEvery)
	}
}

// ask reads the entries, unless the store is down. An instance whose readers have no news
// doesn't know whether it is before it has been answered itself.
func (ect *endptsCtl) ask(ctx context.Context) ([]talk.Endpoint, []error, error) {
	if ect.ctl.storeDown(ctx) || ect.ctl.View().silence(ect.ctl.set.Clock.Now()) > newsOld {
		return nil, nil, errStoreDown
	}
	rctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	return ect.ctl.set.Store.Endpoints(rctx)
}

// listed tells whether the endpoints were read, or told by another instance.
func (ect *endptsCtl) listed() bool { return ect.seen || len(ect.list) > 0 }

// up gives for how long the store has answered without a failure, zero if it doesn't.
func (ect *endptsCtl) up(now clock.Milli) clock.Milli {
	if ect.down || !ect.seen {
		return 0
	}
	return now - ect.upSince
}

// heardUpFor notes for how long the store has answered another instance. An outage
// that it knows nothing of was our own: what is missing after it is gone, and would
// get work for seconds more if it were waited for.
func (ect *endptsCtl) heardUpFor(span, now clock.Milli) {
	if span > 0 {
		ect.upElse = now - span
	}
}

// told tells whether a reader of the store has told us lately. That we didn't read
// meanwhile is no outage: what a reader's list lacks is gone, and must not come back
// for a while with the first list that we read ourselves.
func (ect *endptsCtl) told(ctx context.Context) bool {
	told, _ := loop.Get(ctx, ect.ctl.loop, ect.toldAt)
	return told
}

func (ect *endptsCtl) toldAt(now clock.Milli) bool {
	told := now-ect.followed < toldFor
	if told {
		ect.seen, ect.down = true, false
	}
	return told
}

func (ect *endptsCtl) read(list []talk.Endpoint, faults []error, err error, now clock.Milli) {
	ect.ctl.docs.told = listed{}
	if err != nil {
		if !ect.down {
			// What others said before speaks of no outage that begins now.
			ect.upElse = never
		}
		ect.down = true
		return
	}
	if ect.down || !ect.seen {
		ect.upSince = now
	}
	// Requests may wait for the first list, also for an empty one.
	ect.ctl.dirty = ect.ctl.dirty || !ect.seen
	ect.down, ect.seen = false, true
	ect.tellFaults(faults)
	if now-min(ect.upSince, ect.upElse) < backAfter {
		list = ect.withLapsed(list)
	}
	ect.take(list, now)
}

// withLapsed adds what was known before and is missing from a list.
func (ect *endptsCtl) withLapsed(list []talk.Endpoint) []talk.Endpoint {
	listed := map[string]bool{}
	taken := map[string]bool{}
	for _, ep := range list {
		listed[ep.ID.Name()] = true
		if ect.known(ep.Pool) {
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

// known tells whether a pool is one that the documents name. An entry of any other is not an
// endpoint's, whatever address it has.
func (ect *endptsCtl) known(pool string) bool {
	pln := ect.ctl.docs.plan
	if pln == nil {
		return true
	}
	_, ok := pln.Pool(pool)
	return ok
}

// take makes a list the endpoints that are known.
func (ect *endptsCtl) take(list []talk.Endpoint, now clock.Milli) {
	list = ect.runs.latest(list, ect.list, now)
	for i := range list {
		if _, left := ect.left[list[i].ID]; left {
			list[i].Leaving = true
		}
	}
	slices.SortFunc(list, func(x, y talk.Endpoint) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	if slices.Equal(list, ect.list) {
		return
	}
	ect.tell(list, now)
	ect.list = list
	ect.ctl.dirty = true
}

// takeShared takes another instance's list if this one has none yet.
func (ect *endptsCtl) takeShared(list []talk.Endpoint) {
	if !ect.seen && len(ect.list) == 0 {
		ect.take(list, ect.ctl.set.Clock.Now())
	}
}

// tell writes down each endpoint that came, left or began to leave.
func (ect *endptsCtl) tell(list []talk.Endpoint, now clock.Milli) {
	before, names := map[ident.Process]talk.Endpoint{}, map[string]bool{}
	for _, ep := range ect.list {
		before[ep.ID], names[ep.ID.Name()] = ep, true
	}
	for _, ep := range list {
		old, ok := before[ep.ID]
		delete(before, ep.ID)
		if !ok || old.Leaving != ep.Leaving {
			ect.ctl.set.Log.Info().Str("endpoint", string(ep.ID)).Str("pool", ep.Pool).Str("addr", ep.Addr).
				Bool("new", !ok).Bool("started_again", !ok && names[ep.ID.Name()]).Bool("leaving", ep.Leaving).Msg("endpoint changed")
		}
	}
	for id, ep := range before {
		ect.ctl.set.Log.Info().Str("endpoint", string(id)).Str("pool", ep.Pool).Str("addr", ep.Addr).
			Int64("store_up_ms", int64(now-ect.upSince)).Msg("endpoint gone")
	}
}

// tellFaults counts each entry that can't be used once, and writes down the first of them.
func (ect *endptsCtl) tellFaults(faults []error) {
	now := map[string]bool{}
	told := 0
	for _, fault := range faults {
		now[fault.Error()] = true
		if ect.faults[fault.Error()] {
			continue
		}
		ect.ctl.set.Meter.Event(meter.EventEntrySkipped)
		if told++; told <= maxFaults {
			ect.ctl.set.Log.Error().Err(fault).Msg("an entry that is no endpoint's is left out")
		}
	}
	if told > maxFaults {
		ect.ctl.set.Log.Error().Int("more", told-maxFaults).Msg("further entries that are no endpoint's are left out")
	}
	ect.faults = now
}

func (ect *endptsCtl) step(now clock.Milli) {
	for id, at := range ect.left {
		if now-at > leftFor {
			delete(ect.left, id)
		}
	}
}

// heardLeaving notes an endpoint that is leaving, whoever said so first, and
// passes it on with the next probes: the store may lag or be down.
func (ect *endptsCtl) heardLeaving(id ident.Process, why string, now clock.Milli) {
	if _, ok := ect.left[id]; ok {
		return
	}
	ect.left[id] = now
	ect.ctl.set.Log.Info().Str("endpoint", string(id)).Str("why", why).Msg("endpoint leaves")
	ect.take(slices.Clone(ect.list), now)
}

// lately lists the endpoints that were heard to be leaving.
func (ect *endptsCtl) lately() []string {
	ids := make([]string, 0, len(ect.left))
	for id := range ect.left {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxLeft)]
}
