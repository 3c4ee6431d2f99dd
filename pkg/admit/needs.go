package admit

import "amaranthvalve/pkg/clock"

// needShare is the weight of a new sample in the mean and the deviation.
const needShare = 0.1

// Need is the measured time of one stage, as mean and mean deviation (V.
// Jacobson, "Congestion avoidance and control", SIGCOMM 1988). The zero value
// has measured nothing and answers with the document's guess.
type Need struct {
	mean float64
	dev  float64
	seen bool
}

// Sample notes a stage's time.
func (ned *Need) Sample(took clock.Milli) {
	val := float64(took)
	if !ned.seen {
		ned.mean, ned.dev, ned.seen = val, val/2, true
		return
	}
	diff := val - ned.mean
	ned.mean += needShare * diff
	if diff < 0 {
		diff = -diff
	}
	ned.dev += needShare * (diff - ned.dev)
}

// Typical gives the mean, to be compared with a deadline on arrival: refusing
// what would have been answered costs attainment too.
func (ned *Need) Typical(guess clock.Milli) clock.Milli {
	if !ned.seen {
		return guess
	}
	return clock.Milli(ned.mean)
}

// Careful gives the mean and twice the deviation, for budgets within which a
// second attempt must still fit.
func (ned *Need) Careful(guess clock.Milli) clock.Milli {
	if !ned.seen {
		return 2 * guess
	}
	return clock.Milli(ned.mean + 2*ned.dev)
}
