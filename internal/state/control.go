package state

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/group"
	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

const (
	// stepInterval is the time between two steps of the control loop.
	stepInterval = 100 * time.Millisecond
	// startupWait is how long after the start requests wait until the instance knows documents and
	// endpoints. A healthy store answers hundreds of simultaneous reads within this time, also with
	// documents of a thousand routes and over slow links.
	startupWait = clock.Second
	// staleAfter is the age from which a view counts as possibly outdated: two and a half times the
	// longest interval between two answers of a healthy store.
	staleAfter = 2500 * clock.Milli(1)
)

// Setup configures a [Control].
type Setup struct {
	Self   ident.Incarnation
	Zone   string
	Caller string
	Seeds  []string
	// Capacity is the size of this instance in cores; zero counts as 1.
	Capacity float64
	Clock    clock.Clock
	Store    proto.Store
	Meter    *meter.Meter
	Log      zerolog.Logger
	// Dialect compiles documents.
	Dialect *proto.Dialect
	// Link is nil for a standalone instance.
	Link *peer.Link
	// TokenMaxViewAge is the maximum age of a view by which tokens are accepted; zero means no
	// bound.
	TokenMaxViewAge clock.Milli
	// Blind reports whether this instance reaches no endpoint itself, or, recovering, did so a moment ago;
	// nil for never.
	Blind func() (blind, recovering bool)
	// Relayed returns the number of connections that this instance relays for others, which counts as
	// load; nil for none.
	Relayed func() int64
	// OnRest is called for each answer by which an endpoint asks for rest, with the instance that
	// relayed the request, empty for none; it may be nil.
	OnRest func(id ident.Process, span clock.Milli, relay ident.Incarnation)
	// OnChange is called on the control loop with each new view whose plan, endpoints, values
	// declared by endpoints or cold endpoints differ from those of the view before.
	OnChange func(vw *View)
}

// Control owns the control state of an instance. It is created by [New].
type Control struct {
	set  Setup
	loop *loop.Loop
	view atomic.Pointer[View]
	load atomic.Int64

	// startedAt is when this instance started.
	startedAt clock.Milli
	group     group.Group
	list      *member.List
	docs      docsCtl
	endpts    endptsCtl
	facts     factsCtl
	cold      coldCtl
	rests     rests
	evacs     evacsCtl
	leaving   bool
	dirty     bool
	// noticesChanged is set if values declared by endpoints, or the cold ones, changed since the last
	// view.
	noticesChanged bool
	// rankedChanges is the change counter of the member list when the view's rankings were
	// computed. stepped is set after a step, which updates heartbeats and loads of members.
	rankedChanges uint64
	stepped       bool
	// isolated is set while this instance has lost contact to the others.
	isolated bool
	// minority is set while this instance may be partitioned from a majority of the others.
	minority bool
	// storedNames are the names of the instance entries last read from the store.
	storedNames map[string]bool
	// viewChanged is closed, and replaced, when a view with another plan or other endpoints is
	// stored.
	viewChanged atomic.Pointer[chan struct{}]
	// listConfirmed is closed, and replaced, when a view with a more recently read list of endpoints is stored.
	listConfirmed atomic.Pointer[chan struct{}]
	// steppedAt is when the control loop made its last step, resumedAt when it went on after a pause of the process;
	// stalledAt and stallEndedAt are the begin and the end of its last stall.
	steppedAt, resumedAt, stalledAt, stallEndedAt atomic.Int64
	// storeContacted fires once the store has been asked for documents, membersLoaded once the
	// instance entries have been read or another instance has sent its whole state.
	storeContacted *signal
	// restored receives a value when the store has come back from a copy.
	restored      chan struct{}
	membersLoaded *signal
	// unlisted are the members whose entries were missing from the store at the last lookup.
	unlisted map[ident.Incarnation]bool
	// announced is set once this instance's entry has been written.
	announced atomic.Bool
}

// New returns a control state whose loop is not running yet; see [Control.Run].
func New(set Setup) *Control {
	ctl := &Control{set: set, loop: loop.New(set.Clock, func() { set.Meter.CountEvent(meter.EventDropped) }), storeContacted: newSignal(), membersLoaded: newSignal(), restored: make(chan struct{}, 1)}
	now := set.Clock.Now()
	ctl.startedAt = now
	ctl.list = member.New(set.Self, set.Zone, set.Caller, now)
	ctl.list.SetCapacity(set.Capacity)
	ctl.group = group.Group{
		Self: set.Self, List: ctl.list, Link: set.Link, Offer: ctl.loop.Offer, Go: ctl.loop.Go,
		Now: set.Clock.Now, Attach: ctl.attachState, OnMessage: ctl.receive,
	}
	ctl.docs.ctl, ctl.docs.doc.Position, ctl.docs.ignored = ctl, unread, unread
	ctl.docs.askedSince = never
	ctl.endpts = endptsCtl{ctl: ctl, leaving: map[ident.Process]clock.Milli{}, missingSince: -never, readAt: -never, ageSpread: rand.N(maxListAgeSpread)}
	ctl.facts = newFacts(ctl)
	ctl.evacs.ctl = ctl
	ctl.cold.ctl = ctl
	ctl.cold.released = func(zone string) (at clock.Milli, ok bool) { return ctl.evacs.set.Released(zone) }
	ctl.view.Store(&View{position: proto.Position{Offset: -1}})
	changed, confirmed := make(chan struct{}), make(chan struct{})
	ctl.viewChanged.Store(&changed)
	ctl.listConfirmed.Store(&confirmed)
	return ctl
}

// View returns the current view.
func (ctl *Control) View() *View { return ctl.view.Load() }

// WaitServable returns the current view. Within [startupWait] of the start it first waits for a
// view by which requests can be served: a caller that is refused meanwhile has used up one of its
// few attempts, and hundreds of callers that retry at once come on top of those that arrive then.
func (ctl *Control) WaitServable(ctx context.Context) *View {
	vw := ctl.View()
	left := startupWait - ctl.set.Clock.Since(ctl.startedAt)
	if vw.servable() || left <= 0 {
		return vw
	}
	return ctl.waitFor(ctx, left.Duration(), (*View).servable)
}

// Self returns the instance's identity.
func (ctl *Control) Self() ident.Incarnation { return ctl.set.Self }

// SetLoad sets the number of requests in flight that is reported to other instances.
func (ctl *Control) SetLoad(n int64) { ctl.load.Store(n) }

// SetSeeds replaces the addresses that are probed while no other instance is known.
func (ctl *Control) SetSeeds(seeds []string) {
	ctl.loop.Offer(func(clock.Milli) { ctl.set.Seeds = seeds })
}

// Run runs the control loop until the context ends, then waits for its workers.
func (ctl *Control) Run(ctx context.Context) {
	ctl.loop.Run(ctx, stepInterval, func() {
		ctl.loop.Go(ctl.docs.watch)
		ctl.loop.Go(ctl.endpts.poll)
		ctl.loop.Go(ctl.discover)
	}, ctl.step, ctl.publish)
}

func (ctl *Control) step(now clock.Milli) {
	ctl.recordStep(now)
	load := ctl.load.Load()
	if ctl.set.Relayed != nil {
		load += ctl.set.Relayed()
	}
	ctl.list.SetSelf(ctl.docs.doc.Offset, int(load), ctl.leaving, now)
	ctl.list.SetStale(ctl.docs.plan == nil || now-ctl.docs.asOf > staleAfter)
	if ctl.set.Blind != nil {
		ctl.list.SetBlind(ctl.set.Blind())
	}
	ctl.stepped = true
	ctl.isolated, ctl.minority = ctl.list.IsIsolated(now), ctl.list.IsMinority(now)
	ctl.group.Tick(now)
	ctl.endpts.step(now)
	ctl.facts.step(now)
	ctl.evacs.step(now)
	ctl.set.Meter.SetGauge(meter.GaugeLogAge, float64(now-ctl.docs.asOf))
	ctl.set.Meter.SetGauge(meter.GaugeEventQueue, float64(ctl.loop.QueueLen()))
}

// publish stores a new view. What is derived from the members alone is reused while they are
// unchanged: ranking them for every event took a quarter of the processor at 300 instances.
func (ctl *Control) publish(now clock.Milli) {
	ctl.cold.update(now)
	old := ctl.view.Load()
	vw := &View{
		plan: ctl.docs.plan, position: ctl.docs.doc.Position, storeEra: ctl.docs.eras.era, asOf: ctl.docs.asOf, endpoints: ctl.endpts.list, listed: ctl.endpts.listed, reads: ctl.endpts.reads, endpointsKnown: ctl.endpts.endpointsKnown(), factsKnown: ctl.facts.known, digest: old.digest, builds: old.builds, pastLists: old.pastLists,
		members: old.members, coordinators: old.coordinators, coordinatorSince: old.coordinatorSince, sources: old.sources, othersFresh: old.othersFresh,
		leaving: ctl.leaving, text: ctl.docs.doc.Text, answeredAt: ctl.docs.lastAnswer, storeDelay: ctl.docs.storeDelay, askedSince: ctl.docs.askedSince,
		evacuations: ctl.evacs.set, eligible: old.eligible, suspects: ctl.facts.suspects, served: ctl.facts.served, buildsKnown: ctl.facts.loaded, declared: ctl.facts.declared, brittlePools: findBrittlePools(ctl.endpts.list, ctl.facts.declared[gossip.DeclaredBrittle]),
		cold: ctl.cold.ends, coldPools: findColdPools(ctl.endpts.list, ctl.cold.ends), minority: ctl.minority,
	}
	if changed := ctl.list.Changes(); changed != ctl.rankedChanges || ctl.stepped {
		vw.members = ctl.list.All()
	}
	if changed := ctl.list.Changes(); changed != ctl.rankedChanges || ctl.dirty {
		ctl.rankedChanges = changed
		ctl.rankMembers(vw, now)
	}
	if ctl.isolated {
		// The others have another coordinator by now, and the next term begins with the contact.
		vw.coordinatorSince = maps.Clone(vw.coordinatorSince)
		for name := range vw.coordinatorSince {
			vw.coordinatorSince[name] = now
		}
	}
	if ctl.dirty {
		vw.eligible = withheld(ctl.evacs.set, vw.endpoints)
		vw.digest, vw.builds = digest(vw.endpoints), digestBuilds(vw.endpoints)
	}
	if vw.digest != old.digest || vw.builds != old.builds {
		vw.pastLists = appendPast(old.pastLists, endpointList{Digest: old.digest, Builds: old.builds, List: old.endpoints})
	}
	ctl.stepped = false
	ctl.logChanges(old, vw, now)
	ctl.view.Store(vw)
	if ctl.dirty {
		renew(&ctl.viewChanged)
	}
	if vw.listed.asOf > old.listed.asOf {
		renew(&ctl.listConfirmed)
	}
	if (ctl.dirty || ctl.noticesChanged) && ctl.set.OnChange != nil {
		ctl.set.OnChange(vw)
	}
	ctl.dirty, ctl.noticesChanged = false, false
}

// renew closes a channel and replaces it.
func renew(ptr *atomic.Pointer[chan struct{}]) {
	next := make(chan struct{})
	close(*ptr.Swap(&next))
}

// rankMembers sets the parts of a view that are derived from the members.
func (ctl *Control) rankMembers(vw *View, now clock.Milli) {
	vw.sources = sourcesOf(ctl.list.Owners(readersRankKey))
	vw.othersFresh = false
	for _, mbr := range vw.members {
		if mbr.ID() != ctl.set.Self && mbr.Status() == member.Alive && !mbr.Stale() {
			vw.othersFresh = true
		}
	}
	if vw.plan == nil {
		return
	}
	before := vw.coordinatorSince
	vw.coordinators = make(map[string][]ident.Incarnation, len(vw.plan.Pools()))
	vw.coordinatorSince = map[string]clock.Milli{}
	for name := range vw.plan.Pools() {
		vw.coordinators[name] = ctl.list.Owners(name)
		if list := vw.coordinators[name]; len(list) == 0 || list[0] != ctl.set.Self {
			continue
		}
		since, was := before[name]
		if !was {
			since = now
		}
		vw.coordinatorSince[name] = since
	}
}

// logChanges logs and measures what differs between two views.
func (ctl *Control) logChanges(old, vw *View, now clock.Milli) {
	if was, is := old.Ready(now), vw.Ready(now); was != is {
		ctl.set.Log.Info().Bool("ready", is).Int64("view_age_ms", int64(vw.Age(now))).
			Bool("others_fresh", vw.othersFresh).Bool("leaving", vw.leaving).Msg("readiness changed")
	}
	if len(old.members) != len(vw.members) {
		ctl.set.Log.Info().Int("before", len(old.members)).Int("members", len(vw.members)).Msg("members changed")
	}
	ctl.set.Meter.SetGauge(meter.GaugeMembers, float64(len(vw.members)))
	ctl.set.Meter.SetGauge(meter.GaugeApplied, float64(vw.Offset()))
}

// EndpointLeaving records that an endpoint is leaving, as it announced in an answer, or is gone.
func (ctl *Control) EndpointLeaving(id ident.Process, why string) {
	ctl.loop.Queue(func(now clock.Milli) {
		ctl.endpts.markLeaving(id, why, now)
		ctl.facts.recordLeaving(id, now)
	})
}

// Suspect reports that another instance did not answer a request, and has it probed.
func (ctl *Control) Suspect(who ident.Incarnation) {
	ctl.loop.Offer(func(now clock.Milli) { ctl.group.Suspect(who, now) })
}

// Leave starts a planned shutdown: the other instances are notified at once, and this instance is
// no longer offered to callers. It goes on serving.
func (ctl *Control) Leave(ctx context.Context) {
	ctl.loop.Do(ctx, func(now clock.Milli) {
		ctl.leaving = true
		ctl.step(now)
		for _, mbr := range ctl.list.All() {
			if mbr.ID() != ctl.set.Self {
				ctl.group.Probe(mbr.ID().Addr(), mbr.ID())
			}
		}
	})
}

// pause waits for a span; it returns false if the context ended first.
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
