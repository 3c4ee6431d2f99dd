package admit

import "amaranthvalve/pkg/clock"

const (
	// sampleWeight is the weight of a new sample in the mean and the deviation.
	sampleWeight = 0.1
	// staleAfter is the time after the last sample at which an estimate is stale.
	staleAfter = 5 * clock.Second
)

// Estimator estimates the service time of one stage by the moving mean and mean
// deviation of its samples (V. Jacobson, "Congestion avoidance and control",
// SIGCOMM 1988). The zero value has no samples and returns the document's guess.
//
// A stale estimate is capped at the guess. Otherwise a stage that was slow for a
// while would be refused for ever: while every request is refused as too late there
// are no new samples that could show the recovery.
type Estimator struct {
	mean       float64
	dev        float64
	lastSample clock.Milli
}

// Sample records the duration of one run of the stage that ended at now.
func (est *Estimator) Sample(took, now clock.Milli) {
	val := float64(took)
	if est.lastSample == 0 {
		est.mean, est.dev, est.lastSample = val, val/2, now
		return
	}
	est.lastSample = now
	diff := val - est.mean
	est.mean += sampleWeight * diff
	if diff < 0 {
		diff = -diff
	}
	est.dev += sampleWeight * (diff - est.dev)
}

// Mean returns the mean service time.
func (est *Estimator) Mean(guess, now clock.Milli) clock.Milli {
	return est.current(clock.Milli(est.mean), guess, now)
}

// Upper returns the mean plus twice the deviation, an upper estimate that few runs
// exceed. Admission uses it: estimates by the mean are exceeded by half of the requests,
// and under overload these would be admitted and miss their deadlines.
func (est *Estimator) Upper(guess, now clock.Milli) clock.Milli {
	return est.current(clock.Milli(est.mean+2*est.dev), guess, now)
}

// current returns the measured value, or the guess where there is no fresh measurement.
func (est *Estimator) current(measured, guess, now clock.Milli) clock.Milli {
	switch {
	case est.lastSample == 0:
		return guess
	case now-est.lastSample > staleAfter:
		return min(measured, guess)
	}
	return measured
}
