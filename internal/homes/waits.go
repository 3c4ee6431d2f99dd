package homes

import (
	"context"
	"sync"
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
// So a word that isn't new is asked for anew before a request is let in.

const (
	// waitOld is the age from which a gatherer's word on its queue is asked for anew.
	// It bounds the questions to ten a second for each pool and instance, some 3 KB; a
	// queue that holds half a second of work changes by a fifth at the most meanwhile.
	waitOld = 100 * clock.Milli(1)
	// askWait bounds the question: a few times the way there and back between data
	// centres. The word from before is used after that.
	askWait = 30 * time.Millisecond
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

// Refresh asks the gatherers of pools for their word where it is old.
func (hms *Homes) Refresh(ctx context.Context, vw *state.View, pools []string) {
	byWho := map[ident.Incarnation][]string{}
	for _, pool := range pools {
		who := hms.gatherer(vw, pool)
		switch {
		case who == hms.set.Control.Self() || hms.set.Link == nil:
			hms.note(pool, hms.set.Desk.Wait(pool))
		case hms.isOld(pool):
			byWho[who] = append(byWho[who], pool)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	var grp sync.WaitGroup
	for who, list := range byWho {
		grp.Go(func() { hms.askWaits(ctx, who, list) })
	}
	grp.Wait()
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

func (hms *Homes) isOld(pool string) bool {
	hms.mtx.Lock()
	defer hms.mtx.Unlock()
	wtd, ok := hms.waits[pool]
	return !ok || hms.set.Clock.Since(wtd.at) > waitOld
}

// askWaits asks one gatherer. Without an answer the word from before stays: whether the
// gatherer is gone is found out by orders and probes.
func (hms *Homes) askWaits(ctx context.Context, who ident.Incarnation, pools []string) {
	body, err := cbor.Marshal(pools)
	if err != nil {
		return
	}
	msg := peer.Message{Kind: peer.WaitWanted, From: hms.set.Control.Self(), To: who, Body: body}
	ans, err := hms.set.Link.Ask(ctx, who.Addr(), msg)
	if err != nil || ans.Kind != peer.OK {
		return
	}
	var spans []clock.Milli
	if cbor.Unmarshal(ans.Body, &spans) != nil || len(spans) != len(pools) {
		return
	}
	for i, pool := range pools {
		hms.note(pool, spans[i])
	}
}

// Waits tells another instance how long pieces of pools wait here; it is given to the
// link.
func (hms *Homes) Waits(msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: hms.set.Control.Self()}
	var pools []string
	if cbor.Unmarshal(msg.Body, &pools) != nil {
		return ans
	}
	spans := make([]clock.Milli, len(pools))
	for i, pool := range pools {
		spans[i] = hms.set.Desk.Wait(pool)
	}
	if body, err := cbor.Marshal(spans); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}
