// Package homes finds the instance that gathers a pool's pieces, or places its prompts,
// and has it done there.
//
// The gatherers follow from the membership. One that gives no sign of work is left for
// the next, and this instance gathers alone when two have failed: a request must not
// fail, nor run out of time, because another instance died.
package homes

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/state"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
)

const (
	// MaxPieces bounds the pieces of one stage of one request.
	MaxPieces = 4096
	// homesTried is how many instances are asked for an order before this one
	// gathers alone: where most have lost power the first two often have.
	homesTried = 3
	// silentFor is how long an instance that gave no sign of work is not asked:
	// its suspicion by the others takes about as long.
	silentFor = 2 * clock.Second
	// joinMost is how long an instance that has started has no pieces made before it has
	// learned of the others. After a loss of all each gathered alone in between: they filled
	// all places and queues of the makers with calls of one piece, and whoever gathered
	// then found no place. Longer than this a store that answers doesn't take, and
	// requests can't wait for one that is down.
	joinMost = clock.Second
	// freedWait bounds the word that results are given back.
	freedWait = time.Second
)

// errNoAnswer tells that a gatherer didn't answer an order.
var errNoAnswer = errors.New("the gatherer refused the order")

// Setup is what homes are made of.
type Setup struct {
	Control *state.Control
	Desk    *batch.Desk
	Pools   *pools.Pools
	// Link is nil for an instance that stands alone.
	Link  *peer.Link
	Clock clock.Clock
	Log   zerolog.Logger
	// Held asks a model engine which parts of prompts it holds; nil if none can be asked.
	Held func(ctx context.Context, ep talk.Endpoint) ([]place.Part, error)
	// After runs work once a span has passed; nil for the runtime's timers.
	After func(span clock.Milli, work func())
}

// Homes finds the instances that gather pools, and remembers which were silent
// and how long pieces wait there.
type Homes struct {
	set Setup
	// joined is closed when this instance has had the time to learn of the others; it may
	// know them before.
	joined chan struct{}

	mtx    sync.Mutex
	silent map[ident.Incarnation]clock.Milli
	waits  map[string]waited
	// orders counts the orders of others that are being filled here.
	orders atomic.Int64
	came   came
	words  words
	terms  terms
	// permits are those of plain pools' keepers.
	permits permits
	// unseated counts the questions for a place in a row that an instance didn't answer.
	unseated map[ident.Incarnation]int
}

// New returns homes that know of no silence.
func New(set Setup) *Homes {
	if set.After == nil {
		set.After = func(span clock.Milli, work func()) { time.AfterFunc(span.Duration(), work) }
	}
	hms := &Homes{set: set, joined: make(chan struct{}), silent: map[ident.Incarnation]clock.Milli{}, unseated: map[ident.Incarnation]int{}, waits: map[string]waited{}}
	if set.Link == nil {
		close(hms.joined)
	} else {
		set.After(joinMost, func() { close(hms.joined) })
	}
	return hms
}

// Fill has an order filled by the pool's gatherer, or the one after it, or here.
// It gives the address of who did.
func (hms *Homes) Fill(ctx context.Context, ord batch.Order, left func() (due, until clock.Milli)) (batch.Filled, string) {
	select {
	case <-hms.joined:
	case <-hms.set.Control.Met():
	case <-ctx.Done():
		return batch.Filled{Flaw: talk.Late}, hms.set.Control.Self().Addr()
	}
	tried := 0
	for _, who := range hms.set.Control.View().Gatherers(ord.Pool) {
		if who == hms.set.Control.Self() || tried >= homesTried {
			break
		}
		if hms.isSilent(who) {
			continue
		}
		tried++
		ord.Due, ord.Until = left()
		fld, err := hms.ask(ctx, who, ord)
		if err == nil {
			hms.note(ord.Pool, fld.Wait)
			return fld, who.Addr()
		}
		if ctx.Err() != nil {
			return batch.Filled{}, who.Addr()
		}
		hms.lost(who, ord, err)
	}
	ord.Due, ord.Until = left()
	fld := hms.set.Desk.Make(ctx, ord)
	hms.note(ord.Pool, fld.Wait)
	return fld, hms.set.Control.Self().Addr()
}

// hasJoined tells whether this instance knows of the others as far as it can.
func (hms *Homes) hasJoined() bool {
	select {
	case <-hms.joined:
	case <-hms.set.Control.Met():
	default:
		return false
	}
	return true
}

func (hms *Homes) ask(ctx context.Context, who ident.Incarnation, ord batch.Order) (batch.Filled, error) {
	body, err := cbor.Marshal(ord)
	if err != nil {
		return batch.Filled{}, err
	}
	msg := peer.Message{Kind: peer.PiecesWanted, From: hms.set.Control.Self(), To: who, Body: body}
	ans, err := hms.set.Link.AskSlowly(ctx, who.Addr(), msg)
	if err != nil {
		return batch.Filled{}, err
	}
	if ans.Kind != peer.OK {
		return batch.Filled{}, errNoAnswer
	}
	var fld batch.Filled
	return fld, cbor.Unmarshal(ans.Body, &fld)
}

func (hms *Homes) isSilent(who ident.Incarnation) bool {
	hms.mtx.Lock()
	defer hms.mtx.Unlock()
	return hms.set.Clock.Now() < hms.silent[who]
}

func (hms *Homes) lost(who ident.Incarnation, ord batch.Order, err error) {
	hms.set.Log.Warn().Err(err).Str("request", ord.Request).Str("pool", ord.Pool).Str("gatherer", string(who)).Msg("gatherer lost")
	hms.avoid(who)
}

// avoid leaves an instance alone for a while, and has it probed: if it has ended, the
// others should know by the time at which it would be asked again.
func (hms *Homes) avoid(who ident.Incarnation) {
	hms.mtx.Lock()
	hms.silent[who] = hms.set.Clock.Now() + silentFor
	hms.mtx.Unlock()
	hms.set.Control.Doubt(who)
}

// FreeAll gives lots of results back.
func (hms *Homes) FreeAll(lots []batch.Lot) {
	for _, lot := range lots {
		hms.Free(lot.Home, lot.Freed)
	}
}

// Free gives results back by whoever had them made. When that instance can't be
// reached this one tells the makers.
func (hms *Homes) Free(home string, frd batch.Freed) {
	if home == "" || home == hms.set.Control.Self().Addr() || hms.set.Link == nil {
		hms.set.Desk.Free(frd)
		return
	}
	go func() {
		body, err := cbor.Marshal(frd)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), freedWait)
		defer cancel()
		msg := peer.Message{Kind: peer.PiecesFreed, From: hms.set.Control.Self(), Body: body}
		if ans, err := hms.set.Link.Ask(ctx, home, msg); err != nil || ans.Kind != peer.OK {
			hms.set.Desk.Free(frd)
		}
	}()
}

// Gather answers another instance that wants pieces; it is given to the link.
func (hms *Homes) Gather(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: hms.set.Control.Self()}
	var ord batch.Order
	if cbor.Unmarshal(msg.Body, &ord) != nil || ord.Count < 1 || ord.Count > MaxPieces {
		return ans
	}
	hms.orders.Add(1)
	defer hms.orders.Add(-1)
	body, err := cbor.Marshal(hms.set.Desk.Make(ctx, ord))
	if err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// Orders gives the number of orders of others that are being filled here.
func (hms *Homes) Orders() int64 { return hms.orders.Load() }

// Freed takes results that another instance gives back; it is given to the link.
func (hms *Homes) Freed(msg peer.Message) peer.Message {
	var frd batch.Freed
	if cbor.Unmarshal(msg.Body, &frd) != nil {
		return peer.Message{Kind: peer.Nack, From: hms.set.Control.Self()}
	}
	hms.set.Desk.Free(frd)
	return peer.Message{Kind: peer.OK, From: hms.set.Control.Self()}
}
