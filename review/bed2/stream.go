package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// modelEngine is a sound stand-in for a model engine: it reads a request whole and answers with a stream of events.
type modelEngine struct {
	id     string
	slots  int
	events int
	gap    time.Duration
	addr   string
	// late is set if the engine answers before it has read a long body, and reads on after its answer.
	late bool

	running atomic.Int64
	mtx     sync.Mutex
	runs    []run
}

// run is a run of a request at an engine: from its first event until the engine has sent the last one, or knows that the
// channel is closed.
type run struct {
	id, engine, after string
	began, ended      time.Time
	events            int
	whole             bool
}

// readFirst is what an engine that reads late reads of a body before it answers.
const readFirst = 64 << 10

func newModelEngine(id string, slots, events int, gap time.Duration) (*modelEngine, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	eng := &modelEngine{id: id, slots: slots, events: events, gap: gap, addr: lsn.Addr().String()}
	srv := &http.Server{Handler: http.HandlerFunc(eng.serve), ConnContext: func(ctx context.Context, con net.Conn) context.Context {
		return context.WithValue(ctx, channelKey{}, con)
	}}
	go func() { _ = srv.Serve(lsn) }()
	return eng, nil
}

// channelKey is the context key of a request's channel.
type channelKey struct{}

// isClosed reports whether the channel of a request has been closed or reset, also while the engine reads nothing from it.
func isClosed(req *http.Request) bool {
	con, ok := req.Context().Value(channelKey{}).(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := con.SyscallConn()
	if err != nil {
		return true
	}
	const established = 1
	state := uint8(established)
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err != nil || state != established
}

// work waits for a time, unless the channel is closed before.
func work(req *http.Request, span time.Duration) (closed bool) {
	const interval = 5 * time.Millisecond
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(interval) {
		if isClosed(req) {
			return true
		}
	}
	return isClosed(req)
}

func (eng *modelEngine) entry(service, zone string) map[string]any {
	models := []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	return map[string]any{
		"service": service, "address": eng.addr, "zone": zone, "version": "v1", "slots": eng.slots, "state": "ready", "coldLeftMs": 0,
		"stage": "both", "models": models, "sequence": 1,
	}
}

func (eng *modelEngine) serve(wrt http.ResponseWriter, req *http.Request) {
	hdr := wrt.Header()
	if target := req.Header.Get("Amaranthvalve-Target-Instance"); target != "" && target != eng.id {
		hdr.Set("Amaranthvalve-Instance-Id", eng.id)
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/health":
		hdr.Set("Amaranthvalve-Instance-Id", eng.id)
		return
	case "/-/report":
		writeJSON(wrt, map[string]any{
			"stage": "both", "models": []any{}, "busy": false, "sequence": 1, "queued": 0, "running": eng.running.Load(), "kvUsed": 0, "kvTotal": kvCapacity, "handles": 0,
		})
		return
	case "/-/kv-list":
		writeJSON(wrt, map[string]any{"epoch": 1, "next": 0, "held": []any{}})
		return
	}
	id := req.Header.Get("Amaranthvalve-Request-Id")
	first := int64(readFirst)
	if !eng.late {
		first = max(req.ContentLength, 0)
	}
	if _, err := io.CopyN(io.Discard, req.Body, first); err != nil && err != io.EOF {
		return
	}
	if eng.running.Add(1) > int64(eng.slots) {
		eng.running.Add(-1)
		hdr.Set("Amaranthvalve-Not-Executed", "1")
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer eng.running.Add(-1)
	rn := run{id: id, engine: eng.id, after: req.Header.Get("Last-Event-Id"), began: time.Now()}
	rn.events, rn.whole = eng.stream(wrt, req, rn.after)
	rn.ended = time.Now()
	eng.mtx.Lock()
	eng.runs = append(eng.runs, rn)
	eng.mtx.Unlock()
	_, _ = io.Copy(io.Discard, req.Body)
}

// stream sends the events after the given one, and returns how many it has made, and whether they are all.
func (eng *modelEngine) stream(wrt http.ResponseWriter, req *http.Request, after string) (made int, whole bool) {
	hdr, id := wrt.Header(), req.Header.Get("Amaranthvalve-Request-Id")
	hdr.Set("Content-Type", "text/event-stream")
	hdr.Set("Amaranthvalve-Request-Id", id)
	hdr.Set("Amaranthvalve-Response-Signature", eng.id+"."+id)
	hdr.Set("Amaranthvalve-Weight-Versions", "1")
	ctl := http.NewResponseController(wrt)
	if eng.late {
		_ = ctl.EnableFullDuplex()
	}
	from, _ := strconv.Atoi(after)
	for i := from; i < eng.events; i++ {
		if _, err := fmt.Fprintf(wrt, "id: %d\ndata: %s %d\n\n", i+1, id, i+1); err != nil || ctl.Flush() != nil {
			return made, false
		}
		made++
		if i+1 < eng.events && work(req, eng.gap) {
			return made, false
		}
	}
	return made, true
}

// kvCapacity is the memory of an engine, in tokens.
const kvCapacity = 328764

// sendStream sends one attempt with a body, and reads the stream that answers it. It returns the attempt and the number of
// events that came.
func (cns *consumers) sendStream(body []byte, events int, left time.Duration) (attempt, int) {
	return cns.sendStreamFor(body, events, left, left)
}

// sendStreamFor is sendStream for a consumer that leaves when its patience ends, which may be before the deadline that it names.
func (cns *consumers) sendStreamFor(body []byte, events int, left, patience time.Duration) (attempt, int) {
	cns.mtx.Lock()
	cns.count++
	att := attempt{id: fmt.Sprintf("%s%06d", cns.prefix, cns.count)}
	cns.mtx.Unlock()
	att.front, att.at = cns.pick(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	got := 0
	defer func() {
		att.took = time.Since(att.at)
		cns.mtx.Lock()
		cns.attempts = append(cns.attempts, att)
		cns.mtx.Unlock()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+att.front+cns.path, bytes.NewReader(body))
	if err != nil || att.front == "" {
		att.err = "no address"
		return att, got
	}
	req.Host = cns.host
	req.Header.Set("Amaranthvalve-Request-Id", att.id)
	req.Header.Set("Amaranthvalve-Request-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("Amaranthvalve-Model", "m")
	req.Header.Set("Amaranthvalve-Token-Usage", "543,243")
	req.Header.Set("Amaranthvalve-Prompt-Prefix", "5c1e07a2:103,91bd3f06:69,"+fmt.Sprintf("%x", att.id)+":371")
	trn := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer trn.CloseIdleConnections()
	res, err := trn.RoundTrip(req)
	if err != nil {
		att.err = err.Error()
		cns.mtx.Lock()
		cns.failed[att.front] = time.Now()
		cns.mtx.Unlock()
		return att, got
	}
	defer func() { _ = res.Body.Close() }()
	att.status = res.StatusCode
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			got++
		}
	}
	if err := lines.Err(); err != nil || att.status == http.StatusOK && got < events {
		att.err = fmt.Sprintf("%d of %d events: %v", got, events, err)
	}
	return att, got
}
