// Package pools holds what an instance knows of the pools that final calls go to, and
// chooses the endpoint of each call: model engines by their prompts (package prefix),
// plain endpoints by two choices (package route). It keeps the pools' retry budgets.
package pools

import (
	"math/rand/v2"
	"sync"

	"amaranthvalve/internal/state"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/prefix"
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
	// Full tells that all places of a model engine are taken, as far as is known.
	Full bool
}

// Want is what a final call is to be placed by.
type Want struct {
	Prompt prefix.Prompt
	// Salt spreads requests that share nothing.
	Salt string
	// Aimed is the engine that was chosen beforehand; empty for none.
	Aimed string
	// Avoid lists the endpoints that were tried.
	Avoid []string
}

// Pools is safe for concurrent use. It is made by [New].
type Pools struct {
	set  Setup
	mtx  sync.Mutex
	byID map[string]*finals
	// firsts is the mean time from a final call to its first byte, by route.
	firsts map[string]float64
}

// finals is one pool that final calls go to: model engines or plain endpoints.
type finals struct {
	engines *prefix.Book
	plain   *route.Pool
	budget  retry.Budget
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
	for name, pol := range pln.Pools() {
		pls.pool(name, pol).sync(byPool[name])
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
		fnl.engines = &prefix.Book{}
	} else {
		fnl.plain = route.New(pls.set.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	pls.byID[name] = fnl
	return fnl
}

func (fnl *finals) sync(list []talk.Endpoint) {
	for _, ep := range list {
		fnl.under.Listed(ep.ID)
	}
	if fnl.engines != nil {
		engines := make([]prefix.Engine, len(list))
		for i, ep := range list {
			engines[i] = prefix.Engine{ID: string(ep.ID), Addr: ep.Addr, Zone: ep.Zone, Places: ep.Places, Leaving: ep.Leaving}
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

// Aim chooses the model engine that a request will probably go to, so that its results
// can be made near it; false if the pool has no engines.
func (pls *Pools) Aim(pool string, wnt Want) (prefix.Engine, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl := pls.byID[pool]
	if fnl == nil || fnl.engines == nil {
		return prefix.Engine{}, false
	}
	return fnl.engines.Pick(wnt.Prompt, wnt.Salt, nil, pls.set.Clock.Now())
}

// Pick chooses the endpoint of a final call at the moment of sending, and counts the
// request there. The engine aimed at is taken if it still may be.
func (pls *Pools) Pick(pool string, wnt Want) (Target, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	fnl := pls.byID[pool]
	if fnl == nil {
		return Target{}, false
	}
	if fnl.plain != nil {
		ep, ok := fnl.plain.Pick(route.Ask{Avoid: wnt.Avoid}, now)
		return Target{ID: ident.Process(ep.ID), Addr: ep.Addr}, ok
	}
	eng, ok := fnl.engines.Find(wnt.Aimed)
	if len(wnt.Avoid) > 0 || !ok || !fnl.engines.Usable(eng.ID, now) {
		eng, ok = fnl.engines.Pick(wnt.Prompt, wnt.Salt, wnt.Avoid, now)
	}
	full := ok && fnl.engines.Full(eng.ID, now)
	if ok {
		fnl.engines.Begin(eng.ID)
	}
	return Target{ID: ident.Process(eng.ID), Addr: eng.Addr, Full: full}, ok
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

// Finish notes the end of a request at an endpoint.
func (pls *Pools) Finish(pool string, id ident.Process, ver route.Verdict, took clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl, now := pls.byID[pool], pls.set.Clock.Now()
	switch {
	case fnl == nil:
	case fnl.plain != nil:
		fnl.plain.Finish(string(id), ver, took, now)
	case ver == route.Neutral:
		fnl.engines.Drop(string(id))
	default:
		fnl.engines.End(string(id), ver == route.Good, now)
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

// First gives the mean time from a route's final call to its first byte.
func (pls *Pools) First(route string) clock.Milli {
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
