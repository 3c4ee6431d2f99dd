package ident

import "sync"

// Watch ends what is under way at endpoints that turn out to have started again. A call
// that was sent to an earlier run gets no answer any more; where the connection went
// silent as well, only a timeout would tell. The zero value watches nothing. It is safe for
// concurrent use.
type Watch struct {
	mtx  sync.Mutex
	next int64
	// byName has the calls under way by their endpoints' names.
	byName map[string]map[int64]watched
}

type watched struct {
	proc   Process
	cancel func()
}

// Watch has cancel called when a later run of an endpoint than proc is listed. It gives
// what is to be called when the call has ended.
func (wat *Watch) Watch(proc Process, cancel func()) (stop func()) {
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

func (wat *Watch) stop(name string, key int64) {
	wat.mtx.Lock()
	defer wat.mtx.Unlock()
	delete(wat.byName[name], key)
	if len(wat.byName[name]) == 0 {
		delete(wat.byName, name)
	}
}

// Listed notes a run that is listed, and ends what is under way at earlier ones.
func (wat *Watch) Listed(proc Process) {
	wat.mtx.Lock()
	defer wat.mtx.Unlock()
	for _, wtd := range wat.byName[proc.Name()] {
		if proc.Replaces(wtd.proc) {
			wtd.cancel()
		}
	}
}
