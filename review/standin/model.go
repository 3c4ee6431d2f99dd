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

// modelEngine is a model engine that streams a few events.
type modelEngine struct {
	id, addr string
	hds      *handles
	leaves   []int

	mtx  sync.Mutex
	runs int
}

func newModelEngine(dep *deployment, hds *handles, service, id, zone string, leaves []int) (*modelEngine, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	eng := &modelEngine{id: id, addr: lsn.Addr().String(), hds: hds, leaves: leaves}
	srv := &http.Server{Handler: http.HandlerFunc(eng.serve)}
	go func() { _ = srv.Serve(lsn) }()
	dep.sto.put(topicServers, id, entry(service, eng.addr, zone, 64))
	return eng, nil
}

func (eng *modelEngine) serve(wrt http.ResponseWriter, req *http.Request) {
	hdr := req.Header
	if want := hdr.Get("Amaranthvalve-Target-Instance"); want != "" && want != eng.id {
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/health":
		wrt.Header().Set("Amaranthvalve-Instance-Id", eng.id)
		return
	case "/-/kv-list":
		writeJSON(wrt, http.StatusOK, obj{"epoch": 1, "next": 0, "held": []any{}})
		return
	case "/-/report":
		writeJSON(wrt, http.StatusOK, obj{"stage": "both", "models": []obj{{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 328764, "handles": 0})
		return
	}
	id := hdr.Get("Amaranthvalve-Request-Id")
	_, _ = io.Copy(io.Discard, req.Body)
	inputs := strings.Split(hdr.Get("Amaranthvalve-Inputs"), ",")
	if hdr.Get("Amaranthvalve-Inputs") == "" || !eng.hds.check(eng.id, id, eng.leaves, inputs) {
		wrt.Header().Set("Amaranthvalve-Not-Executed", "1")
		wrt.WriteHeader(http.StatusConflict)
		return
	}
	eng.mtx.Lock()
	eng.runs++
	eng.mtx.Unlock()
	wrt.Header().Set("Amaranthvalve-Request-Id", id)
	wrt.Header().Set("Amaranthvalve-Response-Signature", "sig."+id)
	wrt.Header().Set("Content-Type", "text/event-stream")
	for i := range 4 {
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprintf(wrt, "id: %d\ndata: %s from %s\n\n", i+1, id, eng.id)
		wrt.(http.Flusher).Flush()
	}
}
