package front

import (
	"sync"

	"amaranthvalve/pkg/clock"
)

const (
	// usualKept bounds the different spans that are counted for a route.
	usualKept = 64
	// usualHalved is the number of requests after which counts are halved, so
	// that a route whose callers changed their time is learned anew.
	usualHalved = 256
	// usualFrom is how many requests must agree before a span is called usual.
	usualFrom = 3
)

// usual learns how long each route's callers are ready to wait when they come for
// the first time. Callers of one kind of request all say the same; one who says
// less has spent a part of its time already: it was refused, or failed elsewhere,
// and came back.
type usual struct {
	mtx    sync.Mutex
	counts map[string]map[clock.Milli]int
	seen   map[string]int
}

// spent gives how much of its time a caller has spent before it came, and notes
// what it says.
func (usl *usual) spent(route string, left clock.Milli) clock.Milli {
	if left <= 0 {
		return 0
	}
	usl.mtx.Lock()
	defer usl.mtx.Unlock()
	if usl.counts == nil {
		usl.counts, usl.seen = map[string]map[clock.Milli]int{}, map[string]int{}
	}
	counts := usl.counts[route]
	if counts == nil {
		counts = map[clock.Milli]int{}
		usl.counts[route] = counts
	}
	if usl.seen[route]++; usl.seen[route]%usualHalved == 0 || len(counts) >= usualKept {
		halve(counts)
	}
	counts[left]++
	most, times := clock.Milli(0), usualFrom-1
	for span, n := range counts {
		if n > times || n == times && span > most && most > 0 {
			most, times = span, n
		}
	}
	return max(most-left, 0)
}

func halve(counts map[clock.Milli]int) {
	for span, n := range counts {
		if n /= 2; n == 0 {
			delete(counts, span)
		} else {
			counts[span] = n
		}
	}
}
