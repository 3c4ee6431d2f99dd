package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// beatInterval is how often an engine writes its entry.
const beatInterval = 1200 * time.Millisecond

// answer is what an engine answers.
type answer struct {
	status int
	header http.Header
	body   []byte
	// events are sent one after another, in place of a body.
	events []string
	gap    time.Duration
}

// engine is an engine of a service. It serves one request at a time on a channel.
type engine struct {
	id      string
	service string
	zone    string
	slots   int
	lsn     net.Listener
	// handle answers a request.
	handle func(req *http.Request, body []byte) answer
	// extra decides whether an answer is sent a second time; it may be nil. The second one arrives late, where the
	// next response on the channel is expected.
	extra func(req *http.Request) bool

	running  atomic.Int64
	sequence atomic.Int64
	mtx      sync.Mutex
	gone     bool
	draining bool
	conns    map[net.Conn]bool
}

// startEngine starts an engine and registers it in the store.
func (flt *fleet) startEngine(eng *engine) error {
	lsn, err := net.Listen("tcp", flt.ip()+":0")
	if err != nil {
		return err
	}
	eng.lsn, eng.conns = lsn, map[net.Conn]bool{}
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			go eng.serve(con)
		}
	}()
	eng.beat(flt.store)
	go func() {
		for range time.Tick(beatInterval) {
			if !eng.beat(flt.store) {
				return
			}
		}
	}()
	return nil
}

func (eng *engine) addr() string { return eng.lsn.Addr().String() }

// beat writes the entry of an engine that runs.
func (eng *engine) beat(sto *store) bool {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if eng.gone {
		return false
	}
	state := "ready"
	if eng.draining {
		state = "draining"
	}
	sto.put(topicServers, eng.id, obj{
		"service": eng.service, "address": eng.addr(), "zone": eng.zone, "version": "v1", "slots": eng.slots, "state": state,
		"coldLeftMs": 0, "sequence": eng.sequence.Add(1),
	})
	return true
}

// drain reports in the store that the engine leaves, and returns the store's ack.
func (eng *engine) drain(sto *store) time.Time {
	eng.mtx.Lock()
	eng.draining = true
	eng.mtx.Unlock()
	eng.beat(sto)
	return time.Now()
}

// remove removes the entry of an engine that leaves without having reported it, and returns the store's ack.
func (eng *engine) remove(sto *store) time.Time {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	eng.gone = true
	return sto.drop(topicServers, eng.id)
}

// exit ends an engine: its listener and its channels are closed.
func (eng *engine) exit(sto *store) {
	eng.remove(sto)
	_ = eng.lsn.Close()
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	for con := range eng.conns {
		_ = con.Close()
	}
}

// track notes a channel until the returned function is called.
func (eng *engine) track(con net.Conn) (end func()) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	eng.conns[con] = true
	return func() {
		eng.mtx.Lock()
		defer eng.mtx.Unlock()
		delete(eng.conns, con)
	}
}

// serve serves a channel.
func (eng *engine) serve(con net.Conn) {
	defer func() { _ = con.Close() }()
	defer eng.track(con)()
	rdr := bufio.NewReader(con)
	var late []byte
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if len(late) > 0 {
			if _, err := con.Write(late); err != nil {
				return
			}
			late = nil
		}
		ans := eng.misdirected(req)
		if ans.status == 0 {
			ans = eng.handle(req, body)
		}
		sent, err := eng.write(con, req, ans)
		if err != nil {
			return
		}
		if eng.extra != nil && eng.extra(req) {
			late = sent
		}
	}
}

// misdirected answers a request that names another engine.
func (eng *engine) misdirected(req *http.Request) answer {
	if target := req.Header.Get("Amaranthvalve-Target-Instance"); target != "" && target != eng.id {
		return answer{status: http.StatusMisdirectedRequest, header: http.Header{"Amaranthvalve-Instance-Id": {eng.id}}}
	}
	return answer{}
}

// write sends an answer, and returns it if it has no events.
func (eng *engine) write(con net.Conn, req *http.Request, ans answer) ([]byte, error) {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\n", ans.status, http.StatusText(ans.status))
	if id := req.Header.Get("Amaranthvalve-Request-Id"); id != "" {
		fmt.Fprintf(&buf, "Amaranthvalve-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&buf, "Amaranthvalve-Server-Load: %d,0,%d\r\n", eng.running.Load(), eng.slots)
	for name, vals := range ans.header {
		for _, val := range vals {
			fmt.Fprintf(&buf, "%s: %s\r\n", name, val)
		}
	}
	if ans.events == nil {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n\r\n", len(ans.body))
		buf.Write(ans.body)
		_, err := con.Write(buf.Bytes())
		return buf.Bytes(), err
	}
	buf.WriteString("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	if _, err := con.Write(buf.Bytes()); err != nil {
		return nil, err
	}
	for _, event := range ans.events {
		time.Sleep(ans.gap)
		if _, err := fmt.Fprintf(con, "%x\r\n%s\r\n", len(event), event); err != nil {
			return nil, err
		}
	}
	_, err := io.WriteString(con, "0\r\n\r\n")
	return nil, err
}

// notExecuted is the answer of an engine that did not run a request.
func notExecuted(status int) answer {
	return answer{status: status, header: http.Header{"Amaranthvalve-Not-Executed": {"1"}}}
}

// signed is the answer of an engine that ran a request.
func (eng *engine) signed(body string) answer {
	return answer{status: http.StatusOK, header: http.Header{"Amaranthvalve-Response-Signature": {"3e1b." + eng.id}}, body: []byte(body)}
}
