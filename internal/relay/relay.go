package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/ending"
)

// Times of a connection.
const (
	// dialWait bounds the opening of a connection: a machine without power
	// answers nothing at all.
	dialWait = 800 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged, and probes
	// of a silent connection come every probeEvery. A connection that went
	// silent would otherwise hold a request until its deadline. An endpoint
	// that merely thinks acknowledges both.
	userTimeout = 1500 * time.Millisecond
	probeEvery  = time.Second
	probeCount  = 2
)

// Dialer returns a dialer whose connections notice when the other side has gone
// silent.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialWait,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// Kept returns a client whose connections are kept for calls that may be
// repeated; idle is how long. heard is told of each answer; it may be nil.
func Kept(idle time.Duration, heard Heard) *http.Client {
	return &http.Client{
		Transport: &hearing{heard: heard, next: &http.Transport{
			DialContext: Dialer().DialContext, DisableCompression: true,
			MaxIdleConnsPerHost: keptPerHost, IdleConnTimeout: idle,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// keptPerHost is enough for the calls to one address that overlap.
const keptPerHost = 4

// Relay passes requests on. It is made by [New] and safe for concurrent use.
type Relay struct {
	dia *talk.Dialect
	trn http.RoundTripper
}

// New returns a relay that speaks a dialect. heard is told of each answer; it may be nil.
func New(dia *talk.Dialect, heard Heard) *Relay {
	return &Relay{dia: dia, trn: &hearing{heard: heard, next: &http.Transport{
		DialContext: withheld(Dialer()), DisableCompression: true,
		// No connection is kept. DisableKeepAlives would do so too, but would
		// ask endpoints to close, and then none could be told from one that is
		// leaving.
		MaxIdleConnsPerHost: -1,
	}}}
}

// Request is a caller's request, read whole.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the request's target to the letter, query included.
	Target string
	Header http.Header
	Body   []byte
	// Written is told when the request was written to an endpoint; it may be nil.
	Written func()
	// Allowed is asked when a connection was had, before anything is written: opening one
	// takes up to a second, and what was looked up before may hold no longer. It may be nil.
	Allowed func() bool
}

// Response is an endpoint's answer; its body is read from Body and must be
// closed.
type Response struct {
	Status int
	Header http.Header
	Reply  talk.Reply
	Body   io.ReadCloser
	Length int64
	// Framed tells that the end of the body is marked; one that isn't ends with its connection.
	Framed bool
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Do sends a request to an endpoint. The response is nil unless one came to this
// request; a refusal comes with its response.
func (rel *Relay) Do(ctx context.Context, addr string, rqs Request, snd talk.Send) (*Response, ending.Ending) {
	var connected atomic.Bool
	req, err := rel.request(ctx, addr, rqs, snd, &connected)
	if err != nil {
		return nil, ending.NothingSent
	}
	res, err := rel.trn.RoundTrip(req)
	if err != nil {
		switch {
		case errors.Is(err, errWithheld):
			return nil, ending.Withheld
		case !connected.Load():
			return nil, ending.NothingSent
		case ctx.Err() != nil:
			return nil, ending.GaveUp
		}
		return nil, ending.Cut
	}
	rsp := &Response{
		Status: res.StatusCode, Header: res.Header, Reply: rel.dia.Reply(res), Body: res.Body, Length: res.ContentLength,
		Framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
	}
	end := rel.judge(rqs.ID, rsp)
	if end != ending.Answered && end != ending.Refused {
		_ = res.Body.Close()
		return nil, end
	}
	rel.dia.Strip(rsp.Header)
	dropHop(rsp.Header)
	return rsp, end
}

// judge tells whose answer it is and what it proves. An answer that names no
// request is nobody's: an engine's extra answers are told from ours by the name
// alone.
func (rel *Relay) judge(id string, rsp *Response) ending.Ending {
	switch {
	case rsp.Reply.NotRun || rsp.Reply.Misdirected:
		return ending.Refused
	case rsp.Reply.ID != id:
		return ending.Foreign
	case rsp.Status >= 200 && rsp.Status < 300 && !rsp.Reply.Signed:
		return ending.Unsigned
	}
	return ending.Answered
}

func (rel *Relay) request(ctx context.Context, addr string, rqs Request, snd talk.Send, connected *atomic.Bool) (*http.Request, error) {
	path, query, asked := strings.Cut(rqs.Target, "?")
	req := &http.Request{
		Method: rqs.Method, Host: rqs.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: addr, Opaque: path, RawQuery: query, ForceQuery: asked},
		Header: rqs.Header.Clone(),
	}
	dropHop(req.Header)
	for _, name := range rel.dia.Drop {
		req.Header.Del(name)
	}
	rel.dia.Dress(req.Header, snd)
	// The library would name itself where the caller named nobody.
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	if len(rqs.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(rqs.Body)), int64(len(rqs.Body))
	}
	return req.WithContext(withTrace(withAllowed(ctx, rqs.Allowed), connected, rqs.Written)), nil
}

// dropHop takes out the headers that concern one connection, those that its
// Connection header names included.
func dropHop(hdr http.Header) {
	for _, line := range hdr["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			hdr.Del(textproto.TrimString(name))
		}
	}
	for name := range hdr {
		if slices.Contains(hopHeaders, name) {
			delete(hdr, name)
		}
	}
}
