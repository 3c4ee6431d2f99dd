package state

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

const (
	// newsHold is how long a reader waits for a change before it answers.
	newsHold = 500 * time.Millisecond
	// newsShare is the part of the time for which tokens are honoured that a reader waits at
	// the most.
	newsShare = 0.1
	// newsOld is how long a reader may have heard nothing from the store to be of
	// use to others: its way there may be lost, while theirs is not. The store
	// answers it every holdFor, and as much later as it is slow. With newsHold and the
	// time until a silent reader is left, a follower is told by somebody else some 1.2 s
	// after its reader last heard the store, well within the two seconds in which a change
	// must be in force.
	newsOld = 1000 * clock.Milli(1)
	// readerSilent is how long a reader that failed is not asked.
	readerSilent = 3 * clock.Second
)

var (
	errOldNews = errors.New("the reader hears nothing from the store")
	errNoNews  = errors.New("the reader has nothing to tell")
)

// news is a reader's answer.
type news struct {
	Offset int64 `cbor:"1,keyasint"`
	// Text is there if the asker's documents are older.
	Text []byte `cbor:"2,keyasint,omitempty"`
	// Age is how old the reader's view was when it answered, Held how long it
	// had waited before.
	Age  clock.Milli `cbor:"3,keyasint"`
	Held clock.Milli `cbor:"4,keyasint"`
	// Silent is how long the reader had heard nothing from the store, beyond what a slow
	// one takes.
	Silent clock.Milli `cbor:"7,keyasint"`
	// Listed tells that Endpoints are there, since they are others than the asker was
	// told of: all of them, or, if Changed, those that are new or different and the
	// names of those that are gone. Digest names the whole list.
	Listed    bool            `cbor:"5,keyasint,omitempty"`
	Endpoints []talk.Endpoint `cbor:"6,keyasint,omitempty"`
	Changed   bool            `cbor:"8,keyasint,omitempty"`
	Gone      []string        `cbor:"9,keyasint,omitempty"`
	Digest    uint64          `cbor:"10,keyasint,omitempty"`
}

// wanted is what a follower says of itself: its documents, and the list of endpoints
// that a reader told it last. Its own list may differ, for it may have heard sooner of
// endpoints that leave; asked by that, a reader would have news for it all the time.
type wanted struct {
	Offset int64  `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	// Patient tells that the asker has nowhere else to go: while the store is silent it is
	// answered as late as others, and so knows of its return within that time.
	Patient bool `cbor:"3,keyasint,omitempty"`
}

// follow asks a reader for the next change, and takes it.
func (dct *docsCtl) follow(ctx context.Context, who ident.Incarnation, patiently bool) error {
	ctl := dct.ctl
	wnt, ok := loop.Get(ctx, ctl.loop, func(clock.Milli) wanted { return dct.wanted() })
	if !ok {
		return ctx.Err()
	}
	wnt.Patient = patiently
	body, err := cbor.Marshal(wnt)
	if err != nil {
		return err
	}
	sent := ctl.set.Clock.Now()
	ans, err := ctl.set.Link.AskSlowly(ctx, who.Addr(), peer.Message{Kind: peer.NewsWanted, From: ctl.set.Self, To: who, Body: body})
	if err != nil {
		return err
	}
	var nws news
	if ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &nws) != nil {
		return errNoNews
	}
	if nws.Silent > newsOld {
		return errOldNews
	}
	// The reader answered no sooner than it had held the question.
	asOf := sent + nws.Held - nws.Age
	ctl.loop.Do(ctx, func(now clock.Milli) {
		switch {
		case nws.Text != nil:
			dct.take(talk.Document{Offset: nws.Offset, Text: nws.Text}, asOf, now, string(who))
		case nws.Offset == dct.offset:
			dct.confirm(asOf)
		}
		if nws.Listed && !dct.told.take(nws) {
			ctl.set.Log.Info().Str("reader", string(who)).Int("changes", len(nws.Endpoints)+len(nws.Gone)).Msg("changes of another list of endpoints dropped")
			return
		}
		if nws.Listed {
			ctl.endpts.take(slices.Clone(dct.told.List), now)
		}
		ctl.endpts.followed = now
	})
	return nil
}

func (dct *docsCtl) wanted() wanted { return wanted{Offset: dct.offset, Digest: dct.told.Digest} }

// Tell answers a follower; it is given to the link.
func (ctl *Control) Tell(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	var wnt wanted
	if cbor.Unmarshal(msg.Body, &wnt) != nil {
		return ans
	}
	began := ctl.set.Clock.Now()
	hold := ctl.capped(clock.FromDuration(newsHold), newsShare)
	vw := ctl.waitFor(ctx, hold.Duration(), func(vw *View) bool {
		// Who hears nothing from the store says so at once: the follower goes elsewhere.
		silent := !wnt.Patient && vw.silence(ctl.set.Clock.Now()) > newsOld
		return silent || vw.offset > wnt.Offset || vw.news(wnt)
	})
	now := ctl.set.Clock.Now()
	if vw.heard == 0 && vw.plan == nil {
		return ans
	}
	nws := news{Offset: vw.offset, Age: vw.Age(now), Held: now - began, Silent: vw.silence(now)}
	if vw.offset > wnt.Offset {
		nws.Text = vw.text
	}
	if vw.news(wnt) {
		nws.list(vw, wnt.Digest)
	}
	if body, err := cbor.Marshal(nws); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// news tells whether the view has another list of endpoints than a follower was told. A reader
// that has just started has none yet, which doesn't mean that there are no endpoints: told so, a
// follower that had read them itself lost all of them, and refused what came.
func (vw *View) news(wnt wanted) bool { return vw.listed && vw.digest != wnt.Digest }

// waitFor waits for a view that is wanted, for a span at the most.
func (ctl *Control) waitFor(ctx context.Context, span time.Duration, want func(vw *View) bool) *View {
	tmr := time.NewTimer(span)
	defer tmr.Stop()
	for {
		turned := *ctl.turned.Load()
		vw := ctl.View()
		if want(vw) {
			return vw
		}
		select {
		case <-turned:
		case <-tmr.C:
			return ctl.View()
		case <-ctx.Done():
			return ctl.View()
		}
	}
}

// silence remembers which readers failed, and until when they are not asked.
type silence struct {
	mtx  sync.Mutex
	ends map[ident.Incarnation]clock.Milli
}

func (sln *silence) until(who ident.Incarnation) clock.Milli {
	sln.mtx.Lock()
	defer sln.mtx.Unlock()
	return sln.ends[who]
}

func (sln *silence) add(who ident.Incarnation, end clock.Milli) {
	sln.mtx.Lock()
	defer sln.mtx.Unlock()
	if sln.ends == nil {
		sln.ends = map[ident.Incarnation]clock.Milli{}
	}
	sln.ends[who] = end
}
