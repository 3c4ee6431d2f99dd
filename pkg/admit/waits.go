package admit

import (
	"math"

	"amaranthvalve/pkg/clock"
)

const (
	// Unranked is the rank of a wait that counts all queued items, whatever their ranks.
	Unranked = -1
	// LeastUrgent is a rank that is not more urgent than any other.
	LeastUrgent = math.MaxInt
)

// WaitTable holds the last known waits of pools by rank. The zero value knows of none. It is not safe
// for concurrent use.
//
// The wait of a rank is never shorter than that of a more urgent one. So each new wait also raises
// those of less urgent ranks that are shorter, and lowers those of more urgent ranks that are
// longer. In a large deployment an instance hears of the wait of a rare rank only every few
// seconds, and in between learns from the waits of the others.
type WaitTable struct {
	pools map[string]map[int]wait
}

// wait is a wait with the time at which it was learnt.
type wait struct {
	span clock.Milli
	at   clock.Milli
}

func (wt wait) left(now clock.Milli) clock.Milli { return max(wt.span-(now-wt.at), 0) }

// Note records the wait of a rank, 0 being the most urgent, or [Unranked].
func (wtb *WaitTable) Note(pool string, rank int, span, now clock.Milli) {
	if wtb.pools == nil {
		wtb.pools = map[string]map[int]wait{}
	}
	if wtb.pools[pool] == nil {
		wtb.pools[pool] = map[int]wait{}
	}
	byRank := wtb.pools[pool]
	byRank[rank] = wait{span: span, at: now}
	if rank == Unranked {
		return
	}
	for oth, wt := range byRank {
		if oth != Unranked && (oth > rank && wt.left(now) < span || oth < rank && wt.left(now) > span) {
			byRank[oth] = wait{span: span, at: now}
		}
	}
}

// At returns the last known wait of a rank, less the time since; zero if none is known. If none is
// known of the rank itself, that of the next more urgent one is returned, which is a lower bound.
func (wtb *WaitTable) At(pool string, rank int, now clock.Milli) clock.Milli {
	if rank == Unranked {
		return wtb.pools[pool][Unranked].left(now)
	}
	nearest, left := Unranked, clock.Milli(0)
	for oth, wt := range wtb.pools[pool] {
		if oth <= rank && oth > nearest {
			nearest, left = oth, wt.left(now)
		}
	}
	return left
}
