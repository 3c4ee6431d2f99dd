package place

import (
	"math"
	"math/bits"

	"amaranthvalve/pkg/clock"
)

const (
	// minClassTokens is the width of the first size class in tokens; each further class is twice as
	// wide. Sixteen classes exceed any prompt.
	minClassTokens = 128
	classCount     = 16
	// curveWeight is the weight of a new measurement in its class.
	curveWeight = 0.1
	// slownessWeight is the weight of a new measurement in an engine's slowness. slownessHalfLife
	// is the half-life of the slowness in milliseconds, so that an engine that gets no requests for
	// a long time is tried again.
	slownessWeight   = 0.2
	slownessHalfLife = 15000.0
	// minSlowRatio and maxSlowRatio clip a single measurement: values beyond them are outliers, or
	// come from a fault that also causes failures.
	minSlowRatio = 0.5
	maxSlowRatio = 8.0
	// frequencyHalfLife is the half-life of the count of recent events in milliseconds.
	frequencyHalfLife = 7000.0
)

// point is the mean of the measurements in one size class.
type point struct {
	size  float64
	value float64
	known bool
}

// curve is a measured time in milliseconds by a size in tokens, interpolated linearly between the
// means of size classes. The zero value has no measurements.
type curve struct {
	points [classCount]point
}

func (crv *curve) sample(size int, value float64) {
	class := min(bits.Len(uint(max(size, 0)/minClassTokens)), classCount-1)
	pnt := &crv.points[class]
	if !pnt.known {
		*pnt = point{size: float64(size), value: value, known: true}
		return
	}
	pnt.size += curveWeight * (float64(size) - pnt.size)
	pnt.value += curveWeight * (value - pnt.value)
}

// at returns the time for a size, or guess if nothing was measured. Beyond the largest measured
// size the time grows in proportion.
func (crv *curve) at(size int, guess float64) float64 {
	var below, above *point
	for i := range crv.points {
		pnt := &crv.points[i]
		switch {
		case !pnt.known:
		case pnt.size <= float64(size):
			below = pnt
		case above == nil:
			above = pnt
		}
	}
	switch {
	case below == nil && above == nil:
		return guess
	case below == nil:
		return above.value
	case above == nil:
		return below.value * max(float64(size)/max(below.size, 1), 1)
	}
	return below.value + (above.value-below.value)*(float64(size)-below.size)/(above.size-below.size)
}

// slope returns the time per token over all measured sizes, or guess.
func (crv *curve) slope(guess float64) float64 {
	var first, last *point
	for i := range crv.points {
		if !crv.points[i].known {
			continue
		}
		if first == nil {
			first = &crv.points[i]
		}
		last = &crv.points[i]
	}
	if first == last || last.value <= first.value {
		return guess
	}
	return (last.value - first.value) / (last.size - first.size)
}

// slowness is the ratio of an engine's times to those of the others. The zero value means 1.
type slowness struct {
	excess float64
	at     clock.Milli
}

func (slw *slowness) current(now clock.Milli) float64 {
	return 1 + slw.excess*math.Exp2(-float64(now-slw.at)/slownessHalfLife)
}

func (slw *slowness) sample(ratio float64, now clock.Milli) {
	was := slw.current(now)
	slw.excess, slw.at = was+slownessWeight*(min(max(ratio, minSlowRatio), maxSlowRatio)-was)-1, now
}

// frequency is the decayed count of recent events of a kind. The zero value means none.
type frequency struct {
	count float64
	at    clock.Milli
}

func (frq *frequency) record(now clock.Milli) { frq.count, frq.at = frq.decayed(now)+1, now }

func (frq *frequency) decayed(now clock.Milli) float64 {
	return frq.count * math.Exp2(-float64(now-frq.at)/frequencyHalfLife)
}

// expect returns the expected number of events within a span of milliseconds.
func (frq *frequency) expect(span float64, now clock.Milli) float64 {
	return frq.decayed(now) * span * math.Ln2 / frequencyHalfLife
}
