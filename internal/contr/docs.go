package contr

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/feed"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/platf"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/oplog"
)

const (
	// snapshotShare of the log's retention is the age at which documents are
	// appended again; the instances take turns a rankStep apart.
	snapshotShare = 4
	rankStep      = 5 * clock.Second
	// statePeers is how many peers are asked for their state at a time.
	statePeers   = 3
	stateWait    = 2 * time.Second
	stateRepeat  = 500 * clock.Milli(1)
	snapshotLife = clock.Minute
	// resetAfter is how long a reader that wants a state waits for an answer,
	// and wantLife how long its records are tried to be appended.
	resetAfter = 10 * clock.Second
	wantLife   = 3 * clock.Second
	// readGap is the longest time between two reads of the log's end that
	// counts as without a gap.
	readGap = 3 * clock.Second
)

// docsCtl keeps the service documents.
type docsCtl struct {
	ctl     *Control
	reg     oplog.Registry
	app     *feed.Appender
	changed bool
	// logAsOf is the last instant at which the log's end was known to be
	// applied, zero if never; known tells that the state is that of some offset
	// which was current once.
	logAsOf  clock.Milli
	known    bool
	asking   bool
	askedAt  clock.Milli
	snapshot clock.Milli
	// stuckAsOf is the last instant at which the log's end was read without a
	// state, and stuckSince the one since which it was read without a gap.
	stuckAsOf  clock.Milli
	stuckSince clock.Milli
	// askedLog is when the log was last asked for a state, answered when we last
	// answered another's wish for one.
	askedLog clock.Milli
	answered clock.Milli
}

func (dct *docsCtl) tail(ctx context.Context) {
	feed.Tail(ctx, dct.ctl.feed(), feed.Consumer{
		Do:     dct.ctl.Do,
		Stream: platf.StreamDocs,
		Next:   dct.reg.Next,
		Apply: func(recs []oplog.Record, _ clock.Milli) {
			before := dct.reg.Applied()
			decided, _ := dct.reg.Apply(recs)
			dct.changed = dct.changed || dct.reg.Applied() != before
			for _, dec := range decided {
				dct.ctl.set.Log.Info().Str("service", dec.Service()).Int64("offset", dec.Offset()).
					Str("verdict", dec.Verdict().String()).Msg("document offered")
			}
		},
		Restart: dct.reg.Restart,
		CaughtUp: func(asOf clock.Milli) {
			if !dct.reg.Ready() {
				dct.endRead(asOf)
				return
			}
			dct.known = true
			dct.logAsOf = max(dct.logAsOf, asOf)
		},
	})
}

// endRead notes that the log's end was read without a state.
func (dct *docsCtl) endRead(asOf clock.Milli) {
	if asOf-dct.stuckAsOf > readGap {
		dct.stuckSince = asOf
	}
	dct.stuckAsOf = asOf
}

func (dct *docsCtl) step(now clock.Milli) {
	dct.ctl.set.Meter.SetGauge(meter.GaugeLogAge, float64(now-dct.logAsOf))
	dct.askPeers(now)
	dct.takeSnapshot(now)
	dct.wantState(now)
}

// wantState asks by the log for a state when its end was read without one, and
// after a while says that there is none: everything was off for longer than the
// log keeps records. Without that no instance would ever be ready again.
//
// The time to wait counts only while the log can be read. Those who have a state
// can't answer through an outage either, and after it a reset that was ready
// would overtake their answers and drop documents that are in force.
func (dct *docsCtl) wantState(now clock.Milli) {
	unread := dct.stuckAsOf == 0 || now-dct.stuckAsOf > readGap
	if dct.reg.Ready() || unread || now-max(dct.askedLog, dct.stuckSince) < resetAfter && dct.askedLog > 0 {
		return
	}
	ent := oplog.Entry{Kind: oplog.KindStateRequest}
	if asked := dct.reg.PendingStateRequest(); asked > 0 && dct.askedLog > 0 {
		ent = oplog.Entry{Kind: oplog.KindReset, AsOf: asked}
		dct.ctl.set.Log.Warn().Msg("nobody has the documents and the log has forgotten them; starting from nothing")
	}
	dct.askedLog = now
	dct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + wantLife})
}

// freshUntil gives the instant up to which the documents may be taken to be in
// force, or why they may not: the log said so within the bound, or most of the
// instances are in touch with one another and none has applied more than we
// have.
//
// Why most of them: while the log is out for all, no document is accepted and
// those who vouch for each other go on. But an instance that is cut off from
// the log together with a few others must not be vouched for by them, for the
// rest may have accepted a newer document; a publisher counts on such a group
// refusing after the bound. Two groups can't both be most.
//
// Both are looked at each time, and the later end counts. Were the others' word
// looked at only once the log's has run out, a view would run out up to a tick
// before the next one is made, and requests be refused in between.
func (dct *docsCtl) freshUntil(now clock.Milli) (until clock.Milli, why string) {
	if !dct.known {
		return 0, "no document state is known yet"
	}
	until = max(dct.logAsOf, dct.vouchedSince(now)) + dct.ctl.set.Fresh
	switch {
	case now <= until:
		return until, ""
	case dct.isBehind():
		return 0, "another instance has newer documents"
	}
	return 0, "neither the log nor most of the instances can be reached"
}

// vouchedSince gives the instant since which most of the instances have been in
// touch, zero if they are not or if one of them has newer documents.
func (dct *docsCtl) vouchedSince(now clock.Milli) clock.Milli {
	since, ok := dct.ctl.members.list.MajoritySeen(now)
	if !ok || dct.isBehind() {
		return 0
	}
	return since
}

func (dct *docsCtl) isBehind() bool {
	ahead, ok := dct.mostApplied()
	return ok && ahead.Applied() > dct.reg.Applied()
}

func (dct *docsCtl) mostApplied() (member.Member, bool) {
	var best member.Member
	found := false
	for _, mbr := range dct.ctl.members.list.All() {
		if mbr.ID() != dct.ctl.set.Self && (!found || mbr.Applied() > best.Applied()) {
			best, found = mbr, true
		}
	}
	return best, found
}

// askPeers fetches the state of others while the log gives none: by an instance
// that is new during an outage, or one that is behind.
func (dct *docsCtl) askPeers(now clock.Milli) {
	silent := now-dct.logAsOf > stateRepeat+clock.Second
	if dct.ctl.set.Link == nil || dct.asking || !silent || now-dct.askedAt < stateRepeat {
		return
	}
	ahead, ok := dct.mostApplied()
	behind := ok && ahead.Applied() > dct.reg.Applied()
	if dct.known && !behind {
		return
	}
	var addrs []string
	for _, mbr := range dct.ctl.members.list.All() {
		if mbr.ID() != dct.ctl.set.Self && mbr.Applied() >= ahead.Applied() && len(addrs) < statePeers {
			addrs = append(addrs, mbr.ID().Addr())
		}
	}
	if len(addrs) == 0 {
		addrs = dct.ctl.set.Peers[:min(len(dct.ctl.set.Peers), statePeers)]
	}
	dct.asking, dct.askedAt = true, now
	dct.ctl.loop.Go(func(ctx context.Context) { dct.fetch(ctx, addrs) })
}

func (dct *docsCtl) fetch(ctx context.Context, addrs []string) {
	var best oplog.State
	found := false
	for _, addr := range addrs {
		if st, ok := dct.fetchFrom(ctx, addr); ok && (!found || st.Applied > best.Applied) {
			best, found = st, true
		}
	}
	dct.ctl.Do(ctx, func(clock.Milli) {
		dct.asking = false
		if !found {
			return
		}
		if dct.reg.Load(best) {
			dct.changed = true
			dct.ctl.set.Meter.CountEvent(meter.EventStateTaken)
		}
		dct.known = dct.reg.Ready()
	})
}

func (dct *docsCtl) fetchFrom(ctx context.Context, addr string) (oplog.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, stateWait)
	defer cancel()
	ans, err := dct.ctl.set.Link.Call(ctx, addr, peer.Message{Kind: peer.GetState, From: dct.ctl.set.Self})
	var st oplog.State
	if err != nil || ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &st) != nil {
		return oplog.State{}, false
	}
	return st, true
}

// stateFor answers a peer that asks for the state. A state that was never
// known to be current is not handed on: two new instances would otherwise take
// each other's emptiness for the truth.
func (dct *docsCtl) stateFor() ([]byte, bool) {
	st, ok := dct.reg.State()
	if !ok || !dct.known {
		return nil, false
	}
	body, err := cbor.Marshal(st)
	return body, err == nil
}

// takeSnapshot appends documents again well before the log forgets them. The
// instances take turns by rank, so that normally one does it; two doing it
// write the same and do no harm.
func (dct *docsCtl) takeSnapshot(now clock.Milli) {
	if !dct.known || now-dct.logAsOf > clock.Second*2 {
		return
	}
	if dct.reg.StateRequested() && now >= dct.answered {
		dct.answered = now + wantLife
		dct.appendAgain(now, now+1)
		return
	}
	if now < dct.snapshot {
		return
	}
	rank := clock.Milli(dct.ctl.members.list.Rank())
	age := dct.ctl.set.LogRetention / snapshotShare
	if dct.appendAgain(now, now-age-rank*rankStep) > 0 {
		dct.snapshot = now + snapshotLife
	}
}

// appendAgain appends the documents that were last appended before olderThan.
func (dct *docsCtl) appendAgain(now, olderThan clock.Milli) int {
	ents := dct.reg.Snapshot(olderThan)
	for _, ent := range ents {
		dct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + snapshotLife})
	}
	if len(ents) > 0 {
		dct.ctl.set.Log.Info().Int("records", len(ents)).Msg("appended documents again")
	}
	return len(ents)
}

// offer appends an offer and goes on until the deadline.
func (dct *docsCtl) offer(ent oplog.Entry, until clock.Milli) bool {
	return dct.app.Add(feed.Record{Body: json.RawMessage(ent.Encode()), Expires: until})
}

// behind lists the instances that may still go by documents older than an
// offset: live ones that have not reported it, and ones taken for dead which
// may not have noticed yet. An instance without word of the log or of most
// others refuses new work after the freshness bound, so that one not heard for
// longer is out of force whatever it holds.
func (dct *docsCtl) behind(offset int64, now clock.Milli) []ident.Incarnation {
	return dct.ctl.members.list.Lagging(offset, dct.ctl.set.Fresh+member.Period, now)
}
