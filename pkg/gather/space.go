package gather

import "amaranthvalve/pkg/clock"

// timeShare is the weight of a new call in the mean planned time of calls.
const timeShare = 0.1

// spacing keeps the beginnings of a pool's calls apart by the time in which one of its
// places comes free, which is a call's time over the number of places.
//
// Called for at once, whatever is there takes all free places with small calls. These end
// together too, and what came meanwhile has waited for half a call and goes in one large
// call: the calls of a pool bunch as the buses of a line do, and are held at a stop for
// the same reason.
type spacing struct {
	// any tells that a call was begun, the latest at last; took is the mean planned time.
	any  bool
	last clock.Milli
	took float64
}

// note takes a call that begins.
func (spc *spacing) note(planned, now clock.Milli) {
	if !spc.any {
		spc.took = float64(planned)
	}
	spc.any, spc.last = true, now
	spc.took += timeShare * (float64(planned) - spc.took)
}

// left gives how long the next call is held back; rate is the number of places.
func (spc *spacing) left(rate float64, now clock.Milli) clock.Milli {
	if !spc.any || rate == 0 {
		return 0
	}
	return max(spc.last+clock.Milli(spc.took/rate)-now, 0)
}

// Space gives how long calls are held back from now on, zero while there is no reason
// to. A full call is not held back: waiting would add nothing to it.
func (bk *Book) Space(now clock.Milli) clock.Milli {
	if len(bk.waiting) >= bk.spec.Most {
		return 0
	}
	rate, _ := bk.rate(now)
	return bk.spacing.left(rate, now)
}
