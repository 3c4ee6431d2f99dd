package front

import (
	"sync"

	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
)

// maxTimedRoutes bounds the routes whose times are kept, some 100 B each, since documents may add
// routes at any time. Beyond it all times are dropped and measured anew, which takes a few requests
// per route.
const maxTimedRoutes = 4096

// routeTimes holds measured times by route. The zero value is empty.
type routeTimes struct {
	mtx     sync.Mutex
	byRoute map[string]*admit.Estimator
}

// sample records a measured time.
func (rts *routeTimes) sample(route string, took, now clock.Milli) {
	rts.mtx.Lock()
	defer rts.mtx.Unlock()
	if rts.byRoute == nil || len(rts.byRoute) >= maxTimedRoutes {
		rts.byRoute = map[string]*admit.Estimator{}
	}
	est, ok := rts.byRoute[route]
	if !ok {
		est = &admit.Estimator{}
		rts.byRoute[route] = est
	}
	est.Sample(took, now)
}

// upperBound returns a time that a route's requests rarely exceed; guess is used until the route
// has been measured.
func (rts *routeTimes) upperBound(route string, guess, now clock.Milli) clock.Milli {
	rts.mtx.Lock()
	defer rts.mtx.Unlock()
	if est, ok := rts.byRoute[route]; ok {
		return est.Upper(guess, now)
	}
	return guess
}
