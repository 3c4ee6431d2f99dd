package state

import (
	"context"
	"maps"
	"time"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/pkg/rumor"
)

const (
	// tellAfter is how long facts are gathered for one message: an endpoint that ends is seen
	// to by all instances that have requests there, within the way between data centres.
	tellAfter = 5 * time.Millisecond
	// tellWait bounds the message.
	tellWait = time.Second
)

// factsCtl keeps the facts that instances tell one another.
type factsCtl struct {
	ctl    *Control
	spread rumor.Spread
	// telling tells that fresh facts will be told in a moment.
	telling  bool
	suspects *poison.List
	rates    map[ident.Process]rate
	evicted  int
	kept     kept
}

func newFacts(ctl *Control) factsCtl {
	fcl := factsCtl{ctl: ctl}
	fcl.spread.Bound(rumor.EndedUnder, poison.Bounds(func() *poison.List { return ctl.facts.suspects }))
	fcl.spread.Bound(rumor.NamedRate, ratesBounds)
	return fcl
}

// step drops what is too old.
func (fcl *factsCtl) step(now clock.Milli) {
	if fcl.spread.Expire(now) {
		fcl.read(now)
	}
	fcl.keep(now)
}

// heard takes what another instance told. One whose answer shows that it knows other things
// is told what this one knows.
func (fcl *factsCtl) heard(msg peer.Message, answers bool, now clock.Milli) {
	if fcl.spread.Told(msg.Facts, fcl.ctl.list.IsMesh(), now) {
		fcl.read(now)
		fcl.tell()
	}
	if answers {
		fcl.send(msg.From, fcl.spread.Missing(msg.Digest, now))
	}
}

// learned takes facts that this instance has learned by itself.
func (fcl *factsCtl) learned(fresh []rumor.Fact, now clock.Milli) {
	if len(fresh) == 0 {
		return
	}
	fcl.spread.Learned(fresh...)
	fcl.read(now)
	fcl.tell()
}

// read makes of the facts what traffic goes by.
func (fcl *factsCtl) read(now clock.Milli) {
	if rates := readRates(fcl.spread.All(rumor.NamedRate, now), now); !maps.Equal(rates, fcl.rates) {
		fcl.rates = rates
		fcl.ctl.rated = true
	}
	before := fcl.suspects
	fcl.suspects = poison.Read(fcl.spread.All(rumor.EndedUnder, now), now)
	fcl.kept.wanted = rumor.Digest(fcl.keeps(now))
	for _, mrk := range fcl.suspects.Newly(before, now) {
		evt := fcl.ctl.set.Log.Warn().Stringer("mark", mrk)
		for _, end := range fcl.suspects.Ends(mrk) {
			evt = evt.Str(string(end.Endpoint), end.By).Int64(string(end.Endpoint)+"_age_ms", int64(now-end.At))
		}
		evt.Msg("request quarantined")
	}
	for ; fcl.evicted < fcl.spread.Evicted(); fcl.evicted++ {
		fcl.ctl.set.Meter.Event(meter.EventFactEvicted)
	}
}

// tell has fresh facts told to the neighbours in a moment.
func (fcl *factsCtl) tell() {
	if fcl.telling || !fcl.spread.Waiting() {
		return
	}
	fcl.telling = true
	fcl.ctl.loop.Go(func(ctx context.Context) {
		pause(ctx, tellAfter)
		fcl.ctl.loop.Do(ctx, func(clock.Milli) { fcl.flush() })
	})
}

func (fcl *factsCtl) flush() {
	fcl.telling = false
	for _, part := range fcl.spread.Flush() {
		for _, who := range fcl.ctl.list.Neighbours() {
			fcl.send(who, part)
		}
	}
}

// send sends facts to another instance. A message that is lost is made up for at the next probe.
func (fcl *factsCtl) send(who ident.Incarnation, list []rumor.Fact) {
	ctl := fcl.ctl
	if ctl.set.Link == nil || len(list) == 0 {
		return
	}
	msg := peer.Message{Kind: peer.FactsTold, From: ctl.set.Self, To: who, Facts: list}
	ctl.loop.Go(func(ctx context.Context) {
		actx, cancel := context.WithTimeout(ctx, tellWait)
		defer cancel()
		_, _ = ctl.set.Link.Ask(actx, who.Addr(), msg)
	})
}

// note takes a fact on the end of an endpoint that this instance has learned by itself.
func (fcl *factsCtl) note(key, value string, now clock.Milli) {
	if fct, ok := fcl.spread.Set(rumor.EndedUnder, key, value, now); ok {
		fcl.learned([]rumor.Fact{fct}, now)
	}
}

// EndedUnder is told by traffic that an endpoint ended while it had a request.
func (ctl *Control) EndedUnder(mrk poison.Mark, id ident.Process) {
	ctx, cancel := context.WithTimeout(context.Background(), tellWait)
	defer cancel()
	ctl.loop.Do(ctx, func(now clock.Milli) { ctl.facts.note(poison.Key(mrk, id), ctl.set.Self.Addr(), now) })
}

// RanWhole is told by traffic that an endpoint has run a suspected request to its end.
func (ctl *Control) RanWhole(mrk poison.Mark) {
	ctl.loop.Offer(func(now clock.Milli) {
		ctl.facts.learned(poison.Clear(&ctl.facts.spread.Table, ctl.facts.suspects, mrk, now), now)
	})
}

// BeginTrial counts an end under a request whose quarantine is over, before it is sent to any
// endpoint, so that no other instance lets it in beside this one. False if another one has.
func (ctl *Control) BeginTrial(mrk poison.Mark, attempt ident.Process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tellWait)
	defer cancel()
	began := false
	done := ctl.loop.Do(ctx, func(now clock.Milli) {
		if began = ctl.facts.suspects.Quarantined(mrk, now) == 0; began {
			ctl.facts.note(poison.Key(mrk, attempt), ctl.set.Self.Addr(), now)
		}
	})
	return done && began
}

// CancelTrial takes the end of a trial back: nothing ran, or the endpoint goes on.
func (ctl *Control) CancelTrial(mrk poison.Mark, attempt ident.Process) {
	ctl.loop.Offer(func(now clock.Milli) { ctl.facts.note(poison.Key(mrk, attempt), poison.Cleared, now) })
}
