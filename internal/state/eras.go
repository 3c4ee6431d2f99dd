package state

import (
	"math"

	"amaranthvalve/pkg/clock"
)

// settleTime is the time within which the operators and the endpoints write again what a store has lost
// that came back from a copy.
const settleTime = 2 * clock.Second

// unknownFloor is more than any version.
const unknownFloor = math.MaxInt64

// eras judges whether the store may lack what it once had: it may come back from a copy, in a new era. The
// zero value knows no era.
//
// A store that came back has the newest documents again once it has those that were the newest before, or
// when settleTime has passed. Until then it confirms nothing: a token that it accepts may have been
// revoked. An instance that has just started can't tell when the era began, and one whose documents were
// confirmed some time ago doesn't know which were the newest.
type eras struct {
	known bool
	era   int64
	// since is when this instance noticed the era, zero if the store lacks nothing.
	since clock.Milli
	// floor is the version that the store must have, unknownFloor if that isn't known.
	floor int64
}

// isOver reports whether an answer of an era is from before the current one.
func (era *eras) isOver(number int64) bool { return era.known && number < era.era }

// enter records the era of an answer, and reports whether the store may lack something since. floor is the
// version that the store must have had before, unknownFloor if that isn't known.
func (era *eras) enter(number, floor int64, now clock.Milli) bool {
	if era.known && number <= era.era {
		return false
	}
	first := !era.known
	era.known, era.era = true, number
	if first && number == 0 {
		return false
	}
	era.since, era.floor = now, floor
	return true
}

// reached records the version of the store's documents.
func (era *eras) reached(version int64) {
	if version >= era.floor {
		era.since = 0
	}
}

// confirmed records the version of which another instance knows that it was the newest at an instant. From
// before this instance noticed the era, that proves nothing.
func (era *eras) confirmed(version int64, asOf clock.Milli) {
	if era.floor == unknownFloor && asOf >= era.since {
		era.floor = version
	}
}

// settled reports whether the store has all that it should have.
func (era *eras) settled(now clock.Milli) bool {
	if era.since > 0 && now-era.since >= settleTime {
		era.since = 0
	}
	return era.since == 0
}
