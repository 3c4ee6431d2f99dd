package state

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/group"
	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

const (
	// tickEvery is the time between two steps of the control thread.
	tickEvery = 100 * time.Millisecond
	// startWait is how long after its start requests wait for an instance to know documents
	// and endpoints. A store that is well is read by hundreds at once within that, also where
	// documents have a thousand routes and links are slow.
	startWait = clock.Second
	// staleAfter is the age from which a view may well be an old one: two and a
	// half times the longest wait between two answers of a store that is well.
	staleAfter = 2500 * clock.Milli(1)
)

// Setup is what a control thread is made of.
type Setup struct {
	Self   ident.Incarnation
	Zone   string
	Caller string
	Seeds  []string
	// Capacity is how strong this instance is, in cores; zero counts 1.
	Capacity float64
	Clock    clock.Clock
	Store    talk.Store
	Meter    *meter.Meter
	Log      zerolog.Logger
	// Dialect compiles documents.
	Dialect *talk.Dialect
	// Link is nil for an instance that stands alone.
	Link *peer.Link
	// TokensFor is the age up to which a view's tokens are honoured, zero for no bound.
	TokensFor clock.Milli
	// Changed is told of each new view that has other endpoints, other rates of these or
	// another plan than the one before; on the control thread.
	Changed func(vw *View)
}

// Control owns the control state of an instance.
type Control struct {
	set  Setup
	loop *loop.Loop
	view atomic.Pointer[View]
	load atomic.Int64

	// began is when this instance started.
	began   clock.Milli
	group   group.Group
	list    *member.List
	docs    docsCtl
	endpts  endptsCtl
	facts   factsCtl
	leaving bool
	dirty   bool
	// rated tells that rates of endpoints changed.
	rated bool
	// ranked are the changes of the members that the view's ranks follow from; beats
	// tells that a step has passed, and with it signs of life and loads.
	ranked uint64
	beats  bool
	// listed are the lines of instances that were read in the store.
	listed map[string]bool
	// turned is closed when a view with another plan or other endpoints is there.
	turned atomic.Pointer[chan struct{}]
	// asked is given when the store was asked for documents, met when the others' lines
	// were read or another instance told of all that it knows.
	asked *signal
	met   *signal
	// unlisted are the members whose lines were missing from the store at the last look.
	unlisted map[ident.Incarnation]bool
	// announced tells that our own line was written.
	announced atomic.Bool
}

// New returns a control thread that has not started.
func New(set Setup) *Control {
	ctl := &Control{set: set, loop: loop.New(set.Clock, func() { set.Meter.Event(meter.EventDropped) }), asked: newSignal(), met: newSignal()}
	now := set.Clock.Now()
	ctl.began = now
	ctl.list = member.New(set.Self, set.Zone, set.Caller, now)
	ctl.list.SetCapacity(set.Capacity)
	ctl.group = group.Group{
		Self: set.Self, List: ctl.list, Link: set.Link, Offer: ctl.loop.Offer, Go: ctl.loop.Go,
		Now: set.Clock.Now, Dress: ctl.dress, Heard: ctl.heard,
	}
	ctl.docs.ctl, ctl.docs.offset = ctl, -1
	ctl.endpts = endptsCtl{ctl: ctl, left: map[ident.Process]clock.Milli{}, upElse: never}
	ctl.facts = newFacts(ctl)
	ctl.view.Store(&View{offset: -1})
	turned := make(chan struct{})
	ctl.turned.Store(&turned)
	return ctl
}

// View gives the present view.
func (ctl *Control) View() *View { return ctl.view.Load() }

// Whole gives the present view, and right after the start waits a moment for one by which
// requests can be served. A caller that is refused meanwhile has used one of its few tries,
// and hundreds that come back later at once meet those that come then.
func (ctl *Control) Whole(ctx context.Context) *View {
	vw := ctl.View()
	left := startWait - ctl.set.Clock.Since(ctl.began)
	if vw.whole() || left <= 0 {
		return vw
	}
	return ctl.waitFor(ctx, left.Duration(), (*View).whole)
}

// Self gives the instance's identity.
func (ctl *Control) Self() ident.Incarnation { return ctl.set.Self }

// SetLoad notes how many requests are under way, for the other instances.
func (ctl *Control) SetLoad(n int64) { ctl.load.Store(n) }

// SetSeeds changes the addresses that are asked while nobody else is known.
func (ctl *Control) SetSeeds(seeds []string) {
	ctl.loop.Offer(func(clock.Milli) { ctl.set.Seeds = seeds })
}

// Run owns the state until the context ends, then waits for its workers.
func (ctl *Control) Run(ctx context.Context) {
	ctl.loop.Run(ctx, tickEvery, func() {
		ctl.loop.Go(ctl.docs.watch)
		ctl.loop.Go(ctl.endpts.poll)
		ctl.loop.Go(ctl.meet)
	}, ctl.step, ctl.publish)
}

func (ctl *Control) step(now clock.Milli) {
	ctl.list.SetSelf(ctl.docs.offset, int(ctl.load.Load()), ctl.leaving, now)
	ctl.list.SetStale(ctl.docs.plan == nil || now-ctl.docs.asOf > staleAfter)
	ctl.beats = true
	ctl.group.Tick(now)
	ctl.endpts.step(now)
	ctl.facts.step(now)
	ctl.set.Meter.Set(meter.GaugeLogAge, float64(now-ctl.docs.asOf))
	ctl.set.Meter.Set(meter.GaugeEventQueue, float64(ctl.loop.Waiting()))
}

// publish makes a new view. What follows from the members alone is kept while they stay
// the same: ranked anew for each event, 300 instances took a quarter of their processor.
func (ctl *Control) publish(now clock.Milli) {
	old := ctl.view.Load()
	vw := &View{
		plan: ctl.docs.plan, offset: ctl.docs.offset, asOf: ctl.docs.asOf, endpoints: ctl.endpts.list, listed: ctl.endpts.listed(), digest: old.digest, past: old.past,
		members: old.members, homes: old.homes, sources: old.sources, othersOK: old.othersOK,
		leaving: ctl.leaving, text: ctl.docs.doc.Text, heard: ctl.docs.heardAt, slow: ctl.docs.slow,
		suspects: ctl.facts.suspects, rates: ctl.facts.rates,
	}
	if changed := ctl.list.Changes(); changed != ctl.ranked || ctl.beats {
		vw.members = ctl.list.All()
	}
	if changed := ctl.list.Changes(); changed != ctl.ranked || ctl.dirty {
		ctl.ranked = changed
		ctl.rank(vw)
	}
	if ctl.dirty {
		vw.digest = digest(vw.endpoints)
	}
	if vw.digest != old.digest {
		vw.past = remember(old.past, listed{Digest: old.digest, List: old.endpoints})
	}
	ctl.beats = false
	ctl.tell(old, vw, now)
	ctl.view.Store(vw)
	if ctl.dirty {
		next := make(chan struct{})
		close(*ctl.turned.Swap(&next))
	}
	if (ctl.dirty || ctl.rated) && ctl.set.Changed != nil {
		ctl.set.Changed(vw)
	}
	ctl.dirty, ctl.rated = false, false
}

// rank sets what follows from who is there.
func (ctl *Control) rank(vw *View) {
	vw.sources = sourcesOf(ctl.list.Homes(readersName))
	vw.othersOK = false
	for _, mbr := range vw.members {
		if mbr.Who() != ctl.set.Self && mbr.Status() == member.Alive && !mbr.Stale() {
			vw.othersOK = true
		}
	}
	if vw.plan == nil {
		return
	}
	vw.homes = make(map[string][]ident.Incarnation, len(vw.plan.Pools()))
	for name := range vw.plan.Pools() {
		vw.homes[name] = ctl.list.Homes(name)
	}
}

// tell writes down what changed.
func (ctl *Control) tell(old, vw *View, now clock.Milli) {
	if was, is := old.Ready(now), vw.Ready(now); was != is {
		ctl.set.Log.Info().Bool("ready", is).Int64("view_age_ms", int64(vw.Age(now))).
			Bool("others_fresh", vw.othersOK).Bool("leaving", vw.leaving).Msg("readiness changed")
	}
	if len(old.members) != len(vw.members) {
		ctl.set.Log.Info().Int("before", len(old.members)).Int("members", len(vw.members)).Msg("members changed")
	}
	ctl.set.Meter.Set(meter.GaugeMembers, float64(len(vw.members)))
	ctl.set.Meter.Set(meter.GaugeApplied, float64(vw.offset))
}

// Left is told by traffic that an endpoint said it is leaving, or is gone.
func (ctl *Control) Left(id ident.Process, why string) {
	ctl.loop.Offer(func(now clock.Milli) { ctl.endpts.heardLeaving(id, why, now) })
}

// Doubt is told by traffic that another instance gave no answer.
func (ctl *Control) Doubt(who ident.Incarnation) {
	ctl.loop.Offer(func(now clock.Milli) { ctl.group.Doubt(who, now) })
}

// Leave starts a planned stop: the others are told at once, and this instance is
// named to callers no longer. It goes on serving.
func (ctl *Control) Leave(ctx context.Context) {
	ctl.loop.Do(ctx, func(now clock.Milli) {
		ctl.leaving = true
		ctl.step(now)
		for _, mbr := range ctl.list.All() {
			if mbr.Who() != ctl.set.Self {
				ctl.group.Greet(mbr.Who().Addr(), mbr.Who())
			}
		}
	})
}

func pause(ctx context.Context, span time.Duration) bool {
	tmr := time.NewTimer(span)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}
