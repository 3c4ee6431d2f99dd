package hedge

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

const (
	// keptTimes is the number of times that are kept: enough for a quantile of 0.95 to rest on six of them.
	keptTimes = 128
	// minTimes is the number of times below which the quantile is not known.
	minTimes = 20
	// maxTimeAge is the time after the last one at which the times say nothing about the present.
	maxTimeAge = clock.Minute
	// minOverMedian is the least delay as a multiple of the median: a hedge that is sent earlier mostly repeats what
	// is about to be answered. While all endpoints are equally fast, few answers take longer.
	minOverMedian = 1.2
	// minDelay is the shortest delay: below it, the jitter of the network and of the processes decides.
	minDelay = 5 * clock.Milli(1)
)

// Times are the latest times to the first byte of the answers of one route and pool, in ms. The zero value is empty.
type Times struct {
	list  []clock.Milli
	next  int
	stamp clock.Milli
	// delay is the latest result of Delay; it is computed again for each eighth of the times.
	delay clock.Milli
	since int
}

// Add records a time. One of an attempt that was cancelled is a lower bound; leaving it out would shorten the delay
// while endpoints are slow.
func (tms *Times) Add(took, now clock.Milli) {
	if now-tms.stamp > maxTimeAge {
		tms.list, tms.next, tms.delay = tms.list[:0], 0, 0
	}
	tms.stamp = now
	if len(tms.list) < keptTimes {
		tms.list = append(tms.list, took)
	} else {
		tms.list[tms.next] = took
	}
	tms.next = (tms.next + 1) % keptTimes
	tms.since++
}

// Delay returns the time that a share of the answers exceeds, at least [minOverMedian] of their median; zero if it is
// not known. With a fixed quantile of 0.9, the delay is itself a slow answer as soon as a tenth of the endpoints are
// slow, and hedges come too late for any of them.
func (tms *Times) Delay(share float64, now clock.Milli) clock.Milli {
	if len(tms.list) < minTimes || now-tms.stamp > maxTimeAge {
		return 0
	}
	if tms.delay == 0 || tms.since >= keptTimes/8 {
		sorted := slices.Sorted(slices.Values(tms.list))
		at := int((1 - share) * float64(len(sorted)))
		median := clock.Milli(minOverMedian * float64(sorted[len(sorted)/2]))
		tms.delay, tms.since = max(sorted[min(at, len(sorted)-1)], median, minDelay), 0
	}
	return tms.delay
}
