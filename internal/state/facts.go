package state

import (
	"context"
	"maps"
	"time"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
)

const (
	// batchDelay is how long facts are collected for one message: the crash of an endpoint is seen
	// by all instances with requests there within the latency between data centres.
	batchDelay = 5 * time.Millisecond
	// isLeaving is the value of the fact that an endpoint leaves.
	isLeaving = "1"
	// factsTimeout bounds the sending of facts and the recording of a crash.
	factsTimeout = time.Second
)

// factsCtl owns the facts that instances spread by gossip.
type factsCtl struct {
	ctl    *Control
	spread gossip.Spread
	// flushPending is set while new facts wait to be sent.
	flushPending bool
	suspects     *poison.List
	declared     map[gossip.Kind]declaredBy
	evicted      int
	stored       storedState
	// known is set once the facts in the store have been read, or could not be.
	known bool
}

func newFacts(ctl *Control) factsCtl {
	fcl := factsCtl{ctl: ctl}
	fcl.spread.Bound(gossip.CrashedUnder, poison.Bounds(func() *poison.List { return ctl.facts.suspects }))
	for _, kind := range append([]gossip.Kind{gossip.Leaving}, declaredKinds...) {
		fcl.spread.Bound(kind, noticeBounds)
	}
	return fcl
}

// step drops expired facts, and writes those for the store.
func (fcl *factsCtl) step(now clock.Milli) {
	if fcl.spread.Expire(now) {
		fcl.refresh(now)
	}
	fcl.writeStored(now)
}

// receive merges the facts of a message. If it is an answer whose digest differs from ours, our
// facts are sent to the other instance.
func (fcl *factsCtl) receive(msg peer.Message, answers bool, now clock.Milli) {
	if fcl.spread.Receive(msg.Facts, fcl.ctl.list.IsMesh(), now) {
		fcl.refresh(now)
		fcl.scheduleFlush()
	}
	if answers {
		fcl.send(msg.From, fcl.spread.Delta(msg.Digest, now))
	}
}

// addLocal adds facts that originate at this instance.
func (fcl *factsCtl) addLocal(fresh []gossip.Fact, now clock.Milli) {
	if len(fresh) == 0 {
		return
	}
	fcl.spread.Enqueue(fresh...)
	fcl.refresh(now)
	fcl.scheduleFlush()
}

// refresh derives the declared values, leaving endpoints and suspects that requests use from the facts.
func (fcl *factsCtl) refresh(now clock.Milli) {
	values := map[gossip.Kind]declaredBy{}
	for _, kind := range declaredKinds {
		values[kind] = readDeclared(fcl.spread.All(kind, now), now)
		fcl.ctl.noticesChanged = fcl.ctl.noticesChanged || !maps.Equal(values[kind], fcl.declared[kind])
	}
	fcl.declared = values
	for _, fct := range fcl.spread.All(gossip.Leaving, now) {
		fcl.ctl.endpts.markLeaving(ident.Process(fct.Key), "reported by another instance", now)
	}
	before := fcl.suspects
	fcl.suspects = poison.Read(fcl.spread.All(gossip.CrashedUnder, now), now)
	fcl.stored.wanted = gossip.Digest(fcl.quarantineFacts(now))
	for _, fpr := range fcl.suspects.NewlyQuarantined(before, now) {
		evt := fcl.ctl.set.Log.Warn().Stringer("mark", fpr)
		for _, crash := range fcl.suspects.Crashes(fpr) {
			evt = evt.Str(string(crash.Endpoint), crash.By).Int64(string(crash.Endpoint)+"_age_ms", int64(now-crash.At))
		}
		evt.Msg("request quarantined")
	}
	for ; fcl.evicted < fcl.spread.Evicted(); fcl.evicted++ {
		fcl.ctl.set.Meter.CountEvent(meter.EventFactEvicted)
	}
}

// scheduleFlush has new facts sent to the neighbours after [batchDelay].
func (fcl *factsCtl) scheduleFlush() {
	if fcl.flushPending || !fcl.spread.Waiting() {
		return
	}
	fcl.flushPending = true
	fcl.ctl.loop.Go(func(ctx context.Context) {
		pause(ctx, batchDelay)
		fcl.ctl.loop.Do(ctx, func(clock.Milli) { fcl.flush() })
	})
}

func (fcl *factsCtl) flush() {
	fcl.flushPending = false
	for _, part := range fcl.spread.Flush() {
		for _, who := range fcl.ctl.list.Neighbours() {
			fcl.send(who, part)
		}
	}
}

// send sends facts to another instance. A lost message is made up for at the next probe.
func (fcl *factsCtl) send(who ident.Incarnation, list []gossip.Fact) {
	ctl := fcl.ctl
	if ctl.set.Link == nil || len(list) == 0 {
		return
	}
	msg := peer.Message{Kind: peer.PushFacts, From: ctl.set.Self, To: who, Facts: list}
	ctl.loop.Go(func(ctx context.Context) {
		actx, cancel := context.WithTimeout(ctx, factsTimeout)
		defer cancel()
		_, _ = ctl.set.Link.Call(actx, who.Addr(), msg)
	})
}

// recordLeaving adds the fact that an endpoint leaves.
func (fcl *factsCtl) recordLeaving(id ident.Process, now clock.Milli) {
	if fct, ok := fcl.spread.Set(gossip.Leaving, string(id), isLeaving, now); ok {
		fcl.addLocal([]gossip.Fact{fct}, now)
	}
}

// recordCrash adds a fact on the crash of an endpoint, or withdraws one with [poison.Cleared].
func (fcl *factsCtl) recordCrash(key, value string, now clock.Milli) {
	if fct, ok := fcl.spread.Set(gossip.CrashedUnder, key, value, now); ok {
		fcl.addLocal([]gossip.Fact{fct}, now)
	}
}

// RecordCrash records that an endpoint crashed while it processed a request with this fingerprint.
func (ctl *Control) RecordCrash(fpr poison.Fingerprint, id ident.Process) {
	ctx, cancel := context.WithTimeout(context.Background(), factsTimeout)
	defer cancel()
	ctl.loop.Do(ctx, func(now clock.Milli) { ctl.facts.recordCrash(poison.Key(fpr, id), ctl.set.Self.Addr(), now) })
}

// RecordCompletion records that an endpoint has completed a request with a suspected fingerprint.
func (ctl *Control) RecordCompletion(fpr poison.Fingerprint) {
	ctl.loop.Offer(func(now clock.Milli) {
		ctl.facts.addLocal(poison.Clear(&ctl.facts.spread.Table, ctl.facts.suspects, fpr, now), now)
	})
}

// BeginTrial admits a request whose quarantine is over. It records a crash before the request is
// sent to any endpoint, so that no other instance admits it at the same time. It reports false if
// another one already has.
func (ctl *Control) BeginTrial(fpr poison.Fingerprint, attempt ident.Process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), factsTimeout)
	defer cancel()
	began := false
	done := ctl.loop.Do(ctx, func(now clock.Milli) {
		if began = ctl.facts.suspects.Quarantined(fpr, now) == 0; began {
			ctl.facts.recordCrash(poison.Key(fpr, attempt), ctl.set.Self.Addr(), now)
		}
	})
	return done && began
}

// CancelTrial withdraws the crash recorded by BeginTrial: nothing ran, or the endpoint goes on.
func (ctl *Control) CancelTrial(fpr poison.Fingerprint, attempt ident.Process) {
	ctl.loop.Offer(func(now clock.Milli) { ctl.facts.recordCrash(poison.Key(fpr, attempt), poison.Cleared, now) })
}
