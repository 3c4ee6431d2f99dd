package front

import (
	"math/rand/v2"
	"sync"

	"amaranthvalve/internal/state"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
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

// target is an endpoint picked for a final call.
type target struct {
	id   string
	addr string
	zone string
}

// pools holds what this instance knows of the pools that final calls go to.
type pools struct {
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
}

func newPools(set Setup) *pools {
	return &pools{set: set, byID: map[string]*finals{}, firsts: map[string]float64{}}
}

// sync takes a view's endpoints.
func (pls *pools) sync(vw *state.View) {
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
func (pls *pools) pool(name string, pol *plan.Pool) *finals {
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
	if fnl.engines != nil {
		engines := make([]prefix.Engine, len(list))
		for i, ep := range list {
			engines[i] = prefix.Engine{ID: ep.ID, Addr: ep.Addr, Zone: ep.Zone, Places: ep.Places, Leaving: ep.Leaving}
		}
		fnl.engines.Sync(engines)
		return
	}
	plain := make([]route.Endpoint, len(list))
	for i, ep := range list {
		plain[i] = route.Endpoint{ID: ep.ID, Addr: ep.Addr, Zone: ep.Zone, Leaving: ep.Leaving}
	}
	fnl.plain.Sync(plain)
}

// aim chooses the model engine that a request will probably go to, so that its
// results can be made near it.
func (pls *pools) aim(cl *call) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl := pls.byID[cl.pool.Name()]
	if fnl == nil || fnl.engines == nil {
		return
	}
	if eng, ok := fnl.engines.Pick(cl.prompt(), cl.ask.ID, nil, pls.set.Clock.Now()); ok {
		cl.engine = eng
	}
}

func (cl *call) prompt() prefix.Prompt {
	if cl.ask.Prompt == nil {
		return prefix.Prompt{}
	}
	return *cl.ask.Prompt
}

// pick chooses the endpoint of a final call at the moment of sending, and counts
// the request there. The engine aimed at is taken if it still may be.
func (pls *pools) pick(cl *call, avoid []string) (target, bool) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	now := pls.set.Clock.Now()
	fnl := pls.byID[cl.pool.Name()]
	if fnl == nil {
		return target{}, false
	}
	if fnl.plain != nil {
		ep, ok := fnl.plain.Pick(route.Ask{Avoid: avoid}, now)
		return target{id: ep.ID, addr: ep.Addr, zone: ep.Zone}, ok
	}
	eng, ok := fnl.engines.Find(cl.engine.ID)
	if len(avoid) > 0 || !ok || !fnl.engines.Usable(eng.ID, now) {
		eng, ok = fnl.engines.Pick(cl.prompt(), cl.ask.ID, avoid, now)
	}
	if ok {
		fnl.engines.Begin(eng.ID)
	}
	return target{id: eng.ID, addr: eng.Addr, zone: eng.Zone}, ok
}

// usable tells whether a pool has endpoints that could be sent work.
func (pls *pools) usable(name string) bool {
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
func (fr *Front) Knows(pool string, count int) bool {
	fr.pools.mtx.Lock()
	defer fr.pools.mtx.Unlock()
	fnl := fr.pools.byID[pool]
	return fnl != nil && fnl.plain != nil && fnl.plain.Usable() == count
}

// said notes an endpoint's own word on its load.
func (pls *pools) said(pool, id string, rep talk.Reply) {
	if !rep.HasLoad {
		return
	}
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if fnl := pls.byID[pool]; fnl != nil && fnl.engines != nil {
		fnl.engines.Said(id, rep.Load, pls.set.Clock.Now())
	}
}

// finish notes the end of a request at an endpoint.
func (pls *pools) finish(pool, id string, ver route.Verdict, took clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	fnl, now := pls.byID[pool], pls.set.Clock.Now()
	switch {
	case fnl == nil:
	case fnl.plain != nil:
		fnl.plain.Finish(id, ver, took, now)
	case ver == route.Neutral:
		fnl.engines.Drop(id)
	default:
		fnl.engines.End(id, ver == route.Good, now)
	}
}

// sent notes a first attempt, which pays into the pool's budget.
func (pls *pools) sent(pool string) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if fnl := pls.byID[pool]; fnl != nil {
		fnl.budget.First()
	}
}

// repeat asks for a further attempt. What all instances may do together is divided
// among those that are known.
func (pls *pools) repeat(pool string, vw *state.View) bool {
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

// first gives the mean time from a route's final call to its first byte.
func (pls *pools) first(route string) clock.Milli {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	if mean, ok := pls.firsts[route]; ok {
		return clock.Milli(mean)
	}
	return clock.Milli(firstGuess)
}

// began notes a time to a first byte.
func (pls *pools) began(route string, took clock.Milli) {
	pls.mtx.Lock()
	defer pls.mtx.Unlock()
	mean, ok := pls.firsts[route]
	if !ok {
		mean = firstGuess
	}
	pls.firsts[route] = mean + firstShare*(float64(took)-mean)
}
