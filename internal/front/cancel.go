package front

import "sync"

// cancelGuard cancels an attempt that takes too long, unless its response has begun: both may
// happen at the same moment, and a timer that was stopped may still be about to run. The zero
// value is an attempt in flight.
type cancelGuard struct {
	mtx      sync.Mutex
	settled  bool
	canceled bool
	// held is set while a hedge is in flight: the attempt is then not canceled for being slow.
	held bool
}

// cancelPending cancels the attempt if it is still in flight and may allows it, and reports
// whether it did.
func (cgd *cancelGuard) cancelPending(may func() bool, cancel func()) bool {
	cgd.mtx.Lock()
	defer cgd.mtx.Unlock()
	if cgd.settled || cgd.canceled || cgd.held || !may() {
		return false
	}
	cgd.canceled = true
	cancel()
	return true
}

// hold keeps the attempt from being canceled by cancelPending, and reports whether it is still in flight.
func (cgd *cancelGuard) hold() bool {
	cgd.mtx.Lock()
	defer cgd.mtx.Unlock()
	cgd.held = !cgd.settled && !cgd.canceled
	return cgd.held
}

// unhold ends hold.
func (cgd *cancelGuard) unhold() {
	cgd.mtx.Lock()
	defer cgd.mtx.Unlock()
	cgd.held = false
}

// cancelLost cancels an attempt whose answer is of no use any longer, unless it has ended.
func (cgd *cancelGuard) cancelLost(cancel func()) {
	cgd.mtx.Lock()
	defer cgd.mtx.Unlock()
	if !cgd.settled {
		cgd.canceled = true
		cancel()
	}
}

// settle prevents the attempt from being canceled, and reports whether it already has been.
func (cgd *cancelGuard) settle() bool {
	cgd.mtx.Lock()
	defer cgd.mtx.Unlock()
	cgd.settled = true
	return cgd.canceled
}
