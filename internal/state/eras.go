package state

import (
	"math"

	"amaranthvalve/pkg/clock"
)

// settleTime is the time within which the operators and the endpoints write again what a store has lost
// that came back from a copy.
const settleTime = 2 * clock.Second

// eras judges whether the store may lack what it once had: it may come back from a copy, in a new era. The
// zero value knows no era.
//
// A store that came back has the newest documents again once it has those that were in force before, or
// when settleTime has passed. Until then it confirms nothing: a token that it accepts may have been
// revoked. An instance that has just started can't tell when the era began.
type eras struct {
	known bool
	era   int64
	// since is when this instance noticed the era, zero if the store lacks nothing.
	since clock.Milli
	// floor is the version that the store must have.
	floor int64
}

// isOver reports whether an answer of an era is from before the current one.
func (era *eras) isOver(number int64) bool { return era.known && number < era.era }

// enter records the era of an answer, and reports whether the store may lack something since. confirmed is
// the version of the documents that were in force and confirmed before, zero for none.
func (era *eras) enter(number, confirmed int64, now clock.Milli) bool {
	if era.known && number <= era.era {
		return false
	}
	first := !era.known
	era.known, era.era = true, number
	if first && number == 0 {
		return false
	}
	era.since, era.floor = now, confirmed
	if confirmed == 0 {
		era.floor = math.MaxInt64
	}
	return true
}

// reached records the version of the store's documents.
func (era *eras) reached(version int64) {
	if version >= era.floor {
		era.since = 0
	}
}

// confirmed records that another instance knows a version as the newest.
func (era *eras) confirmed(version int64) {
	if era.floor == math.MaxInt64 {
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
