// Package coord finds the coordinator of a pool, the instance that batches the pool's items or
// places its prompts, and sends orders and placement requests to it. At pools whose endpoints are brittle or declare
// rates, the requests of all instances wait for slots in one queue at the coordinator (package grant).
//
// The ranking of the coordinators follows from the membership. If one sends no keep-alive, the
// order goes to the next one, and after three failures this instance batches locally: a request
// must not fail, nor run out of time, because another instance died.
package coord

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
)

const (
	// MaxItems bounds the items of one stage of one request.
	MaxItems = 4096
	// maxCoordinatorTries is the number of instances that an order is sent to before this one
	// batches locally: when most instances have lost power, the first two often have.
	maxCoordinatorTries = 3
	// unresponsiveFor is how long an unresponsive instance gets no requests: the other members take
	// about as long to suspect it.
	unresponsiveFor = 2 * clock.Second
	// joinTimeout is how long a starting instance waits for the membership before it fills orders.
	// After a loss of all instances, each of them batched alone until it knew the others: they
	// filled all slots and queues of the endpoints with batches of one item, and the actual
	// coordinator found no slot. A store that answers does so within this time, and requests can't
	// wait for one that is down.
	joinTimeout = clock.Second
	// releaseTimeout bounds a request to release results.
	releaseTimeout = time.Second
)

// errRefused is returned when an instance answers with Nack.
var errRefused = errors.New("refused")

// Setup holds the dependencies of [Coordinator].
type Setup struct {
	Control *state.Control
	Batcher *batch.Batcher
	Pools   *pools.Pools
	// Link is nil for a standalone instance.
	Link  *peer.Link
	Clock clock.Clock
	Log   zerolog.Logger
	// CachedParts queries the prompt parts in the cache of a model engine; nil if engines can't be
	// queried.
	CachedParts func(ctx context.Context, ep proto.Endpoint) ([]place.Part, error)
	// OnUnbounded is called when an engine's answer exceeds a bound of size or time; it may be nil.
	OnUnbounded func()
	// Origins returns the instances for which this one relays connections to an endpoint; nil for none.
	Origins func(id ident.Process) []ident.Incarnation
	// Ranking returns the instances in the order in which they coordinate a pool; nil selects that of the
	// current view.
	Ranking func(pool string) []ident.Incarnation
	// View returns the current view; nil selects that of Control.
	View func() *state.View
	// Meter may be nil.
	Meter *meter.Meter
	// After runs work after a delay; nil selects the runtime's timers.
	After func(span clock.Milli, work func())
}

// Coordinator sends orders, placement requests and queries to the coordinators of pools, and serves
// those of other instances. It tracks which coordinators are unresponsive and how long items wait
// there. It is created by [New].
type Coordinator struct {
	set Setup
	// joined is closed joinTimeout after the start. The membership may be known earlier; see
	// hasJoined.
	joined chan struct{}

	mtx               sync.Mutex
	unresponsiveUntil map[ident.Incarnation]clock.Milli
	// waits has the last estimates of coordinators by pool and rank.
	waits admit.WaitTable
	// orders counts the orders of other instances in progress here.
	orders   atomic.Int64
	arrivals arrivals
	reports  reports
	// bindings records at which builds streams began.
	bindings bindings
	tenures  tenures
	// permitBlocks and slotBlocks record until when coordinators have no permits or slots.
	permitBlocks, slotBlocks blocks
	// losses records which brittle pools have no coordinator.
	losses losses
	// placeTries counts the placement requests.
	placeTries atomic.Int64
	// placeTimeouts counts consecutive placement requests without an answer.
	placeTimeouts map[ident.Incarnation]timeouts
	// queues has the requests that wait for slots of the pools that this instance coordinates; gaugesDue is
	// set while an update of their gauges is scheduled.
	queues    queues
	gaugesDue atomic.Bool
	// earlier records the coordinators that know no queue.
	earlier earlier
}

// New returns a coordinator that takes every other instance for responsive.
func New(set Setup) *Coordinator {
	if set.After == nil {
		set.After = func(span clock.Milli, work func()) { time.AfterFunc(span.Duration(), work) }
	}
	if set.Ranking == nil {
		set.Ranking = func(pool string) []ident.Incarnation { return set.Control.View().Coordinators(pool) }
	}
	if set.View == nil {
		set.View = func() *state.View { return set.Control.View() }
	}
	crd := &Coordinator{set: set, joined: make(chan struct{}), unresponsiveUntil: map[ident.Incarnation]clock.Milli{}, placeTimeouts: map[ident.Incarnation]timeouts{}}
	if set.Link == nil {
		close(crd.joined)
	} else {
		set.After(joinTimeout, func() { close(crd.joined) })
	}
	return crd
}

// Fill sends an order to the pool's coordinator, if that fails to its successors, and as a last
// resort fills it locally. left returns the time left of the order, and is called before each try.
// Fill also returns the address of the instance that filled the order.
func (crd *Coordinator) Fill(ctx context.Context, ord batch.Order, left func() (due, until clock.Milli)) (batch.OrderResult, string) {
	select {
	case <-crd.joined:
	case <-crd.set.Control.MembersKnown():
	case <-ctx.Done():
		return batch.OrderResult{Failure: proto.Late}, crd.set.Control.Self().Addr()
	}
	tried := 0
	for _, inc := range crd.set.Control.View().Coordinators(ord.Pool) {
		if inc == crd.set.Control.Self() || tried >= maxCoordinatorTries {
			break
		}
		if crd.isUnresponsive(inc) {
			continue
		}
		tried++
		ord.Due, ord.Expires = left()
		orr, err := crd.sendOrder(ctx, inc, ord)
		if err == nil {
			crd.noteOrderWait(ord, orr)
			return orr, inc.Addr()
		}
		if ctx.Err() != nil {
			return batch.OrderResult{}, inc.Addr()
		}
		crd.orderFailed(inc, ord, err)
	}
	ord.Due, ord.Expires = left()
	orr := crd.set.Batcher.Fill(ctx, ord)
	crd.noteOrderWait(ord, orr)
	return orr, crd.set.Control.Self().Addr()
}

// view returns the current view.
func (crd *Coordinator) view() *state.View { return crd.set.View() }

// hasJoined reports whether this instance has received the membership or waited joinTimeout for it.
func (crd *Coordinator) hasJoined() bool {
	select {
	case <-crd.joined:
	case <-crd.set.Control.MembersKnown():
	default:
		return false
	}
	return true
}

func (crd *Coordinator) sendOrder(ctx context.Context, inc ident.Incarnation, ord batch.Order) (batch.OrderResult, error) {
	body, err := cbor.Marshal(ord)
	if err != nil {
		return batch.OrderResult{}, err
	}
	msg := peer.Message{Kind: peer.OrderItems, From: crd.set.Control.Self(), To: inc, Body: body}
	ans, err := crd.set.Link.CallLong(ctx, inc.Addr(), msg)
	if err != nil {
		return batch.OrderResult{}, err
	}
	if ans.Kind != peer.OK {
		return batch.OrderResult{}, errRefused
	}
	var orr batch.OrderResult
	return orr, cbor.Unmarshal(ans.Body, &orr)
}

func (crd *Coordinator) isUnresponsive(inc ident.Incarnation) bool {
	crd.mtx.Lock()
	defer crd.mtx.Unlock()
	return crd.set.Clock.Now() < crd.unresponsiveUntil[inc]
}

// orderFailed logs that an order got no answer, and marks the coordinator as unresponsive.
func (crd *Coordinator) orderFailed(inc ident.Incarnation, ord batch.Order, err error) {
	crd.set.Log.Warn().Err(err).Str("request", ord.Request).Str("pool", ord.Pool).Str("gatherer", string(inc)).Msg("order failed at the coordinator")
	crd.markUnresponsive(inc)
}

// markUnresponsive stops requests to an instance for a while and has it probed: if it has ended,
// the other members should know before it would get requests again.
func (crd *Coordinator) markUnresponsive(inc ident.Incarnation) {
	crd.mtx.Lock()
	crd.unresponsiveUntil[inc] = crd.set.Clock.Now() + unresponsiveFor
	crd.mtx.Unlock()
	crd.set.Control.Suspect(inc)
}

// ReleaseAll releases several sets of results.
func (crd *Coordinator) ReleaseAll(sets []batch.ResultSet) {
	for _, set := range sets {
		crd.Release(set.Coordinator, set.Release)
	}
}

// Release releases results through the coordinator that had them computed, given by its address. If
// that instance can't be reached, this one releases the results at the endpoints.
func (crd *Coordinator) Release(addr string, rrq batch.ReleaseRequest) {
	if addr == "" || addr == crd.set.Control.Self().Addr() || crd.set.Link == nil {
		crd.set.Batcher.Release(rrq)
		return
	}
	go func() {
		body, err := cbor.Marshal(rrq)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		msg := peer.Message{Kind: peer.ReleaseResults, From: crd.set.Control.Self(), Body: body}
		if ans, err := crd.set.Link.Call(ctx, addr, msg); err != nil || ans.Kind != peer.OK {
			crd.set.Batcher.Release(rrq)
		}
	}()
}

// HandleOrder handles an order of another instance; it is registered with the link.
func (crd *Coordinator) HandleOrder(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	var ord batch.Order
	if cbor.Unmarshal(msg.Body, &ord) != nil || ord.Count < 1 || ord.Count > MaxItems {
		return ans
	}
	crd.orders.Add(1)
	defer crd.orders.Add(-1)
	body, err := cbor.Marshal(crd.set.Batcher.Fill(ctx, ord))
	if err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// Orders returns the number of orders of other instances in progress here.
func (crd *Coordinator) Orders() int64 { return crd.orders.Load() }

// HandleRelease handles the release of results by another instance; it is registered with the link.
func (crd *Coordinator) HandleRelease(msg peer.Message) peer.Message {
	var rrq batch.ReleaseRequest
	if cbor.Unmarshal(msg.Body, &rrq) != nil {
		return peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	}
	crd.set.Batcher.Release(rrq)
	return peer.Message{Kind: peer.OK, From: crd.set.Control.Self()}
}
