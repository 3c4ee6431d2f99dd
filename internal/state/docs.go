package state

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
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
	ctl    *Control
	plan   *plan.Plan
	doc    proto.Document
	offset int64
	eras   eras
	// asOf is the latest instant at which the documents were known to be the newest.
	asOf     clock.Milli
	fetching bool
	down     bool
	backoff  backoffs
	// fromReader is the list of endpoints last received from a reader, empty after this instance
	// has read the store itself.
	fromReader endpointList
	// lastAnswer is when the store last answered, storeDelay how much longer than the requested
	// hold that took.
	lastAnswer clock.Milli
	storeDelay clock.Milli
	// ignored are the documents that were last ignored.
	ignored proto.Document
}

// watch reads the documents and then waits for newer ones, in the store itself or through another
// instance that reads it.
func (dct *docsCtl) watch(ctx context.Context) {
	from, fails, unanswered, waited := unread, 0, 0, false
	for ctx.Err() == nil {
		who, src := dct.ctl.source(dct.ctl.set.Clock.Now())
		if src == fromOther && unanswered < maxUnanswered {
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
	dct.ctl.loop.Do(ctx, func(clock.Milli) { dct.ctl.endpts.followedAt = 0 })
	dct.ctl.set.Log.Info().Err(err).Str("reader", string(who)).Int64("view_age_ms", int64(dct.ctl.View().Age(now))).Msg("store reader failed")
	return err
}

// place is a place in the store's log.
type place struct{ era, offset int64 }

// unread is the place to watch from before the first read.
var unread = place{offset: -1}

// read waits for a change if from is known, and reads the newest documents. It returns the place
// from which to watch.
func (dct *docsCtl) read(ctx context.Context, from place) (place, error) {
	store, clk := dct.ctl.set.Store, dct.ctl.set.Clock
	sent := clk.Now()
	if from != unread {
		hold := dct.ctl.capped(watchHold, watchHoldShare)
		wctx, cancel := context.WithTimeout(ctx, hold.Duration()+readTimeout)
		changed, err := store.Watch(wctx, from.era, from.offset, hold)
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
	return place{doc.Era, doc.End}, nil
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

// recordContact records whether the store answered, and logs when that changes.
func (dct *docsCtl) recordContact(ctx context.Context, err error) {
	defer dct.ctl.storeContacted.fire()
	dct.ctl.loop.Do(ctx, func(now clock.Milli) {
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
		}
		evt.Str("dependency", "store").Bool("lost", dct.down).Int64("view_age_ms", int64(now-dct.asOf)).Msg("dependency changed")
	})
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
	if dct.eras.isOver(doc.Era) {
		// A late answer, from before the store came back.
		dct.put(doc, sent, now, fromStoreText)
		return
	}
	dct.enterEra(doc.Era, now)
	late := doc.Era == dct.doc.Era && doc.Offset < dct.offset
	if version, ok := dct.put(doc, sent, now, fromStoreText); ok && !late {
		dct.eras.reached(version)
		dct.confirmByStore(sent, now)
	}
}

// enterEra records the era of an answer of the store.
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

// confirmByPeer records that documents of this version were the newest at an instant, as another instance
// knows.
func (dct *docsCtl) confirmByPeer(version int64, asOf clock.Milli) {
	if version != dct.version() {
		return
	}
	dct.eras.confirmed(version, asOf)
	dct.confirm(asOf)
}

// fromStoreText names the store as the source of documents in log lines.
const fromStoreText = "store"

// put puts documents into force that are newer than those in force: of a higher version, or of the same one
// further on in the same era. Older ones come from a late answer, or from a store that came back from a
// copy: callers must not see documents go back. It returns the version, false if the documents are invalid.
func (dct *docsCtl) put(doc proto.Document, sent, now clock.Milli, from string) (int64, bool) {
	switch {
	case doc.Offset < 0:
		return 0, true
	case dct.plan != nil && bytes.Equal(doc.Text, dct.doc.Text):
		if doc.Era > dct.doc.Era || doc.Era == dct.doc.Era && doc.Offset > dct.offset {
			// They have been written again.
			dct.doc.Era, dct.doc.Offset, dct.offset = doc.Era, doc.Offset, doc.Offset
		}
		return dct.version(), true
	case doc.Offset == dct.ignored.Offset && doc.Era == dct.ignored.Era && dct.ignored.Text != nil:
		return 0, true
	}
	pln, faults := dct.ctl.set.Dialect.Compile(doc.Text)
	for _, fault := range faults {
		dct.ctl.set.Log.Error().Err(fault).Int64("offset", doc.Offset).Msg("invalid part of the documents ignored")
	}
	if pln == nil {
		return 0, false
	}
	further := doc.Era == dct.doc.Era && doc.Offset > dct.offset
	if dct.plan != nil && (pln.Version() < dct.version() || pln.Version() == dct.version() && !further) {
		dct.logIgnored(doc, pln.Version(), from)
		return pln.Version(), true
	}
	dct.ctl.set.Log.Info().Int64("version", pln.Version()).Int64("era", doc.Era).Int64("offset", doc.Offset).Int64("offset_before", dct.offset).
		Int64("age_ms", int64(now-sent)).Str("from", from).Int("routes", len(pln.Routes())).Int("faults", len(faults)).
		Msg("documents in force")
	dct.plan, dct.doc, dct.offset = pln, doc, doc.Offset
	dct.ctl.dirty = true
	return pln.Version(), true
}

// logIgnored logs documents that are not put into force, once.
func (dct *docsCtl) logIgnored(doc proto.Document, version int64, from string) {
	dct.ignored = doc
	dct.ctl.set.Log.Warn().Int64("version", version).Int64("version_in_force", dct.version()).Int64("era", doc.Era).Int64("offset", doc.Offset).
		Int64("offset_in_force", dct.offset).Str("from", from).Msg("older documents ignored")
}

// attachState adds the state of this instance to an outgoing message: leaving endpoints, uptime of
// the store, digest of the facts, and offset and age of the documents.
func (ctl *Control) attachState(msg *peer.Message) {
	msg.Leaving = ctl.endpts.leavingIDs()
	msg.StoreUptime = ctl.endpts.uptime(ctl.set.Clock.Now())
	msg.Digest = ctl.facts.spread.Digest()
	if ctl.docs.plan != nil {
		msg.Known, msg.Applied, msg.Version, msg.Age = true, ctl.docs.offset, ctl.docs.version(), ctl.set.Clock.Since(ctl.docs.asOf)
	}
}

// receive applies what a message carries: leaving endpoints, facts, and documents that are as new
// as ours or newer. Ages are used only from answers, since only their time in transit is bounded.
func (ctl *Control) receive(msg peer.Message, sent, now clock.Milli) {
	for _, id := range msg.Leaving {
		ctl.endpts.markLeaving(ident.Process(id), "reported by another instance", now)
	}
	ctl.facts.receive(msg, sent > 0, now)
	if sent > 0 {
		ctl.endpts.recordOtherUptime(msg.StoreUptime, sent)
	}
	switch {
	case !msg.Known:
	case ctl.docs.isOlder(msg.Version, msg.Applied):
		ctl.docs.fetchSnapshot(msg.From)
	case sent > 0 && ctl.docs.isSame(msg.Version, msg.Applied):
		ctl.docs.confirmByPeer(ctl.docs.version(), sent-msg.Age)
	}
}

// isOlder reports whether the documents in force are older than those of another instance, isSame whether they
// are the same. Instances of earlier builds name no version, only the offset.
func (dct *docsCtl) isOlder(version, offset int64) bool {
	if version == 0 {
		return offset > dct.offset
	}
	return version > dct.version()
}

func (dct *docsCtl) isSame(version, offset int64) bool {
	if version == 0 {
		return offset == dct.offset
	}
	return version == dct.version()
}

// snapshot is the state that an instance sends to another one with older documents or none.
type snapshot struct {
	Offset    int64            `cbor:"1,keyasint"`
	Text      []byte           `cbor:"2,keyasint"`
	Age       clock.Milli      `cbor:"3,keyasint"`
	Endpoints []proto.Endpoint `cbor:"4,keyasint"`
	// Members are all members that the sender knows.
	Members []member.Update `cbor:"5,keyasint,omitempty"`
	Era     int64           `cbor:"6,keyasint,omitempty"`
}

// fetchSnapshot fetches the state of another instance.
func (dct *docsCtl) fetchSnapshot(from ident.Incarnation) {
	if dct.fetching || dct.ctl.set.Link == nil {
		return
	}
	dct.fetching = true
	dct.ctl.loop.Go(func(ctx context.Context) {
		actx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		sent := dct.ctl.set.Clock.Now()
		ans, err := dct.ctl.set.Link.Call(actx, from.Addr(), peer.Message{Kind: peer.GetState, From: dct.ctl.set.Self, To: from})
		dct.ctl.loop.Do(ctx, func(now clock.Milli) {
			dct.fetching = false
			var snp snapshot
			if err != nil || ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &snp) != nil {
				return
			}
			if version, ok := dct.put(proto.Document{Era: snp.Era, Offset: snp.Offset, Text: snp.Text}, sent-snp.Age, now, string(from)); ok {
				dct.confirmByPeer(version, sent-snp.Age)
			}
			dct.ctl.endpts.applySnapshot(snp.Endpoints)
			dct.ctl.list.Merge(snp.Members, now)
			dct.ctl.membersLoaded.fire()
		})
	})
}

// Handle answers a message of another instance; it is registered with the link.
func (ctl *Control) Handle(ctx context.Context, msg peer.Message) peer.Message {
	if msg.Kind == peer.IndirectProbe {
		return ctl.group.ProbeIndirect(ctx, msg)
	}
	ans, ok := loop.Get(ctx, ctl.loop, func(now clock.Milli) peer.Message { return ctl.answer(msg, now) })
	if !ok {
		return ctl.nack()
	}
	return ans
}

// answer answers a message on the control loop.
func (ctl *Control) answer(msg peer.Message, now clock.Milli) peer.Message {
	ctl.group.Receive(msg, 0, now)
	switch msg.Kind {
	case peer.PushFacts:
		return peer.Message{Kind: peer.OK, From: ctl.set.Self}
	case peer.Probe:
		ans := ctl.group.Message(peer.OK, msg.From)
		ans.Facts = ctl.facts.spread.Delta(msg.Digest, now)
		return ans
	case peer.GetState:
		return ctl.answerSnapshot(now)
	case peer.EntryMissing:
		ctl.announceAgain()
		return ctl.group.Message(peer.OK, msg.From)
	}
	return ctl.nack()
}

func (ctl *Control) nack() peer.Message { return peer.Message{Kind: peer.Nack, From: ctl.set.Self} }

func (ctl *Control) answerSnapshot(now clock.Milli) peer.Message {
	if ctl.docs.plan == nil {
		return peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	}
	body, err := cbor.Marshal(snapshot{
		Offset: ctl.docs.offset, Text: ctl.docs.doc.Text, Age: now - ctl.docs.asOf, Endpoints: ctl.endpts.list,
		Members: ctl.list.AllUpdates(), Era: ctl.docs.doc.Era,
	})
	if err != nil {
		return peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	}
	return peer.Message{Kind: peer.OK, From: ctl.set.Self, Body: body}
}
