package state

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/retry"
)

const (
	// watchHold is how long the store is asked to hold a read. A change ends the read at once, so
	// this only sets how often an unchanged store is asked, and how old a view becomes before it is
	// confirmed.
	watchHold = 700 * clock.Milli(1)
	// watchHoldShare is the largest part of the time for which tokens are accepted that a read is
	// held. A view can be as old as two held reads, plus the delay of a follower.
	watchHoldShare = 0.2
	// readTimeout bounds a read beyond the time for which it is held: a slow store answers within
	// some hundred milliseconds, a dead connection never does.
	readTimeout = 1500 * time.Millisecond
	// maxStoreDelay is the largest delay of a slow store that does not count as silence.
	maxStoreDelay = 500 * clock.Milli(1)
	// minRetryPause is the pause after a failed read. It doubles with each further failure up to
	// maxRetryPause, since every call costs money, failed ones too, and all instances call the store
	// while it is down. maxRetryPause bounds how late an instance notices that the store is back:
	// well within the two seconds in which a change must be in force.
	minRetryPause = 250 * clock.Milli(1)
	maxRetryPause = clock.Second
	// readerRetryPause is the pause between two patient requests to readers: one that is refused
	// returns at once.
	readerRetryPause = 100 * time.Millisecond
	// maxRetryDoublings is the number of failures after which the pause is longest.
	maxRetryDoublings = 3
	// stateTimeout bounds the request for another instance's state.
	stateTimeout = time.Second
)

// docsCtl owns the documents in force.
type docsCtl struct {
	ctl  *Control
	plan *plan.Plan
	doc  proto.Document
	eras eras
	// asOf is the latest instant at which the documents were known to be the newest.
	asOf     clock.Milli
	fetching bool
	down     bool
	backoff  backoffs
	// fromReader is the list of endpoints last received from a reader, empty after this instance
	// has read the store itself.
	fromReader endpointList
	// lastAnswer is when the store last answered, storeDelay how much longer than the requested
	// hold that took. askedSince is when this instance began to read the store itself, never while it
	// follows another one.
	lastAnswer clock.Milli
	askedSince clock.Milli
	storeDelay clock.Milli
	// ignored is the position of the older documents that were last ignored.
	ignored proto.Position
}

// watch reads the documents and then waits for newer ones, in the store itself or through another
// instance that reads it.
func (dct *docsCtl) watch(ctx context.Context) {
	from, fails, unanswered, waited := unread, 0, 0, false
	for ctx.Err() == nil {
		who, src := dct.ctl.source(dct.ctl.set.Clock.Now())
		if src == fromOther && unanswered < maxUnanswered {
			dct.setAsking(ctx, false)
			// When the store is read directly again, that begins with a full read.
			from = unread
			switch err := dct.followOnce(ctx, who, false); {
			case err == nil:
				fails, unanswered = 0, 0
			case !errors.Is(err, errReaderStale):
				unanswered++
			}
			continue
		}
		if src == fromStoreRarely && from == unread && dct.followAny(ctx) {
			continue
		}
		dct.setAsking(ctx, true)
		next, err := dct.read(ctx, from)
		unanswered = 0
		dct.recordContact(ctx, err)
		if err != nil {
			// The next read is a full one: whatever happened to the log meanwhile, it returns the
			// newest record of a key.
			from = unread
			pause(ctx, retryPause(fails))
			fails++
			continue
		}
		from, fails = next, 0
		dct.ctl.membersLoaded.wait(ctx, membersWait)
		if dct.ctl.View().plan == nil && !waited {
			// Nothing can be served yet. Once the other instances are known, most learn of the
			// first documents from the few that watch the store.
			waited = true
			dct.ctl.membersLoaded.wait(ctx, lookupIntervals[0]+lookupMargin)
		}
	}
}

// setAsking records whether this instance reads the store itself. What it has not asked for proves no
// silence of the store: others would leave a new reader for it.
func (dct *docsCtl) setAsking(ctx context.Context, asks bool) {
	dct.ctl.loop.Do(ctx, func(now clock.Milli) {
		switch {
		case !asks:
			dct.askedSince = never
		case dct.askedSince == never:
			dct.askedSince = now
		}
	})
}

// retryPause returns the pause after a number of consecutive failures.
func retryPause(fails int) time.Duration {
	return retry.Jittered(min(minRetryPause<<min(fails, maxRetryDoublings), maxRetryPause) / 2).Duration()
}

// followAny requests an update from readers and deputies in turn, when none of them is up to date.
// They answer once the store answers them again. It reports whether one of them did within
// [rareReadWait]; otherwise this instance reads the store itself.
func (dct *docsCtl) followAny(ctx context.Context) bool {
	vw := dct.ctl.View()
	all := slices.Concat(vw.sources.readers, vw.sources.deputies)
	from, until := rand.IntN(max(len(all), 1)), dct.ctl.set.Clock.Now()+rareReadWait(len(vw.members))
	for i := 0; ctx.Err() == nil && dct.ctl.set.Clock.Now() < until; i++ {
		if len(all) > 0 && dct.followOnce(ctx, all[(from+i)%len(all)], true) == nil {
			return true
		}
		pause(ctx, readerRetryPause)
	}
	return false
}

// followOnce requests one update from an instance. A patient request is held by the reader even if
// the store has not answered it lately. An instance that fails is not asked for a while.
func (dct *docsCtl) followOnce(ctx context.Context, who ident.Incarnation, patiently bool) error {
	err := dct.follow(ctx, who, patiently)
	if err == nil {
		dct.backoff.add(who, 0)
	}
	if err == nil || ctx.Err() != nil {
		return err
	}
	now := dct.ctl.set.Clock.Now()
	dct.backoff.add(who, now+readerBackoff)
	dct.ctl.set.Log.Info().Err(err).Str("reader", string(who)).Int64("view_age_ms", int64(dct.ctl.View().Age(now))).Msg("store reader failed")
	return err
}

// unread is the position to watch from before the first read.
var unread = proto.Position{Offset: -1}

// read waits for a change if from is known, and reads the newest documents. It returns the position
// from which to watch.
func (dct *docsCtl) read(ctx context.Context, from proto.Position) (proto.Position, error) {
	store, clk := dct.ctl.set.Store, dct.ctl.set.Clock
	sent := clk.Now()
	if from != unread {
		hold := dct.ctl.capped(watchHold, watchHoldShare)
		wctx, cancel := context.WithTimeout(ctx, hold.Duration()+readTimeout)
		changed, err := store.Watch(wctx, from, hold)
		cancel()
		if err != nil {
			return unread, err
		}
		if !changed {
			took := clk.Since(sent)
			dct.ctl.loop.Do(ctx, func(now clock.Milli) {
				dct.confirmByStore(sent, now)
				dct.storeDelay = min(max(took-hold, 0), maxStoreDelay)
			})
			return from, nil
		}
	}
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent = clk.Now()
	doc, err := store.Document(rctx)
	if err != nil {
		return unread, err
	}
	dct.ctl.loop.Do(ctx, func(now clock.Milli) {
		// Set together with the documents: a view that has them must also show that the store
		// answered.
		dct.lastAnswer = now
		dct.applyRead(doc, sent, now)
	})
	return proto.Position{Era: doc.Era, Offset: doc.End}, nil
}

// capped returns a span, or the given part of the time for which tokens are accepted if that is
// shorter.
func (ctl *Control) capped(span clock.Milli, part float64) clock.Milli {
	if ctl.set.TokenMaxViewAge == 0 {
		return span
	}
	return min(span, clock.Milli(part*float64(ctl.set.TokenMaxViewAge)))
}

// errStoreDown is returned in place of a call when the last read of the documents failed.
var errStoreDown = errors.New("the store did not answer the last read of the documents")

// storeDown reports whether the last read of the documents failed. These reads never stop, so other
// calls need not find out by themselves.
func (ctl *Control) storeDown(ctx context.Context) bool {
	down, ok := loop.Get(ctx, ctl.loop, func(clock.Milli) bool { return ctl.docs.down })
	return down || !ok
}

// recordContact records whether the store answered a read of the documents.
func (dct *docsCtl) recordContact(ctx context.Context, err error) {
	defer dct.ctl.storeContacted.fire()
	dct.ctl.loop.Do(ctx, func(now clock.Milli) { dct.contacted(err, now) })
}

// contacted records whether the store answered, and logs when that changes.
func (dct *docsCtl) contacted(err error, now clock.Milli) {
	if err == nil {
		dct.lastAnswer = now
	}
	if dct.down == (err != nil) {
		return
	}
	dct.down = err != nil
	evt := dct.ctl.set.Log.Info()
	if dct.down {
		evt = dct.ctl.set.Log.Warn().Err(err)
	} else {
		dct.ctl.endpts.storeIsBack()
	}
	evt.Str("dependency", "store").Bool("lost", dct.down).Int64("view_age_ms", int64(now-dct.asOf)).Msg("dependency changed")
}

// confirm records that the documents were still the newest when a read was sent.
func (dct *docsCtl) confirm(sent clock.Milli) { dct.asOf = max(dct.asOf, sent) }

// version returns the version of the documents in force, noVersion for none.
func (dct *docsCtl) version() int64 { return versionOf(dct.plan) }

// noVersion is the version where there are no documents.
const noVersion = -1

func versionOf(pln *plan.Plan) int64 {
	if pln == nil {
		return noVersion
	}
	return pln.Version()
}

// applyRead puts the store's documents into force if they are newer. They confirm those in force unless the
// store may lack newer ones, see [eras].
func (dct *docsCtl) applyRead(doc proto.Document, sent, now clock.Milli) {
	dct.ctl.evacs.applyRead(doc, sent, now)
	late := dct.eras.isOver(doc.Era) || doc.Before(dct.doc.Position)
	if !dct.eras.isOver(doc.Era) {
		dct.enterEra(doc.Era, now)
	}
	res := dct.put(doc, sent, now, "store")
	if late || res == invalid {
		return
	}
	if res == inForce {
		dct.eras.reached(dct.version())
	}
	dct.confirmByStore(sent, now)
}

// applyPeer puts the documents of another instance into force if they are newer.
func (dct *docsCtl) applyPeer(doc proto.Document, asOf, now clock.Milli, from string) {
	if dct.put(doc, asOf, now, from) == inForce {
		dct.confirmByPeer(asOf)
	}
}

// enterEra records the store's era, from an answer of the store or of a reader.
func (dct *docsCtl) enterEra(era int64, now clock.Milli) {
	floor := int64(unknownFloor)
	if dct.plan != nil && now-dct.asOf <= staleAfter {
		floor = dct.version()
	}
	known := dct.eras.known
	if !dct.eras.enter(era, floor, now) {
		return
	}
	dct.ctl.endpts.missingSince = now
	if !known {
		return
	}
	dct.ctl.set.Meter.CountEvent(meter.EventStoreRestored)
	dct.ctl.set.Log.Warn().Int64("era", era).Int64("version", dct.version()).Int64("view_age_ms", int64(now-dct.asOf)).Msg("the store came back from a copy")
	select {
	case dct.ctl.restored <- struct{}{}:
	default:
	}
}

// confirmByStore records that the store had no newer documents when a read was sent.
func (dct *docsCtl) confirmByStore(sent, now clock.Milli) {
	if dct.eras.settled(now) {
		dct.confirm(sent)
	}
}

// confirmByPeer records that the documents in force were the newest at an instant, as another instance
// knows.
func (dct *docsCtl) confirmByPeer(asOf clock.Milli) {
	dct.eras.confirmed(dct.version(), asOf)
	dct.confirm(asOf)
}

// putResult is what became of documents that were put into force.
type putResult int

const (
	// inForce: they are in force.
	inForce putResult = iota
	// older: they are older than those in force, or none.
	older
	// invalid: they can't be compiled.
	invalid
)

// put puts documents into force that are newer than those in force: of a higher version, or of the same one
// at a later position of the same era. Older ones come from a late answer, or from a store that came back
// from a copy: callers must not see documents go back.
func (dct *docsCtl) put(doc proto.Document, sent, now clock.Milli, from string) putResult {
	switch {
	case doc.Offset < 0:
		return older
	case dct.plan != nil && bytes.Equal(doc.Text, dct.doc.Text):
		if doc.Era > dct.doc.Era || dct.doc.Before(doc.Position) {
			// They have been written again.
			dct.doc.Position = doc.Position
		}
		return inForce
	case doc.Position == dct.ignored:
		return older
	}
	pln, faults := dct.ctl.set.Dialect.Compile(doc.Text)
	for _, fault := range faults {
		dct.ctl.set.Log.Error().Err(fault).Int64("offset", doc.Offset).Msg("invalid part of the documents ignored")
	}
	if pln == nil {
		return invalid
	}
	if dct.plan != nil && (pln.Version() < dct.version() || pln.Version() == dct.version() && !dct.doc.Before(doc.Position)) {
		dct.logIgnored(doc, pln.Version(), from)
		return older
	}
	dct.ctl.set.Log.Info().Int64("version", pln.Version()).Int64("era", doc.Era).Int64("offset", doc.Offset).Int64("offset_before", dct.doc.Offset).
		Int64("age_ms", int64(now-sent)).Str("from", from).Int("routes", len(pln.Routes())).Int("faults", len(faults)).
		Msg("documents in force")
	dct.plan, dct.doc = pln, doc
	dct.ctl.dirty = true
	return inForce
}

// logIgnored logs documents that are not put into force, once.
func (dct *docsCtl) logIgnored(doc proto.Document, version int64, from string) {
	dct.ignored = doc.Position
	dct.ctl.set.Log.Warn().Int64("version", version).Int64("version_in_force", dct.version()).Int64("era", doc.Era).Int64("offset", doc.Offset).
		Int64("offset_in_force", dct.doc.Offset).Str("from", from).Msg("older documents ignored")
}
