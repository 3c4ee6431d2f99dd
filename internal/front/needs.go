package front

import (
	"sync"

	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
)

// mostNeeds bounds the routes that times are kept of, some 100 B each: documents bring new
// routes at any time. Beyond it all are measured anew, which takes some requests of each.
const mostNeeds = 4096

// needs has measured times by route. The zero value has measured nothing.
type needs struct {
	mtx     sync.Mutex
	byRoute map[string]*admit.Need
}

// sample notes a time.
func (nds *needs) sample(route string, took, now clock.Milli) {
	nds.mtx.Lock()
	defer nds.mtx.Unlock()
	if nds.byRoute == nil || len(nds.byRoute) >= mostNeeds {
		nds.byRoute = map[string]*admit.Need{}
	}
	ned, ok := nds.byRoute[route]
	if !ok {
		ned = &admit.Need{}
		nds.byRoute[route] = ned
	}
	ned.Sample(took, now)
}

// careful gives what a route's requests will hardly exceed; guess stands for it until it
// was measured.
func (nds *needs) careful(route string, guess, now clock.Milli) clock.Milli {
	nds.mtx.Lock()
	defer nds.mtx.Unlock()
	if ned, ok := nds.byRoute[route]; ok {
		return ned.Careful(guess, now)
	}
	return guess
}
