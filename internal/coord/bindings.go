package coord

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/sticky"
)

// A caller may take up a broken stream at any instance, and the stream may go on only at the build that began
// it. The instance that began the stream may have ended by then. It therefore reports the binding of the
// stream to the pool's coordinator, with the first event, and the coordinator sends copies to the next ones
// in the ranking. When the ranking changes, instances send new holders what these lack.

const (
	// bindingHolders is the number of instances, first in the ranking of a pool's coordinators, that hold
	// the bindings of its streams.
	bindingHolders = 3
	// copyDelay is how long a coordinator collects bindings for one message with copies.
	copyDelay = 20 * clock.Milli(1)
	// findTimeout bounds the query for a binding, of the holders and again of others.
	findTimeout = 50 * time.Millisecond
	// maxFindOthers bounds the instances that are asked when no holder knows a binding.
	maxFindOthers = 16
	// handoverInterval is the interval at which the holders of each pool are compared with earlier ones.
	handoverInterval = 500 * time.Millisecond
	// maxMessageBindings bounds the bindings in one message.
	maxMessageBindings = 2000
)

// bindingNote carries bindings of a pool's streams.
type bindingNote struct {
	Pool     string           `cbor:"1,keyasint"`
	Bindings []sticky.Binding `cbor:"2,keyasint"`
}

// bindingQuery asks for the binding of a stream in one of several pools.
type bindingQuery struct {
	Pools []string   `cbor:"1,keyasint"`
	Key   sticky.Key `cbor:"2,keyasint"`
}

// Bound is where a stream began. The zero value is that of an unknown stream.
type Bound struct {
	Pool  string `cbor:"1,keyasint,omitempty"`
	Build string `cbor:"2,keyasint,omitempty"`
	// Known is set if there is a binding; without a build it is contradictory.
	Known bool `cbor:"3,keyasint,omitempty"`
}

// merge returns what two instances know of a stream together.
func (bnd Bound) merge(oth Bound) Bound {
	switch {
	case !bnd.Known:
		return oth
	case !oth.Known || oth == bnd:
		return bnd
	}
	return Bound{Known: true}
}

// poolBindings has the bindings of a pool's streams.
type poolBindings struct {
	// known has all bindings, own those of streams that this instance began or resumed.
	known sticky.Table
	own   sticky.Table
	// holders are those at the last handover.
	holders []ident.Incarnation
	// copies are to be sent to the holders.
	copies []sticky.Binding
}

// bindings has the bindings by pool. The zero value is empty.
type bindings struct {
	mtx    sync.Mutex
	byPool map[string]*poolBindings
}

// pool returns the bindings of a pool; bds.mtx must be held.
func (bds *bindings) pool(name string) *poolBindings {
	if bds.byPool == nil {
		bds.byPool = map[string]*poolBindings{}
	}
	pbs, ok := bds.byPool[name]
	if !ok {
		pbs = &poolBindings{}
		bds.byPool[name] = pbs
	}
	return pbs
}

func (bds *bindings) add(pool string, list []sticky.Binding, own bool, now clock.Milli) {
	bds.mtx.Lock()
	defer bds.mtx.Unlock()
	pbs := bds.pool(pool)
	for _, bnd := range list {
		pbs.known.Add(bnd, now)
		if own {
			pbs.own.Add(bnd, now)
		}
	}
}

func (bds *bindings) find(qry bindingQuery, now clock.Milli) Bound {
	bds.mtx.Lock()
	defer bds.mtx.Unlock()
	var bnd Bound
	for _, name := range qry.Pools {
		pbs, ok := bds.byPool[name]
		if !ok || !pbs.known.Knows(qry.Key, now) {
			continue
		}
		build, _ := pbs.known.Find(qry.Key, now)
		bnd = bnd.merge(Bound{Pool: name, Build: build, Known: true})
	}
	return bnd
}

// holders returns the instances that hold the bindings of a pool's streams.
func (crd *Coordinator) holders(pool string) []ident.Incarnation {
	list := crd.set.Ranking(pool)
	return list[:min(len(list), bindingHolders)]
}

// BindStream records that a stream began at a build, under the names by which it may be resumed.
func (crd *Coordinator) BindStream(vw *state.View, pool, build string, keys ...sticky.Key) {
	list := make([]sticky.Binding, len(keys))
	for i, key := range keys {
		list[i] = sticky.Binding{Key: key, Build: build}
	}
	crd.bindings.add(pool, list, true, crd.set.Clock.Now())
	if crd.set.Link == nil {
		return
	}
	// Nothing is delayed: the stream would be lost if this instance ended before its binding was sent.
	if inc := crd.coordinator(vw, pool); inc != crd.set.Control.Self() {
		crd.reports.add(crd, inc, report{Pool: pool, Bindings: list})
		go crd.reports.send(crd, inc)
		return
	}
	for _, inc := range crd.holders(pool) {
		crd.sendBindings(inc, pool, list)
	}
}

// copyBindings sends bindings to the holders of a pool, together with others of the next moment.
func (crd *Coordinator) copyBindings(pool string, list []sticky.Binding) {
	crd.bindings.mtx.Lock()
	defer crd.bindings.mtx.Unlock()
	pbs := crd.bindings.pool(pool)
	if len(pbs.copies) == 0 {
		crd.set.After(copyDelay, func() { crd.sendCopies(pool) })
	}
	pbs.copies = append(pbs.copies, list...)
}

func (crd *Coordinator) sendCopies(pool string) {
	crd.bindings.mtx.Lock()
	pbs := crd.bindings.pool(pool)
	list := pbs.copies
	pbs.copies = nil
	crd.bindings.mtx.Unlock()
	for _, inc := range crd.holders(pool) {
		crd.sendBindings(inc, pool, list)
	}
}

// sendBindings sends bindings to another instance. What is lost is unknown there, and streams aren't resumed
// by it.
func (crd *Coordinator) sendBindings(inc ident.Incarnation, pool string, list []sticky.Binding) {
	if inc == crd.set.Control.Self() {
		return
	}
	for part := range slices.Chunk(list, maxMessageBindings) {
		body, err := cbor.Marshal(bindingNote{Pool: pool, Bindings: part})
		if err != nil {
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			_, _ = crd.set.Link.Call(ctx, inc.Addr(), peer.Message{Kind: peer.NoteBindings, From: crd.set.Control.Self(), To: inc, Body: body})
		}()
	}
}

// HandleBindings handles copies of bindings; it is registered with the link.
func (crd *Coordinator) HandleBindings(msg peer.Message) peer.Message {
	var note bindingNote
	if cbor.Unmarshal(msg.Body, &note) != nil {
		return peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	}
	crd.bindings.add(note.Pool, note.Bindings, false, crd.set.Clock.Now())
	return peer.Message{Kind: peer.OK, From: crd.set.Control.Self()}
}

// FindStream returns where a stream began that may have begun in one of several pools. The holders are asked,
// and some other instances if no holder knows it: those that began streams have their own, and holders may
// have changed.
func (crd *Coordinator) FindStream(ctx context.Context, vw *state.View, pools []string, key sticky.Key) Bound {
	qry := bindingQuery{Pools: pools, Key: key}
	now := crd.set.Clock.Now()
	if bnd := crd.bindings.find(qry, now); bnd.Known || crd.set.Link == nil {
		return bnd
	}
	select {
	case <-crd.joined:
	case <-crd.set.Control.MembersKnown():
	case <-ctx.Done():
		return Bound{}
	}
	vw = crd.set.Control.View()
	asked := map[ident.Incarnation]bool{crd.set.Control.Self(): true}
	var first, others []ident.Incarnation
	for _, pool := range pools {
		for i, inc := range vw.Coordinators(pool) {
			switch {
			case asked[inc]:
				continue
			case i < bindingHolders:
				first = append(first, inc)
			case len(others) < maxFindOthers:
				others = append(others, inc)
			}
			asked[inc] = true
		}
	}
	if bnd := crd.askBindings(ctx, first, qry); bnd.Known {
		return bnd
	}
	return crd.askBindings(ctx, others, qry)
}

// askBindings asks instances for a binding, and merges their answers.
func (crd *Coordinator) askBindings(ctx context.Context, list []ident.Incarnation, qry bindingQuery) Bound {
	body, err := cbor.Marshal(qry)
	if err != nil || len(list) == 0 {
		return Bound{}
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan Bound, len(list))
	for _, inc := range list {
		go func() {
			var bnd Bound
			ans, err := crd.set.Link.Call(ctx, inc.Addr(), peer.Message{Kind: peer.FindBinding, From: crd.set.Control.Self(), To: inc, Body: body})
			if err != nil || ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &bnd) != nil {
				bnd = Bound{}
			}
			answers <- bnd
		}()
	}
	var bnd Bound
	for range list {
		bnd = bnd.merge(<-answers)
	}
	return bnd
}

// HandleFind answers the query for a binding; it is registered with the link.
func (crd *Coordinator) HandleFind(msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	var qry bindingQuery
	if cbor.Unmarshal(msg.Body, &qry) != nil {
		return ans
	}
	if body, err := cbor.Marshal(crd.bindings.find(qry, crd.set.Clock.Now())); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// HandOverBindings sends new holders of bindings what they lack, until the context ends.
func (crd *Coordinator) HandOverBindings(ctx context.Context) {
	tkr := time.NewTicker(handoverInterval)
	defer tkr.Stop()
	for crd.set.Link != nil {
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
			crd.handOver()
		}
	}
}

// handOver compares the holders of each pool with those at the last call. New ones get the bindings of the
// streams that this instance began, and all that it knows if it ranks first among the earlier holders.
func (crd *Coordinator) handOver() {
	now := crd.set.Clock.Now()
	crd.bindings.mtx.Lock()
	defer crd.bindings.mtx.Unlock()
	for name, pbs := range crd.bindings.byPool {
		before, current := pbs.holders, slices.Clone(crd.holders(name))
		pbs.holders = current
		list := pbs.own.All(now)
		if isFirstOf(crd.set.Control.Self(), before, current) {
			list = pbs.known.All(now)
		}
		for _, inc := range current {
			if !slices.Contains(before, inc) && len(list) > 0 {
				crd.sendBindings(inc, name, list)
			}
		}
	}
}

// isFirstOf reports whether an instance is the first of the earlier holders that still is one.
func isFirstOf(self ident.Incarnation, before, current []ident.Incarnation) bool {
	for _, inc := range current {
		if slices.Contains(before, inc) {
			return inc == self
		}
	}
	return false
}
