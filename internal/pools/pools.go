// Package pools holds what an instance knows of the pools that final calls go to, and
// chooses the endpoint of each call: model engines by their prompts (package place),
// plain endpoints by two choices (package route). It keeps the pools' retry budgets.
//
// What it knows of model engines is of use twice: while this instance places a pool's prompts
// for all, and when the one that does so doesn't answer.
package pools

import (
	"math/rand/v2"
	"slices"
	"sync"

	"amaranthvalve/internal/state"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

const (
	// firstShare is the weight of a new time in the mean time to a first byte.
	firstShare = 0.2
	// firstGuess is that time before one was measured.
	firstGuess = 200.0
	// keptReserve is the part of the repeats of all instances that is divided
	// among them; what is left covers those that come and go meanwhile.
	keptReserve = 0.8
)

// Setup is what pools are made of.
type Setup struct {
	Clock clock.Clock
	Zone  string
	// Repeats is how many requests a pool may get again in a while, from all
	// instances, beyond the share of RepeatShare of its first ones.
	Repeats     float64
	RepeatShare float64
}

// Target is an endpoint picked for a final call.
type Target struct {
	ID   ident.Process
	Addr string
	// Ticket names the call at a model engine; empty for plain endpoints.
	Ticket string
	// From is the address of an engine from which this one can fetch parts of the prompt.
	From string
	// Full tells that all places of a model engine are taken, as far as is known.
	Full bool
	// Why is what a model engine was chosen by; empty if another instance chose it.
	Why place.Seat
}

// Pools is safe for concurrent use. It is made by [New].
type Pools struct {
	set  Setup
	mtx  sync.Mutex
	byID map[string]*finals
	// rates spaces requests to endpoints that name one, as far as this instance keeps them.
	rates limit.Rates
	// firsts is the mean time from a final call to its first byte, by route.
	firsts map[string]float64
}

// finals is one pool that final calls go to: model engines or plain endpoints.
type finals struct {
	engines *place.Book
	plain   *route.Pool
	budget  retry.Budget
	// ids are the names of all endpoints.
	ids []string
	// under are the calls under way.
	under ident.Watch
}

// New returns no pools.
func New(set Setup) *Pools {
	return &Pools{set: set, byID: map[string]*finals{}, firsts: map[string]float64{}}
}

// Sync takes a view's endpoints.
func (pls *Pools) Sync(vw *state.View) {
	pln := vw.Plan()
	if pln == nil {
		return
	}
	byPool := map[string][]talk.Endpoint{}
	for _, ep := range vw.Endpoints() {
		byPool[ep.Pool] = append(byPool[ep.Pool], ep)
	}
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	pls.rates.Sync(vw.Rates())
	for name, pol := range pln.Pools() {
		pls.pool(name, pol).sync(byPool[name], pol.Engine())
	}
}

// pool finds a pool, or makes it of its kind.
func (pls *Pools) pool(name string, pol *plan.Pool) *finals {
	fnl, ok := pls.byID[name]
	if ok && (fnl.engines != nil) == (pol.Engine() != nil) {
		return fnl
	}
	fnl = &finals{budget: retry.NewBudget(pls.set.RepeatShare, pls.set.Repeats)}
	if pol.Engine() != nil {
		fnl.engines = &place.Book{}
	} else {
		fnl.plain = route.New(pls.set.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	pls.byID[name] = fnl
	return fnl
}

func (fnl *finals) sync(list []talk.Endpoint, spc *plan.DraftEngine) {
	fnl.ids = fnl.ids[:0]
	for _, ep := range list {
		fnl.under.Listed(ep.ID)
		fnl.ids = append(fnl.ids, string(ep.ID))
	}
	if fnl.engines != nil {
		engines := make([]place.Engine, len(list))
		for i, ep := range list {
			engines[i] = place.Engine{
				ID: string(ep.ID), Addr: ep.Addr, Zone: ep.Zone, Leaving: ep.Leaving, Places: ep.Places, Memory: spc.Memory, Fetches: spc.Fetches,
			}
		}
		fnl.engines.Sync(engines)
		return
	}
	plain := make([]route.Endpoint, len(list))
	for i, ep := range list {
		plain[i] = route.Endpoint{ID: string(ep.ID), Addr: ep.Addr, Zone: ep.Zone, Leaving: ep.Leaving}
	}
	fnl.plain.Sync(plain)
}

// Pick chooses the endpoint of a final call at the moment of sending, by what this instance
// knows, and counts the request there under its ticket. share is the part of the endpoints'
// rates that this instance may send; with none, endpoints that name one are left out.
func (pls *Pools) Pick(pool, ticket string, ask place.Ask, share float64) (Target, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	fnl := pls.byID[pool]
	if fnl == nil {
		return Target{}, false
	}
	ask.Avoid = slices.Concat(ask.Avoid, pls.closed(fnl, share, now))
	if fnl.plain != nil {
		ep, ok := fnl.plain.Pick(route.Ask{Avoid: ask.Avoid}, now)
		return Target{ID: ident.Process(ep.ID), Addr: ep.Addr}, ok
	}
	seat, ok := fnl.engines.Pick(ask, now)
	if !ok {
		return Target{}, false
	}
	pls.rates.Take(seat.Engine.ID, share, now)
	tgt := fnl.take(seat.Engine, seat.From, ticket, ask, now)
	tgt.Why = seat
	return tgt, true
}

// Aim chooses the model engine that a request will probably go to, so that its results
// can be made near it; false if the pool has no engines. share is as for Pick.
func (pls *Pools) Aim(pool string, ask place.Ask, share float64) (place.Seat, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl := pls.byID[pool]
	if fnl == nil || fnl.engines == nil {
		return place.Seat{}, false
	}
	now := pls.set.Clock.Now()
	ask.Avoid = slices.Concat(ask.Avoid, pls.closed(fnl, share, now))
	return fnl.engines.Pick(ask, now)
}

// Take counts a request at an engine that another instance chose for it; false if that
// engine isn't known here, or shouldn't be sent anything.
func (pls *Pools) Take(pool, id, from, ticket string, ask place.Ask) (Target, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	fnl := pls.byID[pool]
	if fnl == nil || fnl.engines == nil {
		return Target{}, false
	}
	eng, ok := fnl.engines.Find(id)
	if !ok || eng.Leaving {
		return Target{}, false
	}
	return fnl.take(eng, from, ticket, ask, now), true
}

func (fnl *finals) take(eng place.Engine, from, ticket string, ask place.Ask, now clock.Milli) Target {
	tgt := Target{ID: ident.Process(eng.ID), Addr: eng.Addr, Ticket: ticket, From: from, Full: fnl.engines.Full(eng.ID, now)}
	fnl.engines.Begin(eng.ID, ticket, ask.Prompt, ask.Gap, now)
	return tgt
}

// Find gives a model engine by its name.
func (pls *Pools) Find(pool, id string) (place.Engine, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl := pls.byID[pool]
	if fnl == nil || fnl.engines == nil {
		return place.Engine{}, false
	}
	return fnl.engines.Find(id)
}

// Usable tells whether a pool has endpoints that could be sent work.
func (pls *Pools) Usable(name string) bool {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl := pls.byID[name]
	switch {
	case fnl == nil:
		return false
	case fnl.plain != nil:
		return fnl.plain.Usable() > 0
	}
	return fnl.engines.Len() > 0
}

// Knows tells whether a plain pool has so many endpoints that may be sent work, for
// tests that wait for it.
func (pls *Pools) Knows(pool string, count int) bool {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl := pls.byID[pool]
	return fnl != nil && fnl.plain != nil && fnl.plain.Usable() == count
}

// Said notes an endpoint's own word on its load.
func (pls *Pools) Said(pool string, id ident.Process, rep talk.Reply) {
	if !rep.HasLoad {
		return
	}
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if fnl := pls.byID[pool]; fnl != nil && fnl.engines != nil {
		fnl.engines.Said(string(id), rep.Load, pls.set.Clock.Now())
	}
}

// Holds notes what a model engine said that it holds of prompts.
func (pls *Pools) Holds(pool string, id ident.Process, parts []place.Part) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if fnl := pls.byID[pool]; fnl != nil && fnl.engines != nil {
		fnl.engines.Holds(string(id), parts)
	}
}

// First notes the first event of a request at a model engine, and how long after its
// sending it came.
func (pls *Pools) First(pool, ticket string, took clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if fnl := pls.byID[pool]; fnl != nil && fnl.engines != nil {
		fnl.engines.First(ticket, took, pls.set.Clock.Now())
	}
}

// End notes the end of a request at a model engine, and the longest pause between events.
func (pls *Pools) End(pool, ticket string, end place.Ending, pause clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if fnl := pls.byID[pool]; fnl != nil && fnl.engines != nil {
		fnl.engines.End(ticket, end, pause, pls.set.Clock.Now())
	}
}

// Finish notes the end of a request at a plain endpoint.
func (pls *Pools) Finish(pool string, id ident.Process, ver route.Verdict, took clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if fnl := pls.byID[pool]; fnl != nil && fnl.plain != nil {
		fnl.plain.Finish(string(id), ver, took, pls.set.Clock.Now())
	}
}

// Watch has cancel called if a call's endpoint turns out to have started again: nothing of
// the call is there any more. It gives what is to be called when the call has ended.
func (pls *Pools) Watch(pool string, id ident.Process, cancel func()) (stop func()) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if fnl := pls.byID[pool]; fnl != nil {
		return fnl.under.Watch(id, cancel)
	}
	return func() {}
}

// Sent notes a first attempt, which pays into the pool's budget.
func (pls *Pools) Sent(pool string) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if fnl := pls.byID[pool]; fnl != nil {
		fnl.budget.First()
	}
}

// Repeat asks for a further attempt. What all instances may do together is divided
// among those that are known.
func (pls *Pools) Repeat(pool string, vw *state.View) bool {
	alive := 0
	for _, mbr := range vw.Members() {
		if mbr.Status() != member.Dead {
			alive++
		}
	}
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl := pls.byID[pool]
	if fnl == nil {
		return false
	}
	fnl.budget.SetReserve(max(1, keptReserve*pls.set.Repeats/float64(max(alive, 1))))
	return fnl.budget.Take()
}

// FirstByte gives the mean time from a route's final call to its first byte.
func (pls *Pools) FirstByte(route string) clock.Milli {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if mean, ok := pls.firsts[route]; ok {
		return clock.Milli(mean)
	}
	return clock.Milli(firstGuess)
}

// Began notes a time to a first byte.
func (pls *Pools) Began(route string, took clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	mean, ok := pls.firsts[route]
	if !ok {
		mean = firstGuess
	}
	pls.firsts[route] = mean + firstShare*(float64(took)-mean)
}
