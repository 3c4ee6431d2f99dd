package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that an engine ran.
type run struct {
	id, engine, target, host, method, tenant string
	at                                       time.Time
}

// engine is a sound engine of a plain service: it runs each request once, for a time, and signs its answer.
type engine struct {
	id, service, zone, addr string
	slots                   int
	takes                   time.Duration
	rec                     *recorder
	beat                    *heartbeat
	srv                     *http.Server

	mtx  sync.Mutex
	runs []run
	// onRun is called for each run; it may be nil.
	onRun func(one run)
	// leaving is set once the engine has said that it leaves.
	leaving bool
}

// startEngine starts an engine and keeps its entry in the store.
func startEngine(flt *fleet, id, service, zone string, slots int, takes time.Duration) (*engine, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	eng := &engine{id: id, service: service, zone: zone, addr: lsn.Addr().String(), slots: slots, takes: takes, rec: flt.rec}
	eng.srv = &http.Server{Handler: eng, ReadHeaderTimeout: time.Minute}
	go func() { _ = eng.srv.Serve(lsn) }()
	eng.beat = keepEntry(flt.store, entry{id: id, service: service, addr: eng.addr, zone: zone, slots: slots})
	return eng, nil
}

// leave says that the engine leaves and returns when the store has accepted that. The engine serves on.
func (eng *engine) leave() time.Time {
	eng.mtx.Lock()
	eng.leaving = true
	eng.mtx.Unlock()
	return eng.beat.write("draining")
}

// end ends the engine and removes its entry.
func (eng *engine) end() {
	eng.beat.remove()
	_ = eng.srv.Close()
}

// entry is an engine's entry in the store.
type entry struct {
	id, service, addr, zone string
	slots                   int
}

// heartbeat keeps an engine's entry.
type heartbeat struct {
	sto   *store
	ent   entry
	mtx   sync.Mutex
	state string
	gone  bool
}

// keepEntry writes an engine's entry now and about every heartbeatMs.
func keepEntry(sto *store, ent entry) *heartbeat {
	hbt := &heartbeat{sto: sto, ent: ent, state: "ready"}
	hbt.write("ready")
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			hbt.write("")
		}
	}()
	return hbt
}

// write writes the entry, in a new state unless that is empty.
func (hbt *heartbeat) write(state string) time.Time {
	hbt.mtx.Lock()
	defer hbt.mtx.Unlock()
	if state != "" {
		hbt.state = state
	}
	if hbt.gone {
		return time.Now()
	}
	ent := hbt.ent
	return hbt.sto.put("keyed.servers", ent.id, map[string]any{
		"service": ent.service, "address": ent.addr, "zone": ent.zone, "version": "v1", "slots": ent.slots, "state": hbt.state, "coldLeftMs": 0, "sequence": 0,
	})
}

// remove removes the entry.
func (hbt *heartbeat) remove() {
	hbt.mtx.Lock()
	defer hbt.mtx.Unlock()
	hbt.gone = true
	hbt.sto.put("keyed.servers", hbt.ent.id, nil)
}

// ServeHTTP answers as PROTOCOL.md says. It is not a mux, which would redirect paths.
func (eng *engine) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	hdr := wrt.Header()
	if want := req.Header.Get("Amaranthvalve-Target-Instance"); want != "" && want != eng.id {
		hdr.Set("Amaranthvalve-Instance-Id", eng.id)
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("Amaranthvalve-Request-Id")
	if id == "" {
		hdr.Set("Amaranthvalve-Instance-Id", eng.id)
		if strings.HasPrefix(req.RequestURI, "/-/") {
			hdr.Set("Content-Type", "application/json")
			_, _ = io.WriteString(wrt, `{"busy":false,"sequence":0,"queued":0,"running":0}`)
			return
		}
		hdr.Set("Amaranthvalve-Not-Executed", "1")
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.ReadAll(req.Body)
	one := run{id: id, engine: eng.id, target: req.RequestURI, host: req.Host, method: req.Method, tenant: req.Header.Get("Amaranthvalve-Tenant-Id"), at: time.Now()}
	eng.mtx.Lock()
	eng.runs = append(eng.runs, one)
	onRun := eng.onRun
	if eng.leaving {
		hdr.Set("Connection", "close")
	}
	eng.mtx.Unlock()
	if onRun != nil {
		onRun(one)
	}
	eng.rec.logf("engine %s runs %s: %s %s, Host %s, tenant %q", eng.id, id, one.method, one.target, one.host, one.tenant)
	time.Sleep(eng.takes)
	hdr.Set("Amaranthvalve-Request-Id", id)
	hdr.Set("Amaranthvalve-Response-Signature", "sig."+eng.id+"."+id)
	_, _ = fmt.Fprintf(wrt, "done by %s", eng.id)
}

// all returns the runs of engines by the id of the request.
func all(engines ...*engine) map[string][]run {
	byID := map[string][]run{}
	for _, eng := range engines {
		eng.mtx.Lock()
		for _, one := range eng.runs {
			byID[one.id] = append(byID[one.id], one)
		}
		eng.mtx.Unlock()
	}
	return byID
}
