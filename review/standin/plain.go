package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ran is a request that an engine ran.
type ran struct {
	id, tenant, key string
	at              time.Time
}

// plainEngine is an engine of an application service.
type plainEngine struct {
	id, service, addr, zone string
	work                    time.Duration
	srv                     *http.Server

	mtx  sync.Mutex
	runs []ran
}

// newPlainEngine starts an engine and registers it.
func newPlainEngine(dep *deployment, service, id, zone string, work time.Duration) (*plainEngine, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	eng := &plainEngine{id: id, service: service, addr: lsn.Addr().String(), zone: zone, work: work}
	eng.srv = &http.Server{Handler: http.HandlerFunc(eng.serve)}
	go func() { _ = eng.srv.Serve(lsn) }()
	dep.sto.put(topicServers, id, entry(service, eng.addr, zone, 6))
	return eng, nil
}

// entry is an engine's entry in the store.
func entry(service, addr, zone string, slots int) obj {
	return obj{"service": service, "address": addr, "zone": zone, "version": "1", "slots": slots, "state": "ready", "coldLeftMs": 0, "sequence": 0}
}

func (eng *plainEngine) serve(wrt http.ResponseWriter, req *http.Request) {
	hdr := req.Header
	if want := hdr.Get("Amaranthvalve-Target-Instance"); want != "" && want != eng.id {
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/health" {
		wrt.Header().Set("Amaranthvalve-Instance-Id", eng.id)
		return
	}
	id := hdr.Get("Amaranthvalve-Request-Id")
	_, _ = io.Copy(io.Discard, req.Body)
	eng.mtx.Lock()
	eng.runs = append(eng.runs, ran{id: id, tenant: hdr.Get("Amaranthvalve-Tenant-Id"), key: hdr.Get("Authorization"), at: time.Now()})
	eng.mtx.Unlock()
	time.Sleep(eng.work)
	body := fmt.Sprintf("confirmed %s by %s", id, eng.id)
	wrt.Header().Set("Amaranthvalve-Request-Id", id)
	wrt.Header().Set("Amaranthvalve-Response-Signature", "sig."+id)
	wrt.Header().Set("Amaranthvalve-Server-Load", "0,0,6")
	wrt.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(wrt, body)
}

// ran returns the run of a request.
func (eng *plainEngine) ran(id string) (ran, bool) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	for _, run := range eng.runs {
		if run.id == id {
			return run, true
		}
	}
	return ran{}, false
}
