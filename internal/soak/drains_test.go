package soak

import (
	"sync"
	"syscall"
	"time"
)

const (
	// Runs that draw from at least drainsFromKinds kinds may draw most faults from drainFaults.
	drainsFromKinds = 26
	// Bounds of how many endpoints leave in a series, and of the gaps between them.
	minDrains   = 3
	maxDrains   = 8
	minDrainGap = 200 * time.Millisecond
	maxDrainGap = 900 * time.Millisecond
	// Bounds of how long a process stands still, and of how many times connections to the store are reset in a row.
	minPause  = 500 * time.Millisecond
	maxPause  = 3 * time.Second
	maxResets = 6
)

// drainFaults are endpoints that leave, and ends and pauses of the instances that read the store for the others.
var drainFaults = []faultKind{
	{"endpoints drain in series", (*soakRun).drainSeries},
	{"endpoints drain in series", (*soakRun).drainSeries},
	{"kill", (*soakRun).killInstance},
	{"pause", (*soakRun).pauseInstance},
	{"resets of connections to the store", (*soakRun).resetStoreConns},
	{"planned shutdown", (*soakRun).plannedShutdown},
}

// drainSeries lets endpoints leave one soon after the other, and others come in their place.
func (sr *soakRun) drainSeries() {
	var wgr sync.WaitGroup
	for range minDrains + sr.drawInt(maxDrains-minDrains+1) {
		if ep := sr.drawEndpoint(1); ep != nil {
			sr.addEndpoint(ep.pool)
			wgr.Go(func() { sr.drain(ep) })
		}
		time.Sleep(sr.drawDuration(minDrainGap, maxDrainGap))
	}
	wgr.Wait()
}

// pauseInstance stops the process of an instance for a while.
func (sr *soakRun) pauseInstance() {
	ins := sr.drawInstance()
	ins.signal(syscall.SIGSTOP)
	time.Sleep(sr.drawDuration(minPause, maxPause))
	ins.signal(syscall.SIGCONT)
}

// resetStoreConns resets the connections between an instance and the store some times in a row.
func (sr *soakRun) resetStoreConns() {
	ins := sr.drawInstance()
	for range 1 + sr.drawInt(maxResets) {
		ins.markDisturbed(time.Now())
		ins.storeProxy.reset()
		time.Sleep(sr.drawDuration(minGap, maxGap/2))
	}
	ins.markDisturbed(time.Now())
}
