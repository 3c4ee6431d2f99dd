package limit

// demandFloor is the minimum demand in requests a second that is assumed at every
// instance for every workspace, so that a caller who moves to an idle instance is not
// refused before its demand is known.
const demandFloor = 1.0

// Share returns an instance's share of a workspace's rate, in proportion to the recent
// demand at each instance. Callers keep using one address for a while, so a workspace
// with a single busy caller has all its demand at one instance, and equal shares would
// refuse most of the requests that its document allows. As demands are up to a second
// old, the shares add up to the rate only on average.
func Share(rate, own float64, others []float64) float64 {
	all := own + demandFloor
	for _, oth := range others {
		all += oth + demandFloor
	}
	return rate * (own + demandFloor) / all
}
