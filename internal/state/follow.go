package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/evac"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

const (
	// updateHold is how long a reader waits for a change before it answers.
	updateHold = 500 * time.Millisecond
	// updateHoldShare bounds that time by a part of the maximum age of a view whose tokens are
	// accepted.
	updateHoldShare = 0.1
	// maxStoreSilence is how long a reader may have had no answer from the store before followers
	// leave it: its path to the store may be broken while theirs is not. The store answers it every
	// watchHold, and later by its delay. Together with updateHold and the time until a follower
	// leaves its reader, this lets the follower get updates from another source some 1.2 s after
	// the store last answered its reader, well within the two seconds in which a change must be in
	// force.
	maxStoreSilence = 1000 * clock.Milli(1)
	// readerBackoff is how long a reader that failed is not asked.
	readerBackoff = 3 * clock.Second
)

var (
	errReaderStale = errors.New("the reader has no recent answer from the store")
	errNoUpdate    = errors.New("the reader returned no update")
)

// update is a reader's answer.
type update struct {
	Offset  int64 `cbor:"1,keyasint"`
	Version int64 `cbor:"11,keyasint,omitempty"`
	Era     int64 `cbor:"12,keyasint,omitempty"`
	// StoreEra is the store's era as the reader knows it.
	StoreEra int64 `cbor:"13,keyasint,omitempty"`
	// Text is set if the follower's documents are older.
	Text []byte `cbor:"2,keyasint,omitempty"`
	// Age is how old the reader's view was when it answered, Held how long it had held the request.
	Age  clock.Milli `cbor:"3,keyasint"`
	Held clock.Milli `cbor:"4,keyasint"`
	// StoreSilence is how long the store has not answered the reader, beyond the usual delay of a
	// slow store.
	StoreSilence clock.Milli `cbor:"7,keyasint"`
	// Listed is set if the reader's endpoints differ from those that the follower last received, and
	// aren't older than those that it has. Endpoints then holds all of them or, if Changed is set, only
	// new and modified ones, and Gone the names of removed ones. Digest identifies the full list; readers
	// of earlier builds send it with a list only.
	Listed    bool             `cbor:"5,keyasint,omitempty"`
	Endpoints []proto.Endpoint `cbor:"6,keyasint,omitempty"`
	Changed   bool             `cbor:"8,keyasint,omitempty"`
	Gone      []string         `cbor:"9,keyasint,omitempty"`
	Digest    uint64           `cbor:"10,keyasint,omitempty"`
	// Mark identifies the reader's set of evacuated data centres. Evacuations is set if the follower's is
	// earlier and differs.
	Mark        *evac.Mark    `cbor:"14,keyasint,omitempty"`
	Evacuations *evac.Records `cbor:"15,keyasint,omitempty"`
	// List tells where the reader's list comes from; nil from readers of earlier builds.
	List *listMark `cbor:"16,keyasint,omitempty"`
	// Cold are the facts on endpoints that are cold, for a follower without a list or with a full one.
	Cold []gossip.Fact `cbor:"20,keyasint,omitempty"`
}

// updateRequest describes what a follower has: the offset of its documents, and the list of
// endpoints last received from a reader. Its own list may differ from that, since it may learn
// earlier of leaving endpoints; compared with its own list, a reader would always have an update.
type updateRequest struct {
	Offset int64  `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	// Version orders documents; followers of earlier builds name none.
	Version int64 `cbor:"4,keyasint,omitempty"`
	// Patient is set if the follower has no other source. Such a request is held as usual even
	// while the store does not answer the reader, so that the follower learns within that time that
	// the store is back.
	Patient bool `cbor:"3,keyasint,omitempty"`
	// Builds identifies the builds of the list last received; zero from followers that know none.
	Builds uint64 `cbor:"5,keyasint,omitempty"`
	// List tells where the follower's own list comes from; nil if it has none, and from followers of
	// earlier builds.
	List *listMark `cbor:"7,keyasint,omitempty"`
	// Evacuations identifies the follower's set of evacuated data centres; nil from followers of earlier
	// builds, which know none.
	Evacuations *evac.Mark `cbor:"6,keyasint,omitempty"`
}

// follow requests the next update from a reader, and applies it.
func (dct *docsCtl) follow(ctx context.Context, who ident.Incarnation, patiently bool) error {
	ctl := dct.ctl
	req, ok := loop.Get(ctx, ctl.loop, func(clock.Milli) updateRequest { return dct.updateRequest() })
	if !ok {
		return ctx.Err()
	}
	req.Patient = patiently
	body, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	sent := ctl.set.Clock.Now()
	ans, err := ctl.set.Link.CallLong(ctx, who.Addr(), peer.Message{Kind: peer.PollUpdate, From: ctl.set.Self, To: who, Body: body})
	if err != nil {
		return err
	}
	var upd update
	if ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &upd) != nil {
		return errNoUpdate
	}
	if upd.StoreSilence > maxStoreSilence {
		return errReaderStale
	}
	// The reader answered no earlier than it had held the request.
	asOf := sent + upd.Held - upd.Age
	ctl.loop.Do(ctx, func(now clock.Milli) {
		dct.enterEra(upd.StoreEra, now)
		// Before the documents, so that the first ones come with the set.
		if upd.Evacuations != nil {
			ctl.evacs.apply(*upd.Evacuations, asOf, now, string(who))
		}
		ctl.evacs.receive(upd.Mark)
		ctl.facts.take(upd.Cold, now)
		switch {
		case upd.Text != nil:
			dct.applyPeer(proto.Document{Position: proto.Position{Era: upd.Era, Offset: upd.Offset}, Text: upd.Text}, asOf, now, string(who))
		case dct.isSame(upd.Version, upd.Offset):
			dct.confirmByPeer(asOf)
		}
		if upd.Listed && !dct.fromReader.apply(upd) {
			ctl.set.Log.Info().Str("reader", string(who)).Int("changes", len(upd.Endpoints)+len(upd.Gone)).Msg("endpoint changes relative to another list dropped")
			return
		}
		// Also without changes: the list may have been older than ours when it was received, and has been
		// read again since.
		ctl.endpts.reads.merge(upd.List.reads(sent + upd.Held))
		if upd.Digest != 0 && upd.Digest == dct.fromReader.Digest {
			ctl.endpts.receiveFrom(dct.fromReader, upd.List.provenance(ctl.endpts.listed, sent+upd.Held, string(who)), now)
		}
	})
	return nil
}

func (dct *docsCtl) updateRequest() updateRequest {
	mrk := dct.ctl.evacs.set.Mark()
	return updateRequest{
		Offset: dct.doc.Offset, Version: dct.version(), Digest: dct.fromReader.Digest, Builds: dct.fromReader.Builds, Evacuations: &mrk,
		List: dct.ctl.endpts.listed.mark(reads{}, dct.ctl.set.Clock.Now()),
	}
}

// ServeFollower answers a follower; it is registered with the link.
func (ctl *Control) ServeFollower(ctx context.Context, msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	var req updateRequest
	if cbor.Unmarshal(msg.Body, &req) != nil {
		return ans
	}
	began := ctl.set.Clock.Now()
	hold := ctl.capped(clock.FromDuration(updateHold), updateHoldShare)
	vw := ctl.waitFor(ctx, hold.Duration(), func(vw *View) bool {
		// A reader that gets no answers from the store reports that at once, so that the follower
		// turns to another source.
		silent := !req.Patient && vw.storeSilence(ctl.set.Clock.Now()) > maxStoreSilence
		return silent || vw.hasNewer(req) || vw.hasUpdate(req, began) || vw.hasEvacuations(req)
	})
	now := ctl.set.Clock.Now()
	if vw.answeredAt == 0 && vw.plan == nil {
		return ans
	}
	upd := update{Offset: vw.position.Offset, Version: max(versionOf(vw.plan), 0), Era: vw.position.Era, StoreEra: vw.storeEra, Age: vw.Age(now), Held: now - began, StoreSilence: vw.storeSilence(now), List: vw.listed.mark(vw.reads, now)}
	if vw.endpointsKnown {
		upd.Digest = vw.digest
	}
	if vw.hasNewer(req) {
		upd.Text = vw.text
	}
	if vw.hasUpdate(req, began) {
		upd.fillEndpoints(vw, req)
	}
	if mrk := vw.evacuations.Mark(); mrk != (evac.Mark{}) {
		upd.Mark = &mrk
	}
	if vw.hasEvacuations(req) {
		rec := vw.evacuations.Records(now)
		upd.Evacuations = &rec
	}
	if upd.Listed && (req.Digest == 0 || !upd.Changed) && len(vw.cold) > 0 {
		upd.Cold, _ = loop.Get(ctx, ctl.loop, ctl.cold.current)
	}
	if body, err := cbor.Marshal(upd); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// hasNewer reports whether the view has newer documents than a follower.
func (vw *View) hasNewer(req updateRequest) bool {
	if req.Version == 0 {
		return vw.position.Offset > req.Offset
	}
	return versionOf(vw.plan) > req.Version
}

// hasUpdate reports whether the view has another list of endpoints than a follower last received, which
// isn't older than the follower's own when it asked. A
// reader that has just started has no list yet, which does not mean that there are no endpoints:
// sent an empty list, a follower that had read the endpoints itself lost all of them and refused
// requests.
func (vw *View) hasUpdate(req updateRequest, asked clock.Milli) bool {
	if !vw.endpointsKnown || req.List != nil && vw.listed.isBefore(req.List.provenance(provenance{}, asked, "")) {
		return false
	}
	return vw.digest != req.Digest || req.Builds != 0 && vw.builds != req.Builds
}

// hasEvacuations reports whether the view has a later set of evacuated data centres than a follower, with
// others.
func (vw *View) hasEvacuations(req updateRequest) bool {
	if req.Evacuations == nil {
		return false
	}
	return vw.evacuations.Mark().Outdates(*req.Evacuations)
}

// waitFor waits up to a span for a view that satisfies a condition, and returns the latest view.
func (ctl *Control) waitFor(ctx context.Context, span time.Duration, want func(vw *View) bool) *View {
	tmr := time.NewTimer(span)
	defer tmr.Stop()
	for {
		changed := *ctl.viewChanged.Load()
		vw := ctl.View()
		if want(vw) {
			return vw
		}
		select {
		case <-changed:
		case <-tmr.C:
			return ctl.View()
		case <-ctx.Done():
			return ctl.View()
		}
	}
}

// backoffs records which readers failed, and until when they are not asked.
type backoffs struct {
	mtx  sync.Mutex
	ends map[ident.Incarnation]clock.Milli
}

func (bko *backoffs) until(who ident.Incarnation) clock.Milli {
	bko.mtx.Lock()
	defer bko.mtx.Unlock()
	return bko.ends[who]
}

func (bko *backoffs) add(who ident.Incarnation, end clock.Milli) {
	bko.mtx.Lock()
	defer bko.mtx.Unlock()
	if bko.ends == nil {
		bko.ends = map[ident.Incarnation]clock.Milli{}
	}
	bko.ends[who] = end
}
