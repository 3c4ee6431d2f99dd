package admit

import "amaranthvalve/pkg/clock"

// crowdedShare of the time left to a request is what it may need while its pools are
// crowded. The need is told from waits as they are now; more urgent requests that come
// later pass it, and others' pieces make its calls longer: a tenth took 0.9 s longer than
// was told. Those let in on the last millisecond were late as a rule, and took the places
// of others.
const crowdedShare = 0.75

// Times is what is known of a request's time when it comes.
type Times struct {
	// Need is the measured need of its stages with the waits before them.
	Need clock.Milli
	// Left is how long its caller will wait, and InTime how long an answer is of full
	// worth; a request without a goal has the same for both.
	Left   clock.Milli
	InTime clock.Milli
	// Crowded tells that others wait at its pools.
	Crowded bool
}

// Entry is what becomes of a request when it comes.
type Entry int

// The entries.
const (
	// LetIn: it may be in time, or nobody waits whom it would hold up.
	LetIn Entry = iota
	// Hopeless: it can't be answered before its caller leaves.
	Hopeless
	// LateInCrowd: it will probably be late, and would take the place of another that
	// can be in time.
	LateInCrowd
)

// Judge decides at once, when the request comes. Refused then it has cost nothing; the
// same request refused later has used others' time for nothing, and its caller has less
// left to come back with.
func (tms Times) Judge() Entry {
	switch {
	case tms.Need > tms.Left:
		return Hopeless
	case tms.Crowded && float64(tms.Need) > crowdedShare*float64(tms.InTime):
		return LateInCrowd
	}
	return LetIn
}

// Over gives by how much a request's need is beyond what it has: when to come back, at
// the soonest, if the waits shrink by themselves.
func (tms Times) Over() clock.Milli {
	if tms.Need > tms.Left {
		return tms.Need - tms.Left
	}
	return tms.Need - tms.InTime
}
