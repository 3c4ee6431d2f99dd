package front

import "sync"

// overtime ends an attempt that takes too long, unless its answer has begun: both may come at
// the same moment, and a timer that was stopped may still be about to run. The zero value
// is an attempt under way.
type overtime struct {
	mtx     sync.Mutex
	settled bool
	ended   bool
}

// end ends the attempt if it is under way and may allows it, and tells whether it did.
func (ovt *overtime) end(may func() bool, cancel func()) bool {
	ovt.mtx.Lock()
	defer ovt.mtx.Unlock()
	if ovt.settled || !may() {
		return false
	}
	ovt.ended = true
	cancel()
	return true
}

// settle keeps an attempt from being ended, and tells whether it has been.
func (ovt *overtime) settle() bool {
	ovt.mtx.Lock()
	defer ovt.mtx.Unlock()
	ovt.settled = true
	return ovt.ended
}
