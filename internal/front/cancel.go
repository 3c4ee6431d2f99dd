package front

import "sync"

// cancelGuard cancels an attempt that takes too long, unless its response has begun: both may
// happen at the same moment, and a timer that was stopped may still be about to run. The zero
// value is an attempt in flight.
type cancelGuard struct {
	mtx      sync.Mutex
	settled  bool
	canceled bool
}

// cancelPending cancels the attempt if it is still in flight and may allows it, and reports
// whether it did.
func (cgd *cancelGuard) cancelPending(may func() bool, cancel func()) bool {
	cgd.mtx.Lock()
	defer cgd.mtx.Unlock()
	if cgd.settled || !may() {
		return false
	}
	cgd.canceled = true
	cancel()
	return true
}

// settle prevents the attempt from being canceled, and reports whether it already has been.
func (cgd *cancelGuard) settle() bool {
	cgd.mtx.Lock()
	defer cgd.mtx.Unlock()
	cgd.settled = true
	return cgd.canceled
}
