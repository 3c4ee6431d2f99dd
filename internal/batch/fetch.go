package batch

import (
	"time"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
)

const (
	// fetchLeast is how long a call is under way at the least before its endpoint is
	// taken to have fetched what the pieces are made from: the call's own way there
	// and the fetches' ways take a few milliseconds each.
	fetchLeast = 60 * clock.Milli(1)
	// fetchTimes is how many times as long as they take alone the fetches of a call
	// may take: others use the same links.
	fetchTimes = 4
	// heldFor is how long inputs are held to a call's end after some that had been given
	// back were found gone. Another instance gathers here too, and its calls are worked on
	// before ours begin; such a time ends when the members agree again.
	heldFor = 3 * clock.Second
)

// fetch is how far an order is with fetching its inputs.
//
// An endpoint fetches inputs at the beginning of a call and works for some hundred
// milliseconds then. Inputs that were held until the call's end took two thirds of
// the room that results had, and where room is short a pool's endpoints stand idle
// for want of it. They are given back after the fetch. The price: a call that fails
// later can't be repeated, its inputs must be made again first.
type fetch struct {
	// done tells of each piece whether its endpoint has fetched the inputs.
	done  []bool
	count int
	// over tells that the inputs were given back.
	over bool
}

func (fch *fetch) set(index, size int, done bool) {
	if fch.done == nil {
		fch.done = make([]bool, size)
	}
	if fch.done[index] == done {
		return
	}
	fch.done[index] = done
	if done {
		fch.count++
	} else {
		fch.count--
	}
}

// fetchTime gives how long after its beginning a call's inputs are fetched for certain.
func (pol *pool) fetchTime(bat gather.Batch) time.Duration {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	var bytes int64
	for _, pc := range bat.Pieces {
		if slt, ok := pol.slots[pc.ID]; ok {
			bytes += slt.ord.InputBytes
		}
	}
	span := fetchLeast.Duration()
	if pol.link > 0 {
		span += time.Duration(fetchTimes * float64(bytes) * 8 / pol.link * float64(time.Microsecond))
	}
	return span
}

// fetched notes that the endpoint of a call has the inputs of its pieces. Inputs that
// nobody else takes are given back once all pieces of their order have them.
func (pol *pool) fetched(bat gather.Batch) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	if pol.set.Clock.Now() < pol.holdUntil {
		return
	}
	for _, pc := range bat.Pieces {
		slt, ok := pol.slots[pc.ID]
		if !ok || slt.ord.ended {
			continue
		}
		ord := slt.ord
		ord.fetch.set(slt.index, ord.Count, true)
		if ord.fetch.count == ord.Count && !ord.fetch.over && len(ord.Last) > 0 {
			ord.fetch.over = true
			// They may be results of this very pool.
			go pol.set.Fetched(ord.Last)
		}
	}
}
