package admit

import "amaranthvalve/pkg/clock"

const (
	// needShare is the weight of a new sample in the mean and the deviation.
	needShare = 0.1
	// needLife is how long a measurement counts when no other follows.
	needLife = 5 * clock.Second
)

// Need is the measured time of one stage, as mean and mean deviation (V.
// Jacobson, "Congestion avoidance and control", SIGCOMM 1988). The zero value
// has measured nothing and answers with the document's guess.
//
// A measurement that is old counts only if it is below the guess. A stage that
// was slow for a while would otherwise be refused for good: while every request
// is refused as too late nothing is measured, and nothing tells that the stage
// is well again.
type Need struct {
	mean float64
	dev  float64
	seen clock.Milli
}

// Sample notes a stage's time, at the instant now.
func (ned *Need) Sample(took, now clock.Milli) {
	val := float64(took)
	if ned.seen == 0 {
		ned.mean, ned.dev, ned.seen = val, val/2, now
		return
	}
	ned.seen = now
	diff := val - ned.mean
	ned.mean += needShare * diff
	if diff < 0 {
		diff = -diff
	}
	ned.dev += needShare * (diff - ned.dev)
}

// Typical gives the mean: what a stage will probably take.
func (ned *Need) Typical(guess, now clock.Milli) clock.Milli {
	return ned.judge(clock.Milli(ned.mean), guess, now)
}

// Careful gives the mean and twice the deviation: what a stage will hardly
// exceed. Admission goes by it. Going by the mean was measured and dropped:
// under overload it attained less, for the half of the requests that take
// longer than the mean were let in and were late.
func (ned *Need) Careful(guess, now clock.Milli) clock.Milli {
	return ned.judge(clock.Milli(ned.mean+2*ned.dev), guess, now)
}

func (ned *Need) judge(measured, guess, now clock.Milli) clock.Milli {
	switch {
	case ned.seen == 0:
		return guess
	case now-ned.seen > needLife:
		return min(measured, guess)
	}
	return measured
}
