package batch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// Setup holds the dependencies and settings of a [Batcher].
type Setup struct {
	Dialect *proto.Dialect
	// Client is for calls that may share connections; BatchClient is for batches, whose answers don't name
	// them, and shares none.
	Client      *http.Client
	BatchClient *http.Client
	Clock       clock.Clock
	Meter       *meter.Meter
	Log         zerolog.Logger
	// Share is the fraction of a pool's items that may be recomputed after their results were lost.
	// Beyond it, at most Reserve items are retried in each Window: half of them may be retried in
	// one burst, the other half becomes available at an even rate.
	Share   float64
	Reserve float64
	Window  clock.Milli
	// OnInputsFetched is called with inputs that all their consumers have fetched, so that they
	// can be released.
	OnInputsFetched func(sets []ResultSet)
	// After runs work after a delay; nil selects the runtime's timers.
	After func(span clock.Milli, work func())
	// OnMisdirected is called for an endpoint at whose address another endpoint answers.
	OnMisdirected func(id ident.Process, why string)
	// ProcessEnded reports whether the process at an address has crashed or exited; nil disables
	// the check.
	ProcessEnded func(ctx context.Context, addr string) bool
	// RateShare returns the fraction of the declared rates of a pool's endpoints that this instance
	// may use; nil selects all of it.
	RateShare func(pool string) float64
	// Rests returns the endpoints that this instance must send nothing, with the time until when; nil
	// for none.
	Rests func() map[ident.Process]clock.Milli
	// MaySend is the last check right before something is sent to an endpoint, MaySendTo that for the
	// endpoints at an address; nil allows all.
	MaySend   func(id ident.Process, zone string) bool
	MaySendTo func(addr, zone string) bool
}

// Batcher batches the items of all pools that this instance coordinates.
type Batcher struct {
	set   Setup
	mtx   sync.Mutex
	pools map[string]*pool
}

// New returns a batcher without pools.
func New(set Setup) *Batcher {
	if set.After == nil {
		set.After = afterFunc
	}
	if set.MaySend == nil {
		set.MaySend = func(ident.Process, string) bool { return true }
	}
	if set.MaySendTo == nil {
		set.MaySendTo = func(string, string) bool { return true }
	}
	return &Batcher{set: set, pools: map[string]*pool{}}
}

// Sync updates the pools of a plan, the known endpoints, the declared rates of some of these, in
// requests per second, and the pools whose endpoints are brittle.
func (btr *Batcher) Sync(pln *plan.Plan, endpoints []proto.Endpoint, rates map[string]float64, brittle map[string]bool) {
	if pln == nil {
		return
	}
	byPool := map[string][]gather.Endpoint{}
	for _, ep := range endpoints {
		byPool[ep.Pool] = append(byPool[ep.Pool], gather.Endpoint{ID: string(ep.ID), Addr: ep.Addr, Zone: ep.Zone, Leaving: ep.Leaving, Withheld: ep.Withheld})
	}
	for name, pol := range pln.Pools() {
		if spc := pol.Batch(); spc != nil {
			btr.pool(name).sync(*spc, byPool[name], rates, brittle[name])
		}
	}
}

func (btr *Batcher) pool(name string) *pool {
	btr.mtx.Lock()
	defer btr.mtx.Unlock()
	pol, ok := btr.pools[name]
	if !ok {
		pol = newPool(name, btr.set)
		btr.pools[name] = pol
	}
	return pol
}

// Fill fills an order. It returns when all items are done, when one has failed for good, or when
// the context ends; in the last two cases the results made so far are released.
func (btr *Batcher) Fill(ctx context.Context, ask Order) OrderResult {
	return btr.pool(ask.Pool).fill(ctx, ask)
}

// Release releases results at the endpoints that hold them.
func (btr *Batcher) Release(rrq ReleaseRequest) { btr.pool(rrq.Pool).free(rrq.Results) }

// EstimateWait estimates how long an item added now would wait in a pool coordinated by this
// instance.
func (btr *Batcher) EstimateWait(name string) clock.Milli { return btr.pool(name).wait() }

// EstimateRankWait is [Batcher.EstimateWait] for an item of a rank that is due after a span: it counts
// only what goes before the item.
func (btr *Batcher) EstimateRankWait(name string, rank int, due clock.Milli) clock.Milli {
	return btr.pool(name).waitFor(rank, due)
}

func afterFunc(span clock.Milli, work func()) { time.AfterFunc(span.Duration(), work) }
