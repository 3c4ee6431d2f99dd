package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

const (
	// homesTried is how many instances are asked for an order before this one
	// gathers alone.
	homesTried = 2
	// silentFor is how long an instance that gave no sign of work is not asked:
	// its suspicion by the others takes about as long.
	silentFor = 2 * clock.Second
	// freedWait bounds the word that results are given back.
	freedWait = time.Second
)

// errNoAnswer tells that a gatherer didn't answer an order.
var errNoAnswer = errors.New("the gatherer refused the order")

// homes finds the instances that gather pools, and remembers which were silent
// and how long pieces wait there.
type homes struct {
	set Setup

	mtx    sync.Mutex
	silent map[ident.Incarnation]clock.Milli
	waits  map[string]waited
}

// waited is a gatherer's word on its queue at an instant.
type waited struct {
	span clock.Milli
	at   clock.Milli
}

func newHomes(set Setup) *homes {
	return &homes{set: set, silent: map[ident.Incarnation]clock.Milli{}, waits: map[string]waited{}}
}

// fill has an order filled by the pool's gatherer, or the one after it, or here.
// It gives the address of who did, empty for this instance.
func (hms *homes) fill(ctx context.Context, vw *state.View, ord batch.Order, left func() (due, until clock.Milli)) (batch.Filled, string) {
	tried := 0
	for _, who := range vw.Gatherers(ord.Pool) {
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
			return batch.Filled{}, ""
		}
		hms.lost(who, ord, err)
	}
	ord.Due, ord.Until = left()
	fld := hms.set.Desk.Make(ctx, ord)
	hms.note(ord.Pool, fld.Wait)
	return fld, ""
}

func (hms *homes) ask(ctx context.Context, who ident.Incarnation, ord batch.Order) (batch.Filled, error) {
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

func (hms *homes) isSilent(who ident.Incarnation) bool {
	hms.mtx.Lock()
	defer hms.mtx.Unlock()
	return hms.set.Clock.Now() < hms.silent[who]
}

func (hms *homes) lost(who ident.Incarnation, ord batch.Order, err error) {
	hms.set.Log.Warn().Err(err).Str("request", ord.Request).Str("pool", ord.Pool).Str("gatherer", string(who)).Msg("gatherer lost")
	hms.mtx.Lock()
	defer hms.mtx.Unlock()
	hms.silent[who] = hms.set.Clock.Now() + silentFor
}

func (hms *homes) note(pool string, span clock.Milli) {
	hms.mtx.Lock()
	defer hms.mtx.Unlock()
	hms.waits[pool] = waited{span: span, at: hms.set.Clock.Now()}
}

// wait estimates how long a piece of a pool would wait: what its gatherer said
// last, less the time since.
func (hms *homes) wait(pool string) clock.Milli {
	hms.mtx.Lock()
	defer hms.mtx.Unlock()
	wtd := hms.waits[pool]
	return max(wtd.span-hms.set.Clock.Since(wtd.at), 0)
}

// free gives results back by whoever had them made. When that instance can't be
// reached this one tells the makers.
func (hms *homes) free(home string, frd batch.Freed) {
	if home == "" || hms.set.Link == nil {
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
func (fr *Front) Gather(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: fr.set.Control.Self()}
	var ord batch.Order
	if cbor.Unmarshal(msg.Body, &ord) != nil || ord.Count < 1 || ord.Count > maxPieces {
		return ans
	}
	body, err := cbor.Marshal(fr.set.Desk.Make(ctx, ord))
	if err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// Freed takes results that another instance gives back; it is given to the link.
func (fr *Front) Freed(msg peer.Message) peer.Message {
	var frd batch.Freed
	if cbor.Unmarshal(msg.Body, &frd) != nil {
		return peer.Message{Kind: peer.Nack, From: fr.set.Control.Self()}
	}
	fr.set.Desk.Free(frd)
	return peer.Message{Kind: peer.OK, From: fr.set.Control.Self()}
}
