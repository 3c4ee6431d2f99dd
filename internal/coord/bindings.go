package coord

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
	// copyDelay is how long a coordinator collects bindings for one message with copies.
	copyDelay = 20 * clock.Milli(1)
	// reportRepeat is how long a coordinator has to answer a report before the bindings in it are sent to
	// the other holders as well: it may have ended, and this instance may end next.
	reportRepeat = 100 * clock.Milli(1)
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

// poolBindings has the bindings of a pool's streams, and copies that are to be sent to the holders.
type poolBindings struct {
	sticky.Replica
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

func (bds *bindings) begin(pool string, list []sticky.Binding, now clock.Milli) {
	bds.mtx.Lock()
	defer bds.mtx.Unlock()
	bds.pool(pool).Begin(list, now)
}

func (bds *bindings) learn(pool string, list []sticky.Binding, now clock.Milli) {
	bds.mtx.Lock()
	defer bds.mtx.Unlock()
	bds.pool(pool).Learn(list, now)
}

func (bds *bindings) find(qry bindingQuery, now clock.Milli) Bound {
	bds.mtx.Lock()
	defer bds.mtx.Unlock()
	var bnd Bound
	for _, name := range qry.Pools {
		if build, known := bds.pool(name).Find(qry.Key, now); known {
			bnd = bnd.merge(Bound{Pool: name, Build: build, Known: true})
		}
	}
	return bnd
}

// BindStream records that a stream began at a build, under the names by which it may be resumed.
func (crd *Coordinator) BindStream(vw *state.View, pool, build string, keys ...sticky.Key) {
	list := make([]sticky.Binding, len(keys))
	for i, key := range keys {
		list[i] = sticky.Binding{Key: key, Build: build}
	}
	crd.bindings.begin(pool, list, crd.set.Clock.Now())
	if crd.set.Link == nil {
		return
	}
	// Nothing is delayed: the stream would be lost if this instance ended before its binding was sent.
	if inc := crd.coordinator(vw, pool); inc != crd.set.Control.Self() {
		crd.reports.add(crd, inc, report{Pool: pool, Bindings: list})
		go crd.reports.send(crd, inc)
		return
	}
	for _, inc := range sticky.Holders(crd.set.Ranking(pool)) {
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
	for _, inc := range sticky.Holders(crd.set.Ranking(pool)) {
		crd.sendBindings(inc, pool, list)
	}
}

// copyUnlessAnswered has the bindings in reports to a coordinator sent to the holders, unless the returned
// function is called within reportRepeat.
func (crd *Coordinator) copyUnlessAnswered(list []report) (answered func()) {
	var done atomic.Bool
	for _, rpt := range list {
		if len(rpt.Bindings) > 0 {
			crd.set.After(reportRepeat, func() {
				if !done.Load() {
					crd.copyBindings(rpt.Pool, rpt.Bindings)
				}
			})
		}
	}
	return func() { done.Store(true) }
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
	crd.bindings.learn(note.Pool, note.Bindings, crd.set.Clock.Now())
	return peer.Message{Kind: peer.OK, From: crd.set.Control.Self()}
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

// handOver sends the new holders of each pool what they lack.
func (crd *Coordinator) handOver() {
	now := crd.set.Clock.Now()
	crd.bindings.mtx.Lock()
	defer crd.bindings.mtx.Unlock()
	for name, pbs := range crd.bindings.byPool {
		to, list := pbs.HandOver(crd.set.Control.Self(), crd.set.Ranking(name), now)
		for _, inc := range to {
			crd.sendBindings(inc, name, list)
		}
	}
}
