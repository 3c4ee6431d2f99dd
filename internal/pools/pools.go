// Package pools holds what an instance knows of the pools for final calls, and chooses the endpoint
// of each call: model engines by prompt placement (package place), plain endpoints by the power of
// two choices (package route). It also keeps the retry budgets of the pools.
//
// What it knows of model engines serves two purposes: to place the prompts of a pool for all
// instances while this one is its coordinator, and to place the prompts of this instance while the
// coordinator does not answer.
package pools

import (
	"math/rand/v2"
	"slices"
	"sync"

	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/pace"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

const (
	// firstByteWeight is the weight of a new sample in the moving average of the time to first
	// byte.
	firstByteWeight = 0.2
	// firstByteDefault is that time in milliseconds before the first sample.
	firstByteDefault = 200.0
	// reserveShare is the part of the retry reserve of all instances that is divided among them;
	// the remainder covers instances that join and leave meanwhile.
	reserveShare = 0.8
)

// Setup configures [Pools].
type Setup struct {
	Clock clock.Clock
	Zone  string
	// RetryReserve is the number of retries that a pool may get within the budget's window from all
	// instances, in addition to the share RetryShare of its first attempts.
	RetryReserve float64
	RetryShare   float64
}

// Target is an endpoint chosen for a final call.
type Target struct {
	ID   ident.Process
	Addr string
	// Ticket identifies the call at a model engine; empty for plain endpoints.
	Ticket string
	// FetchFrom is the address of an engine from which this one can fetch cached parts of the
	// prompt.
	FetchFrom string
	// Full is set if all slots of a model engine are taken, as far as is known.
	Full bool
	// Waits is set if the request would wait at a model engine, for a slot or for memory.
	Waits bool
	// Build is the build of the endpoint's software, empty if it is unknown.
	Build string
	// Placement describes the choice of a model engine; empty if another instance made it.
	Placement place.Placement
}

// Pools holds the pools for final calls. It is safe for concurrent use and created by [New].
type Pools struct {
	set    Setup
	mtx    sync.Mutex
	byName map[string]*poolState
	// rates limits requests to endpoints that declare a rate, to the part that this instance may
	// use.
	rates limit.Rates
	// slots has the slots of brittle endpoints that this instance grants as the coordinator of their
	// pool.
	slots limit.Slots
	// firstBytes is the moving average of the time from a final call to its first byte, by route.
	firstBytes map[string]float64
}

// poolState is the state of one pool for final calls: model engines or plain endpoints.
type poolState struct {
	engines *place.Placer
	plain   *route.Pool
	budget  retry.Budget
	// ids are the IDs of all endpoints, builds the builds by ID of those that aren't leaving.
	ids    []string
	builds map[string]string
	// brittle is set if the endpoints fall over when they reject many requests.
	brittle bool
	// calls has the calls in flight, which are cancelled if their endpoint restarts.
	calls ident.RestartWatch
}

// New returns an empty set of pools.
func New(set Setup) *Pools {
	return &Pools{set: set, byName: map[string]*poolState{}, firstBytes: map[string]float64{}}
}

// Sync updates the pools from a view's plan and endpoints.
func (pls *Pools) Sync(vw *state.View) {
	pln := vw.Plan()
	if pln == nil {
		return
	}
	byPool := map[string][]proto.Endpoint{}
	for _, ep := range vw.Endpoints() {
		byPool[ep.Pool] = append(byPool[ep.Pool], ep)
	}
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pls.rates.Sync(vw.Rates())
	brittle := vw.BrittlePools()
	sizes := map[string]int{}
	for name, pol := range pln.Pools() {
		pst := pls.ensure(name, pol)
		pst.sync(byPool[name], pol.Engine())
		pst.setBrittle(brittle[name])
		if pst.brittle && pst.plain != nil {
			for _, ep := range byPool[name] {
				sizes[string(ep.ID)] = ep.Places
			}
		}
	}
	pls.slots.Sync(sizes)
}

// ensure returns the state of a pool, and creates it if it is missing or of another kind.
func (pls *Pools) ensure(name string, pol *plan.Pool) *poolState {
	pst, ok := pls.byName[name]
	if ok && (pst.engines != nil) == (pol.Engine() != nil) {
		return pst
	}
	pst = &poolState{budget: retry.NewBudget(pls.set.RetryShare, pls.set.RetryReserve)}
	if pol.Engine() != nil {
		pst.engines = &place.Placer{}
	} else {
		pst.plain = route.New(pls.set.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	pls.byName[name] = pst
	return pst
}

func (pst *poolState) sync(list []proto.Endpoint, spc *plan.DraftEngine) {
	pst.ids = pst.ids[:0]
	pst.builds = make(map[string]string, len(list))
	for _, ep := range list {
		pst.calls.RunListed(ep.ID)
		pst.ids = append(pst.ids, string(ep.ID))
		if !ep.Leaving {
			pst.builds[string(ep.ID)] = ep.Build
		}
	}
	if pst.engines != nil {
		engines := make([]place.Engine, len(list))
		for i, ep := range list {
			engines[i] = place.Engine{
				ID: string(ep.ID), Addr: ep.Addr, Zone: ep.Zone, Leaving: ep.Leaving, Withheld: ep.Withheld, Build: ep.Build, Slots: ep.Places, Memory: spc.Memory, Fetches: spc.Fetches,
			}
		}
		pst.engines.Sync(engines)
		return
	}
	plain := make([]route.Endpoint, len(list))
	for i, ep := range list {
		plain[i] = route.Endpoint{ID: string(ep.ID), Addr: ep.Addr, Zone: ep.Zone, Leaving: ep.Leaving, Withheld: ep.Withheld}
	}
	pst.plain.Sync(plain)
}

func (pst *poolState) setBrittle(brittle bool) {
	pst.brittle = brittle
	if pst.engines != nil {
		pst.engines.SetBrittle(brittle)
	}
}

// Pick chooses the endpoint of a final call at the moment of sending, by the state of this
// instance, and counts the request there under its ticket. share is the part of the endpoints'
// declared rates that this instance may use; with share 0, endpoints that declare a rate are left
// out.
func (pls *Pools) Pick(pool, ticket string, ask place.Ask, share float64) (Target, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	pst := pls.byName[pool]
	if pst == nil {
		return Target{}, false
	}
	ask.Avoid = slices.Concat(ask.Avoid, pls.rateLimited(pst, share, now))
	if pst.plain != nil {
		ep, ok := pst.plain.Pick(route.Ask{Avoid: ask.Avoid}, now)
		return pst.target(ep), ok
	}
	plc, ok := pst.engines.Pick(ask, now)
	if !ok {
		return Target{}, false
	}
	pls.rates.Take(plc.Engine.ID, share, now)
	tgt := pst.begin(plc.Engine, plc.FetchAddr, ticket, ask, now)
	tgt.Placement = plc
	return tgt, true
}

// Predict predicts the model engine that a request will go to, so that its stages can run in the
// same data centre; false if the pool has no engines. share is as for Pick.
func (pls *Pools) Predict(pool string, ask place.Ask, share float64) (place.Placement, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	if pst == nil || pst.engines == nil {
		return place.Placement{}, false
	}
	now := pls.set.Clock.Now()
	ask.Avoid = slices.Concat(ask.Avoid, pls.rateLimited(pst, share, now))
	return pst.engines.Pick(ask, now)
}

// Assign counts a request at an engine that another instance chose for it; false if that engine is
// unknown here, is leaving or withheld.
func (pls *Pools) Assign(pool, id, from, ticket string, ask place.Ask) (Target, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	pst := pls.byName[pool]
	if pst == nil || pst.engines == nil {
		return Target{}, false
	}
	eng, ok := pst.engines.Find(id)
	if !ok || eng.Leaving || eng.Withheld || ask.Build != "" && eng.Build != ask.Build {
		// Instances of earlier versions know no builds.
		return Target{}, false
	}
	return pst.begin(eng, from, ticket, ask, now), true
}

func (pst *poolState) begin(eng place.Engine, from, ticket string, ask place.Ask, now clock.Milli) Target {
	tgt := Target{ID: ident.Process(eng.ID), Addr: eng.Addr, Build: eng.Build, Ticket: ticket, FetchFrom: from, Full: pst.engines.Full(eng.ID, now), Waits: pst.engines.Waits(eng.ID, now)}
	pst.engines.Begin(eng.ID, ticket, ask.Prompt, ask.MaxGap, now)
	return tgt
}

// target returns a plain endpoint as a target.
func (pst *poolState) target(ep route.Endpoint) Target {
	return Target{ID: ident.Process(ep.ID), Addr: ep.Addr, Build: pst.builds[ep.ID]}
}

// Find returns the model engine with the given ID.
func (pls *Pools) Find(pool, id string) (place.Engine, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	if pst == nil || pst.engines == nil {
		return place.Engine{}, false
	}
	return pst.engines.Find(id)
}

// Usable reports whether a pool has endpoints that could be sent requests.
func (pls *Pools) Usable(name string) bool {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[name]
	switch {
	case pst == nil:
		return false
	case pst.plain != nil:
		return pst.plain.Usable() > 0
	}
	return pst.engines.Len() > 0
}

// Ejected lists the endpoints of a pool that are ejected for their failures, also if a probe of them is due.
func (pls *Pools) Ejected(pool string) []string {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	switch {
	case pst == nil:
		return nil
	case pst.engines != nil:
		return pst.engines.Ejected()
	}
	var list []string
	for _, ep := range pst.plain.EndpointStates() {
		if ep.Ejected {
			list = append(list, ep.ID)
		}
	}
	return list
}

// InFlight returns the number of requests of this instance in flight at a plain pool, for tests that wait for them.
func (pls *Pools) InFlight(pool string) int {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if pst := pls.byName[pool]; pst != nil && pst.plain != nil {
		return pst.plain.InFlight()
	}
	return 0
}

// HasUsable reports whether a plain pool has exactly this number of usable endpoints, for tests
// that wait for it.
func (pls *Pools) HasUsable(pool string, count int) bool {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	return pst != nil && pst.plain != nil && pst.plain.Usable() == count
}

// ReportLoad records the load that an endpoint reported, and returns the figure of its pace, zero for none. The
// pace that another process at its address reports is ignored.
func (pls *Pools) ReportLoad(pool string, id ident.Process, rep proto.ReplyMeta) pace.Figure {
	if !rep.HasLoad {
		return pace.Figure{}
	}
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	pst := pls.byName[pool]
	if pst != nil && pst.engines != nil {
		pst.engines.ReportLoad(string(id), rep.Load, now)
	}
	fig := pace.Figure{Percent: rep.Pace, At: now}
	if pst == nil || rep.Misdirected || !fig.IsValid() {
		return pace.Figure{}
	}
	if pst.plain != nil {
		pst.plain.ReportPace(string(id), fig)
	} else {
		pst.engines.ReportPace(string(id), fig)
	}
	return fig
}

// Pace returns by how much the reported pace of an endpoint scales its expected times at the moment, in percent;
// 100 without a report.
func (pls *Pools) Pace(pool string, id ident.Process) int {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst, now := pls.byName[pool], pls.set.Clock.Now()
	switch {
	case pst == nil:
		return pace.Usual
	case pst.plain != nil:
		return pst.plain.Pace(string(id), now)
	}
	return pst.engines.Pace(string(id), now)
}

// ReportPace records the pace of the model engine that a request was sent to, which another instance got.
func (pls *Pools) ReportPace(pool, ticket string, fig pace.Figure) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	if pst == nil || pst.engines == nil {
		return
	}
	if id, ok := pst.engines.EngineOf(ticket); ok {
		pst.engines.ReportPace(id, fig)
	}
}

// SetCached records which parts of prompts a model engine reported as cached.
func (pls *Pools) SetCached(pool string, id ident.Process, parts []place.Part) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if pst := pls.byName[pool]; pst != nil && pst.engines != nil {
		pst.engines.ReportCached(string(id), parts)
	}
}

// QueryFailed records that a model engine failed a query.
func (pls *Pools) QueryFailed(pool string, id ident.Process) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if pst := pls.byName[pool]; pst != nil && pst.engines != nil {
		pst.engines.MarkFailed(string(id), pls.set.Clock.Now())
	}
}

// FirstEvent records the first event of a request at a model engine, and the time from the sending of
// the request to this event.
func (pls *Pools) FirstEvent(pool, ticket string, took clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if pst := pls.byName[pool]; pst != nil && pst.engines != nil {
		pst.engines.FirstEvent(ticket, took, pls.set.Clock.Now())
	}
}

// End records the end of a request at a model engine, and the maximum gap between its events.
func (pls *Pools) End(pool, ticket string, end place.Ending, maxGap clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if pst := pls.byName[pool]; pst != nil && pst.engines != nil {
		pst.engines.End(ticket, end, maxGap, pls.set.Clock.Now())
	}
}

// Finish records the end of a request at a plain endpoint.
func (pls *Pools) Finish(pool string, id ident.Process, out route.Outcome, took clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if pst := pls.byName[pool]; pst != nil && pst.plain != nil {
		pst.plain.Finish(string(id), out, took, pls.set.Clock.Now())
	}
}

// Watch arranges that cancel is called if the endpoint of a call turns out to have restarted: the
// call is lost then. The returned function must be called when the call has ended.
func (pls *Pools) Watch(pool string, id ident.Process, cancel func()) (stop func()) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if pst := pls.byName[pool]; pst != nil {
		return pst.calls.Add(id, cancel)
	}
	return func() {}
}

// CountAttempt records a first attempt, which pays into the pool's retry budget.
func (pls *Pools) CountAttempt(pool string) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if pst := pls.byName[pool]; pst != nil {
		pst.budget.CountAttempt()
	}
}

// TakeRetry takes a retry from the pool's budget, and reports whether there was one. The reserve of
// all instances is divided among the live ones.
func (pls *Pools) TakeRetry(pool string, vw *state.View) bool {
	alive := 0
	for _, mbr := range vw.Members() {
		if mbr.Status() != member.Dead {
			alive++
		}
	}
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pst := pls.byName[pool]
	if pst == nil {
		return false
	}
	pst.budget.SetReserve(max(1, reserveShare*pls.set.RetryReserve/float64(max(alive, 1))))
	return pst.budget.Take()
}

// FirstByte returns the average time from a route's final call to its first byte.
func (pls *Pools) FirstByte(route string) clock.Milli {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if mean, ok := pls.firstBytes[route]; ok {
		return clock.Milli(mean)
	}
	return clock.Milli(firstByteDefault)
}

// RecordFirstByte records a time to first byte.
func (pls *Pools) RecordFirstByte(route string, took clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	mean, ok := pls.firstBytes[route]
	if !ok {
		mean = firstByteDefault
	}
	pls.firstBytes[route] = mean + firstByteWeight*(float64(took)-mean)
}
