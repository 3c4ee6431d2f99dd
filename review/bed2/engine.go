package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached an engine.
type arrival struct {
	at     time.Time
	id     string
	engine string
	ran    bool
}

// ledger records what reached the engines of a service.
type ledger struct {
	mtx  sync.Mutex
	list []arrival
}

func (ldg *ledger) add(arr arrival) {
	ldg.mtx.Lock()
	defer ldg.mtx.Unlock()
	ldg.list = append(ldg.list, arr)
}

func (ldg *ledger) all() []arrival {
	ldg.mtx.Lock()
	defer ldg.mtx.Unlock()
	return append([]arrival(nil), ldg.list...)
}

// engine is a sound stand-in for an engine of a plain service: it processes slots requests at once, queues a few more, and
// rejects what is beyond. It works for the time work.
type engine struct {
	id     string
	slots  int
	queue  int
	work   time.Duration
	ledger *ledger
	addr   string
	// tells is set if the engine tells its load, as those of some services do.
	tells bool
	// answerBytes is the length of an answer; zero for a short one.
	answerBytes int

	mtx              sync.Mutex
	running, waiting int
	turn             chan struct{}
}

func newEngine(id string, slots, queue int, work time.Duration, ldg *ledger) (*engine, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	eng := &engine{id: id, slots: slots, queue: queue, work: work, ledger: ldg, addr: lsn.Addr().String(), turn: make(chan struct{}, slots)}
	go func() { _ = http.Serve(lsn, http.HandlerFunc(eng.serve)) }()
	return eng, nil
}

// entry is the engine's entry in the store.
func (eng *engine) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": eng.addr, "zone": zone, "version": "v1", "slots": eng.slots, "state": "ready", "coldLeftMs": 0, "sequence": 1,
	}
}

// tellLoad adds the engine's load to an answer.
func (eng *engine) tellLoad(hdr http.Header) {
	if !eng.tells {
		return
	}
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	hdr.Set("Amaranthvalve-Server-Load", fmt.Sprintf("%d,%d,%d", eng.running, eng.waiting, eng.slots))
}

// enter takes a place in the queue; false if the engine is full.
func (eng *engine) enter() bool {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if eng.running+eng.waiting >= eng.slots+eng.queue {
		return false
	}
	eng.waiting++
	return true
}

func (eng *engine) count(running, waiting int) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	eng.running, eng.waiting = eng.running+running, eng.waiting+waiting
}

func (eng *engine) serve(wrt http.ResponseWriter, req *http.Request) {
	at := time.Now()
	_, _ = io.Copy(io.Discard, req.Body)
	id, hdr := req.Header.Get("Amaranthvalve-Request-Id"), wrt.Header()
	if target := req.Header.Get("Amaranthvalve-Target-Instance"); target != "" && target != eng.id {
		hdr.Set("Amaranthvalve-Instance-Id", eng.id)
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/health" {
		hdr.Set("Amaranthvalve-Instance-Id", eng.id)
		eng.tellLoad(hdr)
		return
	}
	shed := func() {
		eng.ledger.add(arrival{at: at, id: id, engine: eng.id})
		hdr.Set("Amaranthvalve-Not-Executed", "1")
		hdr.Set("Amaranthvalve-Request-Id", id)
		eng.tellLoad(hdr)
		wrt.WriteHeader(http.StatusServiceUnavailable)
	}
	left, err := strconv.Atoi(req.Header.Get("Amaranthvalve-Request-Deadline"))
	if err != nil || !eng.enter() {
		shed()
		return
	}
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	select {
	case eng.turn <- struct{}{}:
	case <-deadline.C:
		eng.count(0, -1)
		shed()
		return
	case <-req.Context().Done():
		eng.count(0, -1)
		eng.ledger.add(arrival{at: at, id: id, engine: eng.id})
		return
	}
	eng.count(1, -1)
	eng.ledger.add(arrival{at: at, id: id, engine: eng.id, ran: true})
	time.Sleep(eng.work)
	<-eng.turn
	eng.count(-1, 0)
	hdr.Set("Amaranthvalve-Request-Id", id)
	hdr.Set("Amaranthvalve-Response-Signature", eng.id+"."+id)
	eng.tellLoad(hdr)
	answer := []byte("done " + id)
	if pad := eng.answerBytes - len(answer); pad > 0 {
		answer = append(answer, bytes.Repeat([]byte("."), pad)...)
	}
	hdr.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = wrt.Write(answer)
}
