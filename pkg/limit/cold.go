package limit

import "amaranthvalve/pkg/clock"

// ColdShare returns the share of the rates of cold endpoints that their coordinator may use; the
// arguments are as for [CoordinatorShare]. minority is set if the instance is isolated, or takes half
// of the members or more for dead without proof.
//
// It is stricter than [CoordinatorShare], because an endpoint that is cold crashes above its rate, and
// is warm again after some seconds. An instance that replaced one which is merely unresponsive got
// endpoints 2.2 times their rate within a second: the one replaced still used all of the rate, and
// other instances took over from the replacement in turn. Partitioned instances would each be the
// coordinator once they take all others for dead.
func ColdShare(unresponsive int, term clock.Milli, minority bool) float64 {
	if minority || unresponsive > 0 {
		return 0
	}
	return CoordinatorShare(0, term)
}
