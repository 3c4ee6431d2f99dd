package batch

import (
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// rests returns the endpoints that this instance must send nothing, with the time until when.
func (pol *pool) rests() map[ident.Process]clock.Milli {
	if pol.set.Rests == nil {
		return nil
	}
	return pol.set.Rests()
}

// holdResting holds back calls to endpoints that asked for rest.
func (pol *pool) holdResting() {
	for id, until := range pol.rests() {
		pol.sched.Rest(string(id), until)
	}
}

// restLeft returns how much longer the endpoint at an address wants no calls.
func (pol *pool) restLeft(addr string) clock.Milli {
	rests := pol.rests()
	if len(rests) == 0 {
		return 0
	}
	now := pol.set.Clock.Now()
	for _, ep := range pol.endpoints {
		if ep.Addr == addr {
			return max(rests[ident.Process(ep.ID)]-now, 0)
		}
	}
	return 0
}
