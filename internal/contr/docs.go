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
	// A document is appended again when its age reaches LogRetention divided by
	// snapshotFraction. Instances of successive ranks wait rankStep longer each.
	snapshotFraction = 4
	rankStep         = 5 * clock.Second
	// statePeers is the number of peers asked for their state in one round.
	statePeers      = 3
	stateTimeout    = 2 * time.Second
	stateInterval   = 500 * clock.Milli(1)
	snapshotTimeout = clock.Minute
	// resetDelay is how long an instance without state waits for an answer to its state
	// request. stateRequestTimeout bounds the attempts to append such a request.
	resetDelay          = 10 * clock.Second
	stateRequestTimeout = 3 * clock.Second
	// maxReadGap is the longest interval between two reads of the log's end that count as
	// uninterrupted.
	maxReadGap = 3 * clock.Second
)

// docsCtl tracks the service documents.
type docsCtl struct {
	ctl     *Control
	reg     oplog.Registry
	app     *feed.Appender
	changed bool
	// logAsOf is the last instant at which the log was known to be applied to its end, zero if
	// never. known is set if the state is that of an offset which was current at some time.
	logAsOf        clock.Milli
	known          bool
	fetching       bool
	fetchStartedAt clock.Milli
	nextSnapshot   clock.Milli
	// statelessAsOf is the last instant at which the log was read to its end without finding a
	// state, statelessSince the start of the uninterrupted period of such reads.
	statelessAsOf  clock.Milli
	statelessSince clock.Milli
	// requestedAt is when this instance last requested a state through the log, nextAnswer the
	// instant from which it may answer another state request.
	requestedAt clock.Milli
	nextAnswer  clock.Milli
}

func (dct *docsCtl) tail(ctx context.Context) {
	feed.Tail(ctx, dct.ctl.feedSetup(), feed.Consumer{
		Do:     dct.ctl.Do,
		Stream: platf.StreamDocs,
		Next:   dct.reg.Next,
		Apply: func(recs []oplog.Record, _ clock.Milli) {
			before := dct.reg.Applied()
			decided, _ := dct.reg.Apply(recs)
			dct.changed = dct.changed || dct.reg.Applied() != before
			for _, dec := range decided {
				dct.ctl.set.Log.Info().Str("service", dec.Service()).Int64("offset", dec.Offset()).
					Str("verdict", dec.Verdict().String()).Msg("document offer decided")
			}
		},
		Restart: dct.reg.Restart,
		CaughtUp: func(asOf clock.Milli) {
			if !dct.reg.Ready() {
				dct.noteStatelessRead(asOf)
				return
			}
			dct.known = true
			dct.logAsOf = max(dct.logAsOf, asOf)
		},
	})
}

// noteStatelessRead records that the log was read to its end without finding a state.
func (dct *docsCtl) noteStatelessRead(asOf clock.Milli) {
	if asOf-dct.statelessAsOf > maxReadGap {
		dct.statelessSince = asOf
	}
	dct.statelessAsOf = asOf
}

func (dct *docsCtl) step(now clock.Milli) {
	dct.ctl.set.Meter.SetGauge(meter.GaugeLogAge, float64(now-dct.logAsOf))
	dct.fetchFromPeers(now)
	dct.takeSnapshot(now)
	dct.requestState(now)
}

// requestState requests a state through the log if the log was read to its end without finding
// one. If no instance answers within resetDelay, it appends a reset: all instances were down
// for longer than the retention of the log. Without the reset no instance would become ready
// again.
//
// The delay counts only while the log is readable. Instances that have a state can't answer
// during an outage either, and a reset right after the outage would precede their answers and
// drop documents that are in force.
func (dct *docsCtl) requestState(now clock.Milli) {
	unreadable := dct.statelessAsOf == 0 || now-dct.statelessAsOf > maxReadGap
	if dct.reg.Ready() || unreadable || now-max(dct.requestedAt, dct.statelessSince) < resetDelay && dct.requestedAt > 0 {
		return
	}
	ent := oplog.Entry{Kind: oplog.KindStateRequest}
	if offset := dct.reg.PendingStateRequest(); offset > 0 && dct.requestedAt > 0 {
		ent = oplog.Entry{Kind: oplog.KindReset, AsOf: offset}
		dct.ctl.set.Log.Warn().Msg("no instance has the documents and the log has trimmed them; resetting to an empty state")
	}
	dct.requestedAt = now
	dct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + stateRequestTimeout})
}

// freshUntil returns the instant up to which the documents may be assumed to be in force, or
// the reason why they may not. They may if the log was known to be applied to its end within
// the maximum log age, or if a majority of the instances are in contact and none of them has
// applied more than this instance.
//
// A majority is required because a publisher relies on outdated instances refusing work after
// the maximum log age. During a complete outage of the log no document is accepted, so that the
// majority may continue. A minority that is partitioned from the log must not: the other
// instances may have accepted a newer document. Two disjoint groups can't both be a majority.
//
// Both conditions are evaluated each time and the later expiry counts. If the majority were
// evaluated only after the log age had run out, a view could expire up to one tick before the
// next one is published, and requests in between would be refused.
func (dct *docsCtl) freshUntil(now clock.Milli) (until clock.Milli, why string) {
	if !dct.known {
		return 0, "no document state has been loaded yet"
	}
	until = max(dct.logAsOf, dct.majoritySince(now)) + dct.ctl.set.MaxLogAge
	switch {
	case now <= until:
		return until, ""
	case dct.isBehind():
		return 0, "another instance has newer documents"
	}
	return 0, "neither the log nor a majority of the instances is reachable"
}

// majoritySince returns the instant since which a majority of the instances has been seen, zero
// if there is no majority or if one of them has newer documents.
func (dct *docsCtl) majoritySince(now clock.Milli) clock.Milli {
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

// fetchFromPeers fetches the state of other instances while the log is unavailable, if this
// instance started during the outage or lags behind.
func (dct *docsCtl) fetchFromPeers(now clock.Milli) {
	stale := now-dct.logAsOf > stateInterval+clock.Second
	if dct.ctl.set.Link == nil || dct.fetching || !stale || now-dct.fetchStartedAt < stateInterval {
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
	dct.fetching, dct.fetchStartedAt = true, now
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
		dct.fetching = false
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
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	ans, err := dct.ctl.set.Link.Call(ctx, addr, peer.Message{Kind: peer.GetState, From: dct.ctl.set.Self})
	var st oplog.State
	if err != nil || ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &st) != nil {
		return oplog.State{}, false
	}
	return st, true
}

// encodeState returns the encoded state for a peer. A state that was never known to be current
// is not returned: otherwise two new instances would accept each other's empty state.
func (dct *docsCtl) encodeState() ([]byte, bool) {
	st, ok := dct.reg.State()
	if !ok || !dct.known {
		return nil, false
	}
	body, err := cbor.Marshal(st)
	return body, err == nil
}

// takeSnapshot appends documents again well before the log trims their records. The instances
// take turns by rank, so that normally only one does it. Two snapshots have the same content,
// and the second has no effect.
func (dct *docsCtl) takeSnapshot(now clock.Milli) {
	if !dct.known || now-dct.logAsOf > clock.Second*2 {
		return
	}
	if dct.reg.StateRequested() && now >= dct.nextAnswer {
		dct.nextAnswer = now + stateRequestTimeout
		dct.reappend(now, now+1)
		return
	}
	if now < dct.nextSnapshot {
		return
	}
	rank := clock.Milli(dct.ctl.members.list.Rank())
	age := dct.ctl.set.LogRetention / snapshotFraction
	if dct.reappend(now, now-age-rank*rankStep) > 0 {
		dct.nextSnapshot = now + snapshotTimeout
	}
}

// reappend appends the documents that were last appended before olderThan and returns the
// number of records.
func (dct *docsCtl) reappend(now, olderThan clock.Milli) int {
	ents := dct.reg.Snapshot(olderThan)
	for _, ent := range ents {
		dct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + snapshotTimeout})
	}
	if len(ents) > 0 {
		dct.ctl.set.Log.Info().Int("records", len(ents)).Msg("document snapshot appended")
	}
	return len(ents)
}

// offer appends an offer and retries until the given instant.
func (dct *docsCtl) offer(ent oplog.Entry, until clock.Milli) bool {
	return dct.app.Add(feed.Record{Body: json.RawMessage(ent.Encode()), Expires: until})
}

// behind lists the instances that may still use documents older than an offset: live ones that
// have not reported it, and ones declared dead that may not have noticed yet. An instance that
// is in contact neither with the log nor with a majority refuses new work after the maximum log
// age, so that one not seen for longer no longer uses any document.
func (dct *docsCtl) behind(offset int64, now clock.Milli) []ident.Incarnation {
	return dct.ctl.members.list.Lagging(offset, dct.ctl.set.MaxLogAge+member.Period, now)
}
