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

	mtx  sync.Mutex
	runs []run
}

// startEngine starts an engine and keeps its entry in the store.
func startEngine(flt *fleet, id, service, zone string, slots int, takes time.Duration) (*engine, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	eng := &engine{id: id, service: service, zone: zone, addr: lsn.Addr().String(), slots: slots, takes: takes, rec: flt.rec}
	go func() { _ = (&http.Server{Handler: eng, ReadHeaderTimeout: time.Minute}).Serve(lsn) }()
	keepEntry(flt.store, entry{id: id, service: service, addr: eng.addr, zone: zone, slots: slots})
	return eng, nil
}

// entry is an engine's entry in the store.
type entry struct {
	id, service, addr, zone string
	slots                   int
}

// keepEntry writes an engine's entry now and about every heartbeatMs.
func keepEntry(sto *store, ent entry) {
	beat := func() {
		val := map[string]any{
			"service": ent.service, "address": ent.addr, "zone": ent.zone, "version": "v1", "slots": ent.slots, "state": "ready", "coldLeftMs": 0, "sequence": 0,
		}
		sto.put("keyed.servers", ent.id, val)
	}
	beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			beat()
		}
	}()
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
	eng.mtx.Unlock()
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
