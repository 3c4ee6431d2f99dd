package place

import (
	"math"
	"math/bits"

	"amaranthvalve/pkg/clock"
)

const (
	// firstClass is the size of the smallest prompts, in tokens; each class of sizes
	// after it is twice as wide. Sixteen reach beyond any prompt.
	firstClass = 128
	classes    = 16
	// curveShare is the weight of a new measurement in its class.
	curveShare = 0.1
	// slowShare is the weight of a new measurement in an engine's slowness, and
	// slowHalf the time after which half of it is forgotten, so that an engine which
	// gets nothing long is tried again.
	slowShare = 0.2
	slowHalf  = 15000.0
	// slowLeast and slowMost bound what one measurement says of an engine: the rest is
	// chance, or a fault that failures tell.
	slowLeast = 0.5
	slowMost  = 8.0
	// oftenHalf is the time after which half of how often something came is forgotten.
	oftenHalf = 7000.0
)

// point is the mean of what was measured in one class of sizes.
type point struct {
	size  float64
	value float64
	known bool
}

// curve is a measured time by size, in milliseconds and tokens: the means of classes of sizes,
// with straight lines between them. The zero value knows nothing.
type curve struct {
	points [classes]point
}

func (crv *curve) sample(size int, value float64) {
	class := min(bits.Len(uint(max(size, 0)/firstClass)), classes-1)
	pnt := &crv.points[class]
	if !pnt.known {
		*pnt = point{size: float64(size), value: value, known: true}
		return
	}
	pnt.size += curveShare * (float64(size) - pnt.size)
	pnt.value += curveShare * (value - pnt.value)
}

// at gives the time for a size; guess stands for it until something was measured. Beyond
// the largest size that was measured it goes on in proportion.
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

// slope gives how much more time each token takes, over all sizes that were measured.
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

// slowness is how many times as long as others an engine takes. The zero value is 1.
type slowness struct {
	beyond float64
	at     clock.Milli
}

func (slw *slowness) now(now clock.Milli) float64 {
	return 1 + slw.beyond*math.Exp2(-float64(now-slw.at)/slowHalf)
}

func (slw *slowness) sample(ratio float64, now clock.Milli) {
	was := slw.now(now)
	slw.beyond, slw.at = was+slowShare*(min(max(ratio, slowLeast), slowMost)-was)-1, now
}

// frequency is how often something came lately. The zero value is never.
type frequency struct {
	count float64
	at    clock.Milli
}

func (frq *frequency) note(now clock.Milli) { frq.count, frq.at = frq.left(now)+1, now }

func (frq *frequency) left(now clock.Milli) float64 {
	return frq.count * math.Exp2(-float64(now-frq.at)/oftenHalf)
}

// expect gives how many times it will come within a span of milliseconds.
func (frq *frequency) expect(span float64, now clock.Milli) float64 {
	return frq.left(now) * span * math.Ln2 / oftenHalf
}
