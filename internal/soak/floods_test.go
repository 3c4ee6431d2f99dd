package soak

import (
	"time"

	"amaranthvalve/platform/fake"
)

const (
	// Runs that draw from at least floodsFromKinds kinds may draw most faults from floodFaults.
	floodsFromKinds = 25
	// floodEnd is how long after its begin an answer without end may still be read: requests end at their deadlines,
	// within routeTimeout.
	floodEnd = routeTimeout + time.Second
	// trickleInterval is the time between the bytes of answers that come slowly.
	trickleInterval = 20 * time.Millisecond
)

// floodFaults are endpoints that answer without end, and the faults that move requests to them.
var floodFaults = []faultKind{
	{"answers without end", (*soakRun).floodAnswers},
	{"partition from all endpoints", (*soakRun).partition},
	{"kill", (*soakRun).killInstance},
	{"planned shutdown", (*soakRun).plannedShutdown},
	{"endpoint crashes", (*soakRun).endpointCrash},
	{"proxy of an endpoint", (*soakRun).endpointProxyFault},
}

// floodAnswers lets an endpoint answer all requests without end for a while, and checks that no connection is kept.
func (sr *soakRun) floodAnswers() {
	ep := sr.drawEndpoint(0)
	if ep == nil {
		return
	}
	list := fake.Floods()
	fld, interval := list[sr.drawInt(len(list))], time.Duration(0)
	if sr.drawInt(2) == 0 {
		interval = trickleInterval
	}
	sr.markEndpointDisturbed(ep, time.Now().Add(maxFaultDuration))
	ep.SetFlood(fld, interval)
	time.Sleep(sr.drawFaultDuration())
	ep.SetFlood(fake.NoFlood, 0)
	sr.markEndpointDisturbed(ep, time.Now())
	for until := time.Now().Add(floodEnd); ep.FloodsOpen() > 0; time.Sleep(minGap) {
		if time.Now().After(until) {
			sr.violation("floods: %d answers without end (%d, each %v) of %s are still read after %v", ep.FloodsOpen(), fld, interval, ep.ID(), floodEnd)
			return
		}
	}
}
