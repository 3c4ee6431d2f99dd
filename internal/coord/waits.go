package coord

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// Each answer to an order includes the estimated wait of the next item. When each of many instances
// sends a few requests per second, that estimate is half a second old at the next request, and by
// then a whole queue may have been served or built up. Requests admitted by it were late when the
// queue had grown meanwhile, and took slots and result storage from requests that were in time. The
// coordinators are therefore queried before a request is admitted. They also know whether the
// request came before: a refused caller may retry at any instance.

const (
	// waitQueryTimeout bounds a wait query: a few round trips between data centres. Earlier
	// estimates are used after that.
	waitQueryTimeout = 30 * time.Millisecond
	// arrivalTTL is how long the first arrival of a request is kept, so that retries are
	// recognised: longer than the deadlines of most callers.
	arrivalTTL = 20 * clock.Second
	// maxArrivals bounds the kept arrivals: 20 s of 1,000 requests per second, 1 MB.
	maxArrivals = 20000
)

func (crd *Coordinator) noteWait(pool string, rank int, span clock.Milli) {
	crd.mtx.Lock()
	defer crd.mtx.Unlock()
	crd.waits.Note(pool, rank, span, crd.set.Clock.Now())
}

// noteOrderWait records the waits in the result of an order. A coordinator of the previous build tells
// only that of all items.
func (crd *Coordinator) noteOrderWait(ord batch.Order, orr batch.OrderResult) {
	crd.noteWait(ord.Pool, admit.Unranked, orr.Wait)
	switch {
	case orr.RankWait != nil:
		crd.noteWait(ord.Pool, ord.Rank, *orr.RankWait)
	case ord.Ranked:
		crd.noteWait(ord.Pool, ord.Rank, orr.Wait)
	}
}

// EstimateWait estimates how long an item of a rank would wait in a pool: the coordinator's last
// estimate, less the time since. The rank is [admit.Unranked] where ranks don't count.
func (crd *Coordinator) EstimateWait(pool string, rank int) clock.Milli {
	crd.mtx.Lock()
	defer crd.mtx.Unlock()
	return crd.waits.At(pool, rank, crd.set.Clock.Now())
}

// waitQuery asks a coordinator for wait estimates before a request is admitted.
type waitQuery struct {
	// Fingerprint identifies the request across the attempts of its caller; zero if this
	// coordinator does not record its first arrival.
	Fingerprint uint64   `cbor:"1,keyasint,omitempty"`
	Pools       []string `cbor:"2,keyasint"`
	// Ranked asks for the waits at a rank. A coordinator of the previous build ignores it, and
	// answers with the waits of all items.
	Ranked *rankedQuery `cbor:"3,keyasint,omitempty"`
}

// rankedQuery is the part of a waitQuery about the rank of a request.
type rankedQuery struct {
	Rank int `cbor:"1,keyasint,omitempty"`
	// Due is the time until the request's items are due, for each pool of the query.
	Due []clock.Milli `cbor:"2,keyasint"`
}

// dueIn returns the time until the items of the i-th pool are due.
func (rqu *rankedQuery) dueIn(i int) clock.Milli {
	if i >= len(rqu.Due) {
		return 0
	}
	return rqu.Due[i]
}

// WaitAsk asks for the waits of a request's items.
type WaitAsk struct {
	// Fingerprint identifies the request across the attempts of its caller.
	Fingerprint uint64
	// Rank is the rank at which the items would wait, [admit.Unranked] to count all items.
	Rank  int
	Pools []string
	// Due is the time until the items of each pool are due; it is ignored without a rank.
	Due []clock.Milli
}

// waitReply answers a waitQuery.
type waitReply struct {
	// Waits has the estimated wait of an item that is added now, for each pool: at the rank of the
	// query if it has one.
	Waits []clock.Milli `cbor:"1,keyasint"`
	// Elapsed is the time since the first arrival of the request.
	Elapsed clock.Milli `cbor:"2,keyasint,omitempty"`
}

// QueryWaits queries the coordinators of pools for their wait estimates, which
// [Coordinator.EstimateWait] then uses. It returns the time since the first arrival of the request
// at any instance, which the coordinator of the first pool records. The last estimate of a
// coordinator that doesn't answer stays in use; orders and probes detect whether that coordinator
// is gone.
func (crd *Coordinator) QueryWaits(ctx context.Context, vw *state.View, ask WaitAsk) (elapsed clock.Milli) {
	queries := map[ident.Incarnation]waitQuery{}
	for i, pool := range ask.Pools {
		inc := crd.coordinator(vw, pool)
		wqr := queries[inc]
		wqr.Pools = append(wqr.Pools, pool)
		if i == 0 {
			wqr.Fingerprint = ask.Fingerprint
		}
		if ask.Rank != admit.Unranked {
			if wqr.Ranked == nil {
				wqr.Ranked = &rankedQuery{Rank: ask.Rank}
			}
			wqr.Ranked.Due = append(wqr.Ranked.Due, ask.Due[i])
		}
		queries[inc] = wqr
	}
	ctx, cancel := context.WithTimeout(ctx, waitQueryTimeout)
	defer cancel()
	var total atomic.Int64
	var grp sync.WaitGroup
	for inc, wqr := range queries {
		grp.Go(func() {
			wrp, ok := crd.queryWait(ctx, inc, wqr)
			if !ok {
				return
			}
			for i, pool := range wqr.Pools {
				crd.noteWait(pool, ask.Rank, wrp.Waits[i])
			}
			total.Add(int64(wrp.Elapsed))
		})
	}
	grp.Wait()
	return clock.Milli(total.Load())
}

// coordinator returns the responsive coordinator of a pool, to which its orders go first.
func (crd *Coordinator) coordinator(vw *state.View, pool string) ident.Incarnation {
	for _, inc := range vw.Coordinators(pool) {
		if !crd.isUnresponsive(inc) {
			return inc
		}
	}
	return crd.set.Control.Self()
}

// queryWait queries one coordinator, which may be this instance.
func (crd *Coordinator) queryWait(ctx context.Context, inc ident.Incarnation, wqr waitQuery) (waitReply, bool) {
	if inc == crd.set.Control.Self() || crd.set.Link == nil {
		return crd.answerWait(wqr), true
	}
	body, err := cbor.Marshal(wqr)
	if err != nil {
		return waitReply{}, false
	}
	msg := peer.Message{Kind: peer.GetWait, From: crd.set.Control.Self(), To: inc, Body: body}
	ans, err := crd.set.Link.Call(ctx, inc.Addr(), msg)
	if err != nil || ans.Kind != peer.OK {
		return waitReply{}, false
	}
	var wrp waitReply
	if cbor.Unmarshal(ans.Body, &wrp) != nil || len(wrp.Waits) != len(wqr.Pools) {
		return waitReply{}, false
	}
	return wrp, true
}

func (crd *Coordinator) answerWait(wqr waitQuery) waitReply {
	wrp := waitReply{Waits: make([]clock.Milli, len(wqr.Pools))}
	for i, pool := range wqr.Pools {
		if wqr.Ranked != nil {
			wrp.Waits[i] = crd.set.Batcher.EstimateRankWait(pool, wqr.Ranked.Rank, wqr.Ranked.dueIn(i))
			continue
		}
		wrp.Waits[i] = crd.set.Batcher.EstimateWait(pool)
	}
	if wqr.Fingerprint != 0 {
		wrp.Elapsed = crd.arrivals.elapsed(wqr.Fingerprint, crd.set.Clock.Now())
	}
	return wrp
}

// HandleWaitQuery handles a wait query of another instance; it is registered with the link.
func (crd *Coordinator) HandleWaitQuery(msg peer.Message) peer.Message {
	ans := peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	var wqr waitQuery
	if cbor.Unmarshal(msg.Body, &wqr) != nil {
		return ans
	}
	if body, err := cbor.Marshal(crd.answerWait(wqr)); err == nil {
		ans.Kind, ans.Body = peer.OK, body
	}
	return ans
}

// arrivals records the first arrivals of requests, the latest maxArrivals of them. The zero value
// is empty.
type arrivals struct {
	mtx   sync.Mutex
	first map[uint64]clock.Milli
	order []uint64
}

// has reports whether an arrival of a request is recorded that is recent.
func (arr *arrivals) has(fp uint64, now clock.Milli) bool {
	arr.mtx.Lock()
	defer arr.mtx.Unlock()
	at, ok := arr.first[fp]
	return ok && now-at <= arrivalTTL
}

// elapsed returns the time since the first arrival of a request, and records the arrival if it is
// the first.
func (arr *arrivals) elapsed(fp uint64, now clock.Milli) clock.Milli {
	arr.mtx.Lock()
	defer arr.mtx.Unlock()
	if arr.first == nil {
		arr.first = map[uint64]clock.Milli{}
	}
	for len(arr.order) > 0 && (len(arr.order) > maxArrivals || now-arr.first[arr.order[0]] > arrivalTTL) {
		delete(arr.first, arr.order[0])
		arr.order = arr.order[1:]
	}
	at, ok := arr.first[fp]
	if !ok {
		arr.first[fp] = now
		arr.order = append(arr.order, fp)
		return 0
	}
	return now - at
}
