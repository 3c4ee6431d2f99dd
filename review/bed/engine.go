package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of the platform's pages.
const (
	hdrID        = "Amaranthvalve-Request-Id"
	hdrDeadline  = "Amaranthvalve-Request-Deadline"
	hdrTarget    = "Amaranthvalve-Target-Instance"
	hdrTenant    = "Amaranthvalve-Tenant-Id"
	hdrSignature = "Amaranthvalve-Response-Signature"
	hdrNotRun    = "Amaranthvalve-Not-Executed"
	hdrInputs    = "Amaranthvalve-Inputs"
	hdrLoad      = "Amaranthvalve-Server-Load"
)

// heartbeat is the interval at which an engine writes its entry.
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in of an engine. It serves one request at a time on a channel.
type engine struct {
	bed     *testbed
	id      string
	service string
	zone    string
	addr    string
	slots   int
	// handle answers a request with the bytes to send.
	handle func(arv *arrival) string
	lsn    net.Listener

	mtx sync.Mutex
	// left is when the store accepted that the engine leaves, zero if it doesn't.
	left time.Time
	// open has the open channels.
	open map[net.Conn]bool
}

// beat writes that the engine is ready, and reports whether it still is.
func (eng *engine) beat(sto *store, sequence int) bool {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if !eng.left.IsZero() {
		return false
	}
	sto.put("keyed.servers", eng.id, eng.entry(sequence, "ready"))
	return true
}

// leave writes that the engine drains, or removes its entry if it leaves silently.
func (eng *engine) leave(sto *store, silently bool) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if silently {
		sto.add("keyed.servers", entry{key: eng.id})
		eng.bed.note("ack: the entry of %s is removed", eng.id)
	} else {
		sto.put("keyed.servers", eng.id, eng.entry(1000, "draining"))
		eng.bed.note("ack: %s is draining", eng.id)
	}
	eng.left = time.Now()
}

// leftAt returns when the store accepted that the engine leaves.
func (eng *engine) leftAt() time.Time {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	return eng.left
}

// entry is what an engine writes of itself into the store.
func (eng *engine) entry(sequence int, state string) map[string]any {
	return map[string]any{
		"service": eng.service, "address": eng.addr, "zone": eng.zone, "version": "v1", "slots": eng.slots,
		"state": state, "coldLeftMs": 0, "sequence": sequence,
	}
}

// end closes the engine's listener and its channels: it has exited.
func (eng *engine) end() {
	_ = eng.lsn.Close()
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	for con := range eng.open {
		_ = con.Close()
	}
}

// track records that a channel is open, or is no longer.
func (eng *engine) track(con net.Conn, is bool) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	if eng.open == nil {
		eng.open = map[net.Conn]bool{}
	}
	eng.open[con] = true
	if !is {
		delete(eng.open, con)
	}
}

// arrival is a request that an engine has read.
type arrival struct {
	line string // the request line as it came
	req  *http.Request
	body []byte
	// seq counts the requests on this channel, from 0.
	seq int
	// channel is the state that an engine keeps for the channel, con the channel itself.
	channel *channel
	con     net.Conn
}

// channel is what an engine keeps for a channel.
type channel struct {
	// late is an additional response that is sent where the next one is expected.
	late string
}

// startEngine starts an engine at a machine of its own and registers it.
func (bed *testbed) startEngine(sto *store, host int, eng *engine) error {
	lsn, err := bed.listen(host)
	if err != nil {
		return err
	}
	eng.bed, eng.addr, eng.lsn = bed, lsn.Addr().String(), lsn
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			go eng.serve(con)
		}
	}()
	go func() {
		for seq := 1; eng.beat(sto, seq); seq++ {
			time.Sleep(heartbeat)
		}
	}()
	bed.note("engine %s of %s at %s", eng.id, eng.service, eng.addr)
	return nil
}

// lineReader keeps the first line that is read.
type lineReader struct {
	rdr  io.Reader
	text []byte
}

func (lrd *lineReader) Read(buf []byte) (int, error) {
	n, err := lrd.rdr.Read(buf)
	lrd.text = append(lrd.text, buf[:n]...)
	return n, err
}

func (eng *engine) serve(con net.Conn) {
	eng.track(con, true)
	defer func() {
		eng.track(con, false)
		_ = con.Close()
	}()
	raw := &lineReader{rdr: con}
	rdr := bufio.NewReader(raw)
	chn := &channel{}
	for seq := 0; ; seq++ {
		raw.text = nil
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		line, _, _ := strings.Cut(string(raw.text), "\r\n")
		arv := &arrival{line: line, req: req, body: body, seq: seq, channel: chn, con: con}
		if chn.late != "" {
			eng.bed.note("engine %s sends an extra response, late", eng.id)
			late := chn.late
			chn.late = ""
			if _, err := io.WriteString(con, late); err != nil {
				return
			}
		}
		if target := req.Header.Get(hdrTarget); target != "" && target != eng.id {
			_, _ = io.WriteString(con, response(421, nil, ""))
			continue
		}
		if _, err := io.WriteString(con, eng.handle(arv)); err != nil {
			return
		}
	}
}

// response returns a complete response.
func response(status int, header map[string]string, body string) string {
	var txt strings.Builder
	fmt.Fprintf(&txt, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, val := range header {
		fmt.Fprintf(&txt, "%s: %s\r\n", name, val)
	}
	return txt.String() + "\r\n" + body
}

// signed returns the engine's response to a request.
func (eng *engine) signed(arv *arrival, status int, kind, body string) string {
	id := arv.req.Header.Get(hdrID)
	return response(status, map[string]string{
		hdrID: id, hdrSignature: "sig-" + id + "-" + eng.id, "Content-Type": kind, hdrLoad: fmt.Sprintf("1,0,%d", eng.slots),
	}, body)
}
