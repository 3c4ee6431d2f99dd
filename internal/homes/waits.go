package homes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// An instance is told with each order how long a piece that comes next would wait. With
// some requests a second at each of many instances that word is half a second old when
// the next request comes, as long as a whole queue. Those let in by it were late when
// the queue had grown meanwhile, and took places and room from those that were in time.
// So the gatherers are asked before a request is let in. They are also who can tell that
// it came before: a caller that was refused comes back to any instance.

const (
	// askWait bounds the question: a few times the way there and back between data
	// centres. The words from before are used after that.
	askWait = 30 * time.Millisecond
	// backFor is how long a request is remembered, so that it is known when it comes
	// back: longer than the time that most callers have.
	backFor = 20 * clock.Second
	// backMost bounds how many are: 20 s of 1,000 requests a second, 1 MB.
	backMost = 20000
)

// waited is a gatherer's word on its queue at an instant.
type waited struct {
	span clock.Milli
	at   clock.Milli
}

func (hms *Homes) note(pool string, span clock.Milli) {
	hms.mtx.Lock()
	defer hms.mtx.Unlock()
	hms.waits[pool] = waited{span: span, at: hms.set.Clock.Now()}
}

// Wait estimates how long a piece of a pool would wait: what its gatherer said
// last, less the time since.
func (hms *Homes) Wait(pool string) clock.Milli {
	hms.mtx.Lock()
	defer hms.mtx.Unlock()
	wtd := hms.waits[pool]
	return max(wtd.span-hms.set.Clock.Since(wtd.at), 0)
}

// question is what a gatherer is asked of a request before it is let in.
type question struct {
	// Mark names the request, whichever attempt of its caller's it is; zero if this
	// gatherer is not the one that remembers it.
	Mark  uint64   `cbor:"1,keyasint,omitempty"`
	Pools []string `cbor:"2,keyasint"`
}

// told is the answer.
type told struct {
	// Waits has how long a piece that comes now would wait at each pool.
	Waits []clock.Milli `cbor:"1,keyasint"`
	// Spent is how long ago the request came for the first time.
	Spent clock.Milli `cbor:"2,keyasint,omitempty"`
}

// Ask asks the gatherers of pools how long a piece would wait, for [Homes.Wait] to tell,
// and that of the first one how long ago the request came for the first time, to any
// instance. Where one doesn't answer, what it said last is used: whether it is gone is
// found out by orders and probes.
func (hms *Homes) Ask(ctx context.Context, vw *state.View, mark uint64, pools []string) (spent clock.Milli) {
	byWho := map[ident.Incarnation]question{}
	for i, pool := range pools {
		who := hms.gatherer(vw, pool)
		qst := byWho[who]
		qst.Pools = append(qst.Pools, pool)
		if i == 0 {
			qst.Mark = mark
		}
		byWho[who] = qst
	}
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	var ago atomic.Int64
	var grp sync.WaitGroup
	for who, qst := range byWho {
		grp.Go(func() {
			tld, ok := hms.question(ctx, who, qst)
			if !ok {
				return
			}
			for i, pool := range qst.Pools {
				hms.note(pool, tld.Waits[i])
			}
			ago.Add(int64(tld.Spent))
		})
	}
	grp.Wait()
	return clock.Milli(ago.Load())
}

// gatherer gives the instance that an order for a pool would go to.
func (hms *Homes) gatherer(vw *state.View, pool string) ident.Incarnation {
	for _, who := range vw.Gatherers(pool) {
		if !hms.isSilent(who) {
			return who
		}
	}
	return hms.set.Control.Self()
}

// question asks one gatherer, which may be this instance.
func (hms *Homes) question(ctx context.Context, who ident.Incarnation, qst question) (told, bool) {
	if who == hms.set.Control.Self() || hms.set.Link == nil {
		return hms.tell(qst), true
	}
	body, err := cbor.Marshal(qst)
	if err != nil {
		return told{}, false
	}
	msg := peer.Message{Kind: peer.WaitWanted, From: hms.set.Control.Self(), To: who, Body: body}
	ans, err := hms.set.Link.Ask(ctx, who.Addr(), msg)
	if err != nil || ans.Kind != peer.OK {
		return told{}, false
	}
	var tld told
	if cbor.Unmarshal(ans.Body, &tld) != nil || len(tld.Waits) != len(qst.Pools) {
		return told{}, false
	}
	return tld, true
}

func (hms *Homes) tell(qst question) told {
	tld := told{Waits: make([]clock.Milli, len(qst.Pools))}
	for i, pool := range qst.Pools {
		tld.Waits[i] = hms.set.Desk.Wait(pool)
	}
	if qst.Mark != 0 {
		tld.Spent = hms.came.spent(qst.Mark, hms.set.Clock.Now())
	}
	return tld
}

// Tell answers another instance's question; it is given to the link.
func (hms *Homes) Tell(msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: hms.set.Control.Self()}
	var qst question
	if cbor.Unmarshal(msg.Body, &qst) != nil {
		return ans
	}
	if body, err := cbor.Marshal(hms.tell(qst)); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// came remembers when requests came for the first time, the latest backMost of them.
// The zero value remembers none.
type came struct {
	mtx   sync.Mutex
	first map[uint64]clock.Milli
	order []uint64
}

// spent gives how long ago a request came for the first time, and remembers it.
func (cme *came) spent(mark uint64, now clock.Milli) clock.Milli {
	cme.mtx.Lock()
	defer cme.mtx.Unlock()
	if cme.first == nil {
		cme.first = map[uint64]clock.Milli{}
	}
	for len(cme.order) > 0 && (len(cme.order) > backMost || now-cme.first[cme.order[0]] > backFor) {
		delete(cme.first, cme.order[0])
		cme.order = cme.order[1:]
	}
	at, ok := cme.first[mark]
	if !ok {
		cme.first[mark] = now
		cme.order = append(cme.order, mark)
		return 0
	}
	return now - at
}
