package limit

// shareFloor is the demand, in requests a second, that every instance is taken
// to have for every workspace, so that a caller who moves to an idle instance
// is not refused until its demand is known there.
const shareFloor = 1.0

// Part gives an instance's part of a workspace's rate: in proportion to the
// demand that the instances saw lately. Callers keep an address for a while, so
// that a workspace with one busy caller has all its demand at one instance: an
// equal part would refuse most of what its document allows. Demands that are a
// second old make the parts add up to the rate only on average.
func Part(rate, own float64, others []float64) float64 {
	all := own + shareFloor
	for _, oth := range others {
		all += oth + shareFloor
	}
	return rate * (own + shareFloor) / all
}
