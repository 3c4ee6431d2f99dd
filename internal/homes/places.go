package homes

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
)

// One instance places the prompts of a pool of model engines for all, the first of those that
// would gather it. It is asked before a request is sent, and told when its first event
// has come and when it has ended. Who doesn't answer is not waited for: the asker places by what
// it knows itself, as it always notes its own requests too.

const (
	// placeWait bounds the question: a few times the way there and back between data
	// centres, and little against the time that a prompt is read.
	placeWait = 30 * time.Millisecond
	// unseatedMost is how many questions for a place in a row may get no answer in
	// time before the next instance is asked. One that is merely busy answers some.
	unseatedMost = 4
	// wordsEvery is how long words on requests are gathered for one message.
	wordsEvery = 5 * clock.Milli(1)
	// wordsWait bounds the message that carries them.
	wordsWait = time.Second
)

// seating asks for a place.
type seating struct {
	Pool   string    `cbor:"1,keyasint"`
	Ticket string    `cbor:"2,keyasint"`
	Ask    place.Ask `cbor:"3,keyasint"`
	// Aim tells that nothing is sent yet: no place is taken.
	Aim bool `cbor:"4,keyasint,omitempty"`
}

// seated is the answer.
type seated struct {
	ID   string      `cbor:"1,keyasint,omitempty"`
	From string      `cbor:"2,keyasint,omitempty"`
	Read clock.Milli `cbor:"3,keyasint,omitempty"`
}

// word tells of a request that was placed.
type word struct {
	Pool   string `cbor:"1,keyasint"`
	Ticket string `cbor:"2,keyasint"`
	// Ended tells that the request has ended, and not that its first event came.
	Ended bool         `cbor:"3,keyasint,omitempty"`
	End   place.Ending `cbor:"4,keyasint,omitempty"`
	// Span is how long the first event took, or the longest pause.
	Span clock.Milli `cbor:"5,keyasint,omitempty"`
}

// Seat is a place for a request, and who chose it.
type Seat struct {
	pools.Target
	placer ident.Incarnation
}

// Place chooses the endpoint of a final call, and counts the request there.
func (hms *Homes) Place(ctx context.Context, vw *state.View, pool, ticket string, ask place.Ask) (Seat, bool) {
	if pol, ok := vw.Plan().Pool(pool); ok && pol.Engine() == nil {
		return hms.placePlain(ctx, vw, pool, ask)
	}
	who := hms.placer(vw, pool)
	if who == hms.set.Control.Self() {
		return hms.pick(pool, ticket, ask, hms.keeps(vw, pool))
	}
	if std, ok := hms.seatAt(ctx, who, seating{Pool: pool, Ticket: ticket, Ask: ask}); ok {
		if tgt, ok := hms.set.Pools.Take(pool, std.ID, std.From, ticket, ask); ok {
			return Seat{Target: tgt, placer: who}, true
		}
	}
	return hms.pick(pool, ticket, ask, 0)
}

// pick chooses by what this instance knows; share is the part of the engines' rates that it
// may send.
func (hms *Homes) pick(pool, ticket string, ask place.Ask, share float64) (Seat, bool) {
	tgt, ok := hms.set.Pools.Pick(pool, ticket, ask, share)
	if ok && tgt.Ticket != "" {
		why, request := tgt.Why, ticket
		if at := strings.LastIndexByte(ticket, '/'); at >= 0 {
			request = ticket[:at]
		}
		hms.set.Log.Info().Str("request", request).Str("pool", pool).Str("endpoint", string(tgt.ID)).Int("tokens", ask.Prompt.In).Int("held_tokens", why.Held).
			Int64("wait_ms", int64(why.Wait)).Int64("read_ms", int64(why.Read)).Int("streams", why.Streams).Str("fetch_from", tgt.From).Int("avoided", len(ask.Avoid)).Msg("engine chosen")
	}
	return Seat{Target: tgt}, ok
}

// Aim chooses the model engine that a request will probably go to, and gives the time in
// which it reads the prompt; false if there is none.
func (hms *Homes) Aim(ctx context.Context, vw *state.View, pool string, ask place.Ask) (eng place.Engine, read clock.Milli, ok bool) {
	if who := hms.placer(vw, pool); who != hms.set.Control.Self() {
		if std, ok := hms.seatAt(ctx, who, seating{Pool: pool, Ask: ask, Aim: true}); ok {
			if eng, ok := hms.set.Pools.Find(pool, std.ID); ok {
				return eng, std.Read, true
			}
		}
	}
	seat, ok := hms.set.Pools.Aim(pool, ask, hms.keeps(vw, pool))
	return seat.Engine, seat.Read, ok
}

// placer gives the instance that places a pool's prompts; this one for plain pools, which
// each instance chooses in by itself.
func (hms *Homes) placer(vw *state.View, pool string) ident.Incarnation {
	pol, ok := vw.Plan().Pool(pool)
	if !ok || pol.Engine() == nil || hms.set.Link == nil || !hms.hasJoined() {
		return hms.set.Control.Self()
	}
	who := hms.gatherer(vw, pool)
	hms.terms.is(pool, who == hms.set.Control.Self(), hms.set.Clock.Now())
	if hms.terms.begins(pool) {
		go hms.learn(vw, pool)
	}
	return who
}

func (hms *Homes) seatAt(ctx context.Context, who ident.Incarnation, stg seating) (seated, bool) {
	body, err := cbor.Marshal(stg)
	if err != nil {
		return seated{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, placeWait)
	defer cancel()
	ans, err := hms.set.Link.Ask(ctx, who.Addr(), peer.Message{Kind: peer.PlaceWanted, From: hms.set.Control.Self(), To: who, Body: body})
	hms.noteSeat(who, err == nil)
	if err != nil || ans.Kind != peer.OK {
		hms.set.Log.Info().AnErr("error", err).Str("request", stg.Ticket).Str("pool", stg.Pool).Str("placer", string(who)).Msg("placed by itself")
		return seated{}, false
	}
	var std seated
	if cbor.Unmarshal(ans.Body, &std) != nil || std.ID == "" {
		return seated{}, false
	}
	return std, true
}

// noteSeat notes whether an instance answered a question for a place.
func (hms *Homes) noteSeat(who ident.Incarnation, answered bool) {
	hms.mtx.Lock()
	if answered {
		delete(hms.unseated, who)
	} else {
		hms.unseated[who]++
	}
	lost := hms.unseated[who] >= unseatedMost
	if lost {
		delete(hms.unseated, who)
	}
	hms.mtx.Unlock()
	if lost {
		hms.set.Log.Warn().Str("placer", string(who)).Msg("placer lost")
		hms.avoid(who)
	}
}

// Seat answers another instance that asks for a place; it is given to the link.
func (hms *Homes) Seat(msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: hms.set.Control.Self()}
	var stg seating
	if cbor.Unmarshal(msg.Body, &stg) != nil {
		return ans
	}
	if vw := hms.set.Control.View(); vw.Plan() != nil {
		hms.placer(vw, stg.Pool)
	}
	var std seated
	share := hms.Keeps(stg.Pool)
	if stg.Aim {
		if seat, ok := hms.set.Pools.Aim(stg.Pool, stg.Ask, share); ok {
			std = seated{ID: seat.Engine.ID, Read: seat.Read}
		}
	} else if seat, ok := hms.pick(stg.Pool, stg.Ticket, stg.Ask, share); ok {
		std = seated{ID: string(seat.ID), From: seat.From}
	}
	if body, err := cbor.Marshal(std); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// First notes that the first event of a request came, and how long it took.
func (hms *Homes) First(pool string, seat Seat, took clock.Milli) {
	if seat.Ticket == "" {
		return
	}
	hms.set.Pools.First(pool, seat.Ticket, took)
	hms.words.say(hms, seat.placer, word{Pool: pool, Ticket: seat.Ticket, Span: took})
}

// End notes that a request at a model engine has ended, and the longest pause between its events.
func (hms *Homes) End(pool string, seat Seat, end place.Ending, pause clock.Milli) {
	if seat.Ticket == "" {
		return
	}
	hms.set.Pools.End(pool, seat.Ticket, end, pause)
	hms.words.say(hms, seat.placer, word{Pool: pool, Ticket: seat.Ticket, Ended: true, End: end, Span: pause})
}

// Heard takes words on requests that were placed here; it is given to the link.
func (hms *Homes) Heard(msg peer.Message) peer.Message {
	var list []word
	if cbor.Unmarshal(msg.Body, &list) != nil {
		return peer.Message{Kind: peer.Nack, From: hms.set.Control.Self()}
	}
	for _, wrd := range list {
		if wrd.Ended {
			hms.set.Pools.End(wrd.Pool, wrd.Ticket, wrd.End, wrd.Span)
			continue
		}
		hms.set.Pools.First(wrd.Pool, wrd.Ticket, wrd.Span)
	}
	return peer.Message{Kind: peer.OK, From: hms.set.Control.Self()}
}

// words are what is to be told to those who placed requests. A word that is lost is made up
// for by time: a placer forgets requests of which it hears nothing.
type words struct {
	mtx   sync.Mutex
	byWho map[ident.Incarnation][]word
}

func (wds *words) say(hms *Homes, who ident.Incarnation, wrd word) {
	if who == "" {
		return
	}
	wds.mtx.Lock()
	defer wds.mtx.Unlock()
	if wds.byWho == nil {
		wds.byWho = map[ident.Incarnation][]word{}
	}
	if len(wds.byWho[who]) == 0 {
		hms.set.After(wordsEvery, func() { wds.send(hms, who) })
	}
	wds.byWho[who] = append(wds.byWho[who], wrd)
}

func (wds *words) send(hms *Homes, who ident.Incarnation) {
	wds.mtx.Lock()
	list := wds.byWho[who]
	delete(wds.byWho, who)
	wds.mtx.Unlock()
	body, err := cbor.Marshal(list)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), wordsWait)
	defer cancel()
	_, _ = hms.set.Link.Ask(ctx, who.Addr(), peer.Message{Kind: peer.PlaceTold, From: hms.set.Control.Self(), Body: body})
}
