package stage

import (
	"context"
	"math/rand/v2"
	"sync"

	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/retry"
	"amaranthvalve/pkg/route"
)

// comeBack is the base span after which a refused caller may come back.
const comeBack = 500 * clock.Milli(1)

// pool joins the decisions about one pool of endpoints: routing, queue and
// retry budget. Its lock is held for decisions only, never across a call.
type pool struct {
	mtx sync.Mutex
	rt  *route.Pool
	que admit.Queue
	bdg retry.Budget
	rng *rand.Rand
}

type grant struct {
	ep route.Endpoint
	ok bool
}

func newPool(zone string) *pool {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &pool{rt: route.New(zone, rng), rng: rng}
}

// acquire takes a place at an endpoint, waiting in line if it must. The result
// is pending when a place was taken.
func (pl *pool) acquire(ctx context.Context, ask route.Ask, adm admit.Ask, clk clock.Clock) (route.Endpoint, outcm.Result) {
	pl.mtx.Lock()
	if pl.rt.Usable() == 0 {
		pl.mtx.Unlock()
		return route.Endpoint{}, pl.refuse(outcm.NoEndpoint, "the pool has no endpoint that takes work")
	}
	if pl.que.Len() == 0 {
		if ep, ok := pl.rt.Pick(ask, clk.Now()); ok {
			pl.mtx.Unlock()
			return ep, outcm.Result{}
		}
	}
	granted := make(chan grant, 1)
	tkt, ver := pl.que.Join(adm, clk.Now(), func(served bool) { granted <- pl.give(ask, served, clk.Now()) })
	pl.mtx.Unlock()
	switch ver {
	case admit.Full:
		return route.Endpoint{}, pl.refuse(outcm.QueueFull, "the pool's queue is full")
	case admit.TooLate:
		return route.Endpoint{}, pl.refuse(outcm.DeadlineTooShort, "the wait ahead exceeds the deadline")
	}
	return pl.wait(ctx, tkt, granted)
}

// give is called under the lock, when a waiting request's turn has come.
func (pl *pool) give(ask route.Ask, served bool, now clock.Milli) grant {
	if !served {
		return grant{}
	}
	ep, ok := pl.rt.Pick(ask, now)
	if !ok && len(ask.Avoid) > 0 {
		// Only endpoints that were tried before are free: better one of those
		// than none.
		ep, ok = pl.rt.Pick(route.Ask{Prefix: ask.Prefix}, now)
	}
	return grant{ep: ep, ok: ok}
}

func (pl *pool) wait(ctx context.Context, tkt *admit.Ticket, granted chan grant) (route.Endpoint, outcm.Result) {
	select {
	case grt := <-granted:
		if !grt.ok {
			return route.Endpoint{}, pl.refuse(outcm.DeadlineTooShort, "no place was free in time")
		}
		return grt.ep, outcm.Result{}
	case <-ctx.Done():
	}
	pl.mtx.Lock()
	pl.que.Leave(tkt)
	pl.mtx.Unlock()
	select {
	case grt := <-granted:
		// The turn came in the same moment: hand the place back.
		if grt.ok {
			pl.finish(grt.ep.ID, route.Neutral, 0, 0)
		}
	default:
	}
	return route.Endpoint{}, gone(ctx)
}

// gone tells why a request's context ended before anything was sent.
func gone(ctx context.Context) outcm.Result {
	if ctx.Err() == context.DeadlineExceeded {
		return outcm.New(outcm.NotRun, outcm.DeadlinePassed, "the deadline passed while waiting")
	}
	return outcm.New(outcm.NotRun, outcm.CallerGone, "the caller went away")
}

func (pl *pool) refuse(rs outcm.Reason, detail string) outcm.Result {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	return outcm.Refuse(rs, retry.After(comeBack, 1, pl.rng), detail)
}

// finish gives a place back and serves those who wait.
func (pl *pool) finish(id string, ver route.Verdict, took, now clock.Milli) {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.rt.Finish(id, ver, took, now)
	pl.serve(now)
}

// serve hands out free places; the lock is held.
func (pl *pool) serve(now clock.Milli) {
	served := true
	for served && pl.rt.Room(route.Ask{}) {
		served = pl.que.Serve(now)
	}
	pl.que.Expire(now)
}

// tick gives up late requests and lets benched endpoints be probed.
func (pl *pool) tick(now clock.Milli) {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.serve(now)
}

func (pl *pool) mayRetry() bool {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	return pl.bdg.Take()
}

func (pl *pool) first() {
	pl.mtx.Lock()
	defer pl.mtx.Unlock()
	pl.bdg.First()
}
