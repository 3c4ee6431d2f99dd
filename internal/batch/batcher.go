package batch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// Setup holds the dependencies and settings of a [Desk].
type Setup struct {
	Dialect *talk.Dialect
	Client  *http.Client
	Clock   clock.Clock
	Meter   *meter.Meter
	Log     zerolog.Logger
	// Share is the fraction of a pool's items that may be recomputed after their results were lost.
	// Beyond it, at most Reserve items are retried in each Window: half of them may be retried in
	// one burst, the other half becomes available at an even rate.
	Share   float64
	Reserve float64
	Window  clock.Milli
	// Fetched is called with inputs that all their consumers have fetched, so that they can be
	// released.
	Fetched func(lots []Lot)
	// After runs work after a delay; nil selects the runtime's timers.
	After func(span clock.Milli, work func())
	// Gone is called for an endpoint at whose address another endpoint answers.
	Gone func(id ident.Process, why string)
	// Ended reports whether the process at an address has crashed or exited; nil disables the
	// check.
	Ended func(ctx context.Context, addr string) bool
	// Keeps returns the fraction of the declared rates of a pool's endpoints that this instance may
	// use; nil selects all of it.
	Keeps func(pool string) float64
}

// Desk batches the items of all pools that this instance coordinates.
type Desk struct {
	set   Setup
	mtx   sync.Mutex
	pools map[string]*pool
}

// New returns a batcher without pools.
func New(set Setup) *Desk {
	if set.After == nil {
		set.After = afterFunc
	}
	return &Desk{set: set, pools: map[string]*pool{}}
}

// Sync updates the pools of a plan, the known endpoints, and the declared rates of some of these,
// in requests per second.
func (btr *Desk) Sync(pln *plan.Plan, endpoints []talk.Endpoint, rates map[string]float64) {
	if pln == nil {
		return
	}
	makers := map[string][]gather.Maker{}
	for _, ep := range endpoints {
		makers[ep.Pool] = append(makers[ep.Pool], gather.Maker{ID: string(ep.ID), Addr: ep.Addr, Zone: ep.Zone, Leaving: ep.Leaving})
	}
	for name, pol := range pln.Pools() {
		if spc := pol.Batch(); spc != nil {
			btr.pool(name).sync(*spc, makers[name], rates)
		}
	}
}

func (btr *Desk) pool(name string) *pool {
	btr.mtx.Lock()
	defer btr.mtx.Unlock()
	pol, ok := btr.pools[name]
	if !ok {
		pol = newPool(name, btr.set)
		btr.pools[name] = pol
	}
	return pol
}

// Make fills an order. It returns when all items are done, when one has failed for good, or when
// the context ends; in the last two cases the results made so far are released.
func (btr *Desk) Make(ctx context.Context, ask Order) Filled {
	return btr.pool(ask.Pool).fill(ctx, ask)
}

// Free releases results at the endpoints that hold them.
func (btr *Desk) Free(rrq Freed) { btr.pool(rrq.Pool).free(rrq.Results) }

// Wait estimates how long an item added now would wait in a pool coordinated by this instance.
func (btr *Desk) Wait(name string) clock.Milli { return btr.pool(name).wait() }

func afterFunc(span clock.Milli, work func()) { time.AfterFunc(span.Duration(), work) }
