package state

import (
	"context"
	"maps"
	"slices"
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
	// judgeInterval is the minimum time between judgements of crashes that others report, if there are more than fewFacts
	// on crashes: when many endpoints crash, each message brings facts on some of them.
	judgeInterval = 100 * clock.Milli(1)
	fewFacts      = 64
	// maxLoggedCrashes bounds the crashes in the line on a part of prompts that is quarantined.
	maxLoggedCrashes = 8
)

// factsCtl owns the facts that instances spread by gossip.
type factsCtl struct {
	ctl    *Control
	spread gossip.Spread
	// flushPending is set while new facts wait to be sent.
	flushPending bool
	suspects     *poison.List
	answers      *answerLog
	// judgedAt is when suspects was derived from the facts, of which there were judged; judgePending is set while
	// facts have changed since.
	judgedAt     clock.Milli
	judged       int
	judgePending bool
	declared     map[gossip.Kind]declaredBy
	evicted      int
	stored       storedState
	// known is set once the facts in the store have been read, or could not be; loaded once they have been read.
	known  bool
	loaded bool
	// served are the builds that endpoints had lately.
	served servedBuilds
}

func newFacts(ctl *Control) factsCtl {
	fcl := factsCtl{ctl: ctl, answers: &answerLog{}}
	fcl.spread.Bound(gossip.CrashedUnder, poison.Bounds(func() *poison.List { return ctl.facts.suspects }))
	for _, kind := range append([]gossip.Kind{gossip.Leaving}, declaredKinds...) {
		fcl.spread.Bound(kind, noticeBounds)
	}
	fcl.spread.Bound(gossip.Cold, coldBounds)
	fcl.spread.Bound(gossip.ServedBuild, buildBounds)
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
	fcl.take(msg.Facts, now)
	if answers {
		fcl.send(msg.From, fcl.spread.Delta(msg.Digest, now))
	}
}

// take merges facts from the state of another instance, and forwards those that are new.
func (fcl *factsCtl) take(list []gossip.Fact, now clock.Milli) {
	if fcl.spread.Receive(list, fcl.ctl.list.IsMesh(), now) {
		fcl.changed(list, now)
		fcl.scheduleFlush()
	}
}

// addLocal adds facts that originate at this instance.
func (fcl *factsCtl) addLocal(fresh []gossip.Fact, now clock.Milli) {
	if len(fresh) == 0 {
		return
	}
	fcl.spread.Enqueue(fresh...)
	fcl.changed(fresh, now)
	fcl.scheduleFlush()
}

// changed derives what requests use from the facts after these have changed: at once, but for suspects that were
// derived from many facts lately.
func (fcl *factsCtl) changed(facts []gossip.Fact, now clock.Milli) {
	fcl.readNotices(now)
	if slices.ContainsFunc(facts, func(fct gossip.Fact) bool { return fct.Kind == gossip.Cold }) {
		fcl.ctl.cold.dirty = true
	}
	if slices.ContainsFunc(facts, func(fct gossip.Fact) bool { return fct.Kind == gossip.ServedBuild }) {
		fcl.readServed(now)
	}
	switch {
	case !slices.ContainsFunc(facts, func(fct gossip.Fact) bool { return fct.Kind == gossip.CrashedUnder }):
	case fcl.judged <= fewFacts || now-fcl.judgedAt >= judgeInterval:
		fcl.judge(now)
	case !fcl.judgePending:
		fcl.judgePending = true
		fcl.ctl.loop.Go(func(ctx context.Context) {
			pause(ctx, judgeInterval.Duration())
			fcl.ctl.loop.Do(ctx, fcl.settle)
		})
	}
}

// settle derives the suspects if facts on crashes have changed since that was done last.
func (fcl *factsCtl) settle(now clock.Milli) {
	if fcl.judgePending {
		fcl.judge(now)
	}
}

// refresh derives what requests use from the facts.
func (fcl *factsCtl) refresh(now clock.Milli) {
	fcl.readNotices(now)
	fcl.readServed(now)
	fcl.judge(now)
}

// readServed derives the builds of pools from the facts.
func (fcl *factsCtl) readServed(now clock.Milli) {
	fcl.served = readBuilds(fcl.spread.All(gossip.ServedBuild, now))
	fcl.stored.wanted = gossip.Digest(fcl.factsToStore(fcl.spread.All(gossip.CrashedUnder, now), now))
}

// readNotices derives the declared values and leaving endpoints from the facts.
func (fcl *factsCtl) readNotices(now clock.Milli) {
	values := map[gossip.Kind]declaredBy{}
	for _, kind := range declaredKinds {
		values[kind] = readDeclared(fcl.spread.All(kind, now), now)
		fcl.ctl.noticesChanged = fcl.ctl.noticesChanged || !maps.Equal(values[kind], fcl.declared[kind])
	}
	fcl.declared = values
	for _, fct := range fcl.spread.All(gossip.Leaving, now) {
		fcl.ctl.endpts.markLeaving(ident.Process(fct.Key), "reported by another instance", now)
	}
}

// judge derives the suspects from the facts on crashes.
func (fcl *factsCtl) judge(now clock.Milli) {
	fcl.judgedAt, fcl.judgePending = now, false
	before, facts := fcl.suspects, fcl.spread.All(gossip.CrashedUnder, now)
	fcl.suspects = poison.Read(facts, now)
	if fresh := fcl.shareAnswers(fcl.suspects.Suspects(), now); len(fresh) > 0 {
		fcl.spread.Enqueue(fresh...)
		fcl.scheduleFlush()
		facts = fcl.spread.All(gossip.CrashedUnder, now)
		fcl.suspects = poison.Read(facts, now)
	}
	fcl.judged = len(facts)
	fcl.logConvicted(before, now)
	fcl.stored.wanted = gossip.Digest(fcl.factsToStore(facts, now))
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

// recordCrashes adds facts on the crash of an endpoint, or withdraws them with [poison.Cleared].
func (fcl *factsCtl) recordCrashes(keys []string, value string, now clock.Milli) {
	var fresh []gossip.Fact
	for _, key := range keys {
		if fct, ok := fcl.spread.Set(gossip.CrashedUnder, key, value, now); ok {
			fresh = append(fresh, fct)
		}
	}
	fcl.addLocal(fresh, now)
	fcl.settle(now)
}

// RecordCompletion records that an endpoint has completed a request with a suspected fingerprint.
func (ctl *Control) RecordCompletion(fpr poison.Fingerprint) {
	ctl.loop.Offer(func(now clock.Milli) {
		ctl.facts.addLocal(poison.Clear(&ctl.facts.spread.Table, ctl.facts.suspects, fpr, now), now)
	})
}
