package state

import (
	"slices"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/evac"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/pkg/reach"
)

// View is the control state as seen by requests. It is immutable.
type View struct {
	plan      *plan.Plan
	position  proto.Position
	storeEra  int64
	asOf      clock.Milli
	endpoints []proto.Endpoint
	// listed tells where the endpoints come from.
	listed provenance
	reads  reads
	// evacuations are the evacuated data centres, and eligible are the endpoints with those there withheld,
	// nil if there are none.
	evacuations evac.Set
	eligible    []proto.Endpoint
	// digest identifies the list of endpoints, builds their builds; pastLists has earlier lists.
	digest    uint64
	builds    uint64
	pastLists []endpointList
	// endpointsKnown is set if endpoints were read, or received from another instance.
	endpointsKnown bool
	// factsKnown is set once the facts in the store have been read, or could not be.
	factsKnown   bool
	members      []member.Member
	coordinators map[string][]ident.Incarnation
	// coordinatorSince has the pools that this instance coordinates, with the time since when.
	coordinatorSince map[string]clock.Milli
	// answeredAt is when the store last answered, storeDelay how much longer than the requested hold
	// that took.
	answeredAt  clock.Milli
	storeDelay  clock.Milli
	askedSince  clock.Milli
	sources     sources
	text        []byte
	leaving     bool
	othersFresh bool
	suspects    *poison.List
	declared    map[gossip.Kind]declaredBy
	// brittlePools has the pools with brittle endpoints.
	brittlePools map[string]bool
	// served are the builds that endpoints had lately; buildsKnown is set if these include the builds from before
	// this instance started.
	served      servedBuilds
	buildsKnown bool
	cold        map[ident.Process]coldEnd
	// coldPools has the pools with cold endpoints.
	coldPools map[string]bool
	// minority is set while this instance may be partitioned from a majority of the others.
	minority bool
}

// ViewOf returns a view with a plan and endpoints only, for decisions made without a control loop.
func ViewOf(pln *plan.Plan, endpoints ...proto.Endpoint) *View {
	return &View{plan: pln, endpoints: endpoints, endpointsKnown: true, factsKnown: true, position: proto.Position{Offset: -1}}
}

// WithEvacuated returns a copy of the view in which data centres are evacuated, for decisions made without a
// control loop.
func (vw *View) WithEvacuated(zones ...string) *View {
	cpy := *vw
	cpy.evacuations, _ = evac.Set{}.Apply(evac.Named(evac.Position{End: 1}, zones...), 0, 0)
	cpy.eligible = withheld(cpy.evacuations, cpy.endpoints)
	return &cpy
}

// WithBrittlePool returns a copy of the view in which the endpoints of a pool are brittle and the pool has
// these coordinators, the first of them for long, for decisions made without a control loop.
func (vw *View) WithBrittlePool(pool string, coordinators ...ident.Incarnation) *View {
	return vw.WithBrittlePools([]string{pool}, coordinators...)
}

// WithBrittlePools is WithBrittlePool for several pools.
func (vw *View) WithBrittlePools(pools []string, coordinators ...ident.Incarnation) *View {
	cpy := *vw
	cpy.brittlePools, cpy.coordinators, cpy.coordinatorSince = map[string]bool{}, map[string][]ident.Incarnation{}, map[string]clock.Milli{}
	for _, pool := range pools {
		cpy.brittlePools[pool], cpy.coordinators[pool], cpy.coordinatorSince[pool] = true, coordinators, 0
	}
	return &cpy
}

// WithCoordinators returns a copy of the view in which pools have these coordinators, the first of them for long,
// for decisions made without a control loop.
func (vw *View) WithCoordinators(pools []string, coordinators ...ident.Incarnation) *View {
	cpy := vw.WithBrittlePools(pools, coordinators...)
	cpy.brittlePools = nil
	return cpy
}

// WithCoordinatorSince returns a copy of the view in which this instance coordinates a pool since the given
// time, for decisions made without a control loop.
func (vw *View) WithCoordinatorSince(pool string, since clock.Milli) *View {
	cpy := *vw
	cpy.coordinatorSince = map[string]clock.Milli{pool: since}
	return &cpy
}

// WithRates returns a copy of the view in which endpoints declare rates, in requests a second, for decisions made
// without a control loop.
func (vw *View) WithRates(perSecond map[ident.Process]float64) *View {
	cpy := *vw
	rates := declaredBy{}
	for id, rate := range perSecond {
		rates[id] = declared{value: rate}
	}
	cpy.declared = map[gossip.Kind]declaredBy{gossip.DeclaredRate: rates}
	return &cpy
}

// WithCold returns a copy of the view in which endpoints are cold until the given time and tolerate perSecond requests
// a second, for decisions made without a control loop.
func (vw *View) WithCold(until clock.Milli, perSecond float64, ids ...ident.Process) *View {
	cpy := *vw
	cpy.cold = map[ident.Process]coldEnd{}
	for _, id := range ids {
		cpy.cold[id] = coldEnd{until: until, perSecond: perSecond}
	}
	cpy.coldPools = findColdPools(cpy.endpoints, cpy.cold)
	return &cpy
}

// WithMembers returns a copy of the view with these members, for decisions made without a control loop.
func (vw *View) WithMembers(members ...member.Member) *View {
	cpy := *vw
	cpy.members = members
	return &cpy
}

// Plan returns the plan in force, nil while none is known.
func (vw *View) Plan() *plan.Plan { return vw.plan }

// Offset returns the offset of the documents in the store.
func (vw *View) Offset() int64 { return vw.position.Offset }

// Age returns how long ago the documents were known to be the newest.
func (vw *View) Age(now clock.Milli) clock.Milli { return now - vw.asOf }

// Members returns the instances that are not dead.
func (vw *View) Members() []member.Member { return vw.members }

// Relays returns the instances that may relay connections to endpoints for another one: they are
// alive and reach endpoints themselves.
func (vw *View) Relays(self ident.Incarnation) []reach.Relay {
	var list []reach.Relay
	for _, mbr := range vw.members {
		if mbr.ID() != self && mbr.Status() == member.Alive && mbr.ReachesEndpoints() {
			list = append(list, reach.Relay{ID: mbr.ID(), Zone: mbr.Zone(), Load: mbr.Load(), Capacity: mbr.Capacity()})
		}
	}
	return list
}

// Endpoints returns all endpoints.
func (vw *View) Endpoints() []proto.Endpoint {
	if vw.eligible != nil {
		return vw.eligible
	}
	return vw.endpoints
}

// IsLeaving reports whether an endpoint is leaving: it announced that, or has no entry. An endpoint
// that has ended keeps its entry for some seconds.
func (vw *View) IsLeaving(id ident.Process) bool {
	ep, ok := find(vw.endpoints, id)
	return !ok || ep.Leaving
}

// HasLeft reports whether the endpoints at an address are all leaving or gone.
func (vw *View) HasLeft(addr string) bool {
	return !slices.ContainsFunc(vw.endpoints, func(ep proto.Endpoint) bool { return ep.Addr == addr && !ep.Leaving })
}

// Build returns the build of an endpoint, empty if it is unknown.
func (vw *View) Build(id ident.Process) string {
	ep, _ := find(vw.endpoints, id)
	return ep.Build
}

// Coordinators returns the instances in the order in which they coordinate a pool: the first one
// batches its items or places its prompts, and owns the rates of its endpoints; if it is
// unresponsive, the next one does.
func (vw *View) Coordinators(pool string) []ident.Incarnation { return vw.coordinators[pool] }

// CoordinatorSince returns since when this instance has been the first coordinator of a pool; false if
// it is not.
func (vw *View) CoordinatorSince(pool string) (since clock.Milli, ok bool) {
	since, ok = vw.coordinatorSince[pool]
	return since, ok
}

// Suspects returns the fingerprints of requests under which endpoints have crashed.
func (vw *View) Suspects() *poison.List { return vw.suspects }

// Leaving reports whether a planned shutdown is in progress.
func (vw *View) Leaving() bool { return vw.leaving }

// servable reports whether requests can be served by the view: an instance that has just started
// knows the documents before the endpoints, and both before the requests that are quarantined.
func (vw *View) servable() bool { return vw.plan != nil && vw.endpointsKnown && vw.factsKnown }

// storeSilence returns how long the store has not answered this instance, beyond its usual delay, since the
// instance began to ask it. One that follows another instance has no recent answer to hand on.
func (vw *View) storeSilence(now clock.Milli) clock.Milli {
	since := vw.answeredAt
	if vw.askedSince != never {
		since = max(since, vw.askedSince)
	}
	return max(now-since-vw.storeDelay, 0)
}

// Ready reports whether callers should be sent here. An instance whose documents may be outdated is
// not ready while another one has current ones; when none has, as in an outage of the store, all
// stay ready with the documents they have.
func (vw *View) Ready(now clock.Milli) bool {
	if vw.plan == nil || vw.leaving {
		return false
	}
	return vw.Age(now) <= staleAfter || !vw.othersFresh
}
