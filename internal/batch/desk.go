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

// Setup is what a desk is made of.
type Setup struct {
	Dialect *talk.Dialect
	Client  *http.Client
	Clock   clock.Clock
	Meter   *meter.Meter
	Log     zerolog.Logger
	// Share is the part of a pool's pieces that may be made again when their results were
	// lost. Beyond it, in each Window at most Reserve pieces are sent again. Half of
	// them may be at once; the other half comes back evenly.
	Share   float64
	Reserve float64
	Window  clock.Milli
	// Fetched is told of results that have been fetched by all that take them, to be
	// given back.
	Fetched func(lots []Lot)
	// After runs work once a span has passed; nil for the runtime's timers.
	After func(span clock.Milli, work func())
	// Gone is told of an endpoint whose address answers as another one.
	Gone func(id ident.Process, why string)
	// Ended tells whether the process at an address has ended; nil if it can't be told.
	Ended func(ctx context.Context, addr string) bool
	// Keeps gives the part of the rates of a pool's endpoints that this instance may send; nil
	// for all.
	Keeps func(pool string) float64
}

// Desk gathers the pieces of all pools that fall to this instance.
type Desk struct {
	set   Setup
	mtx   sync.Mutex
	pools map[string]*pool
}

// New returns a desk without pools.
func New(set Setup) *Desk {
	if set.After == nil {
		set.After = afterFunc
	}
	return &Desk{set: set, pools: map[string]*pool{}}
}

// Sync takes the pools of a plan, the endpoints that are known, and the rates that some of these
// name, in requests a second.
func (dsk *Desk) Sync(pln *plan.Plan, endpoints []talk.Endpoint, rates map[string]float64) {
	if pln == nil {
		return
	}
	makers := map[string][]gather.Maker{}
	for _, ep := range endpoints {
		makers[ep.Pool] = append(makers[ep.Pool], gather.Maker{ID: string(ep.ID), Addr: ep.Addr, Zone: ep.Zone, Leaving: ep.Leaving})
	}
	for name, pol := range pln.Pools() {
		if spc := pol.Batch(); spc != nil {
			dsk.pool(name).sync(*spc, makers[name], rates)
		}
	}
}

func (dsk *Desk) pool(name string) *pool {
	dsk.mtx.Lock()
	defer dsk.mtx.Unlock()
	pol, ok := dsk.pools[name]
	if !ok {
		pol = newPool(name, dsk.set)
		dsk.pools[name] = pol
	}
	return pol
}

// Make has an order filled. It returns when all pieces are made, when one can't
// be, or when the context ends; then what was made is given back.
func (dsk *Desk) Make(ctx context.Context, ask Order) Filled {
	return dsk.pool(ask.Pool).fill(ctx, ask)
}

// Free gives results back to their makers.
func (dsk *Desk) Free(frd Freed) { dsk.pool(frd.Pool).free(frd.Results) }

// Wait estimates how long a piece added now would wait, for a pool that is
// gathered here.
func (dsk *Desk) Wait(name string) clock.Milli { return dsk.pool(name).wait() }

func afterFunc(span clock.Milli, work func()) { time.AfterFunc(span.Duration(), work) }
