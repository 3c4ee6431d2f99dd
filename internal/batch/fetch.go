package batch

import (
	"time"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
)

const (
	// minFetchTime is the minimum time after which a call's endpoint is assumed to have fetched the
	// inputs: the call itself and the fetches take a few milliseconds each to arrive.
	minFetchTime = 60 * clock.Milli(1)
	// fetchTimeFactor is how many times as long as on an idle link the fetches of a call may take,
	// since other transfers share the link.
	fetchTimeFactor = 4
	// inputHoldTime is how long inputs are held until their calls end after an endpoint found
	// inputs already released. That happens while a second instance coordinates the pool and its
	// calls are processed before ours; it stops once the members agree again.
	inputHoldTime = 3 * clock.Second
)

// fetchState tracks which items of an order have fetched their inputs.
//
// An endpoint fetches inputs at the beginning of a call and then works for some hundred
// milliseconds. Holding inputs until the end of the call took two thirds of the result storage, and
// where storage is short the pool's endpoints were idle for lack of it. Inputs are therefore
// released after the fetch. In return, a call that fails later can't be retried before its inputs
// have been recomputed.
type fetchState struct {
	// done is true for each item whose endpoint has fetched the inputs.
	done    []bool
	numDone int
	// released is set once the inputs have been released.
	released bool
}

func (fst *fetchState) set(index, size int, done bool) {
	if fst.done == nil {
		fst.done = make([]bool, size)
	}
	if fst.done[index] == done {
		return
	}
	fst.done[index] = done
	if done {
		fst.numDone++
	} else {
		fst.numDone--
	}
}

// fetchTime returns the time after the beginning of a call at which its inputs are assumed to be
// fetched.
func (pol *pool) fetchTime(bat gather.Batch) time.Duration {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	var bytes int64
	for _, itm := range bat.Items {
		if ref, ok := pol.refs[itm.ID]; ok {
			bytes += ref.ord.InputBytes
		}
	}
	span := minFetchTime.Duration()
	if pol.linkMbps > 0 {
		span += time.Duration(fetchTimeFactor * float64(bytes) * 8 / pol.linkMbps * float64(time.Microsecond))
	}
	return span
}

// inputsFetched records that the endpoint of a call has fetched the inputs of its items. Inputs
// without another consumer are released once all items of their order have fetched them.
func (pol *pool) inputsFetched(bat gather.Batch) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	if pol.set.Clock.Now() < pol.holdInputsUntil {
		return
	}
	for _, itm := range bat.Items {
		ref, ok := pol.refs[itm.ID]
		if !ok || ref.ord.completed {
			continue
		}
		ord := ref.ord
		ord.fetch.set(ref.index, ord.Count, true)
		if ord.fetch.numDone == ord.Count && !ord.fetch.released && len(ord.LastInputs) > 0 {
			ord.fetch.released = true
			// In a goroutine, because the inputs may be results of this pool, whose lock is held.
			go pol.set.OnInputsFetched(ord.LastInputs)
		}
	}
}
