package gather

import (
	"math"

	"amaranthvalve/pkg/clock"
)

const (
	// paceHalf is the time after which what was seen of a pool's pace counts half:
	// a few calls, so that a burst is noticed within one request's time.
	paceHalf = 1000.0
	// paceLeast is how long a pool must have been seen with more to do than one call
	// holds before its pace counts.
	paceLeast = 200.0
)

// pace is how fast pieces get into calls while more of them wait than a call holds.
//
// A pool's calls and places tell how fast it could be. Where results take all the room
// at their makers it is several times slower, and an estimate from the calls let in
// requests that then waited in the middle of their way until what had been made for
// them lapsed.
type pace struct {
	at      clock.Milli
	backlog bool
	span    float64
	pieces  float64
}

// note takes the time since the last note, if pieces waited during it, and that so many
// pieces were begun at its end. backlog tells whether more wait now than a call holds.
func (pc *pace) note(begun int, backlog bool, now clock.Milli) {
	elapsed := float64(now - pc.at)
	keep := math.Exp2(-elapsed / paceHalf)
	pc.span, pc.pieces = pc.span*keep, pc.pieces*keep
	if pc.backlog {
		pc.span += elapsed
		pc.pieces += float64(begun)
	}
	pc.at, pc.backlog = now, backlog
}

// each gives the time in which one more piece gets into a call, zero if too little was
// seen.
func (pc *pace) each() float64 {
	if pc.span < paceLeast {
		return 0
	}
	return pc.span / max(pc.pieces, 1)
}
