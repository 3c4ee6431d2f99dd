package ident

import "sync"

// RestartWatch cancels calls to endpoints that have restarted. A call to an earlier run is
// never answered; if its connection is not reset either, only a timeout would end it. The
// zero value watches nothing. It is safe for concurrent use.
type RestartWatch struct {
	mtx  sync.Mutex
	next int64
	// byName holds the calls in flight by endpoint name and key.
	byName map[string]map[int64]watched
}

type watched struct {
	proc   Process
	cancel func()
}

// Add registers cancel to be called when a later run of the endpoint than proc is listed.
// The caller must call stop when the call has ended.
func (wat *RestartWatch) Add(proc Process, cancel func()) (stop func()) {
	wat.mtx.Lock()
	defer wat.mtx.Unlock()
	name := proc.Name()
	if wat.byName == nil {
		wat.byName = map[string]map[int64]watched{}
	}
	if wat.byName[name] == nil {
		wat.byName[name] = map[int64]watched{}
	}
	wat.next++
	key := wat.next
	wat.byName[name][key] = watched{proc: proc, cancel: cancel}
	return func() { wat.stop(name, key) }
}

func (wat *RestartWatch) stop(name string, key int64) {
	wat.mtx.Lock()
	defer wat.mtx.Unlock()
	delete(wat.byName[name], key)
	if len(wat.byName[name]) == 0 {
		delete(wat.byName, name)
	}
}

// RunListed records that a run is listed, and cancels the calls to earlier runs of the
// endpoint.
func (wat *RestartWatch) RunListed(proc Process) {
	wat.mtx.Lock()
	defer wat.mtx.Unlock()
	for _, wtd := range wat.byName[proc.Name()] {
		if proc.Replaces(wtd.proc) {
			wtd.cancel()
		}
	}
}
