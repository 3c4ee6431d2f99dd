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

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/ending"
)

// Times of a connection.
const (
	// dialTimeout bounds the opening of a connection: a machine without power does not answer at
	// all.
	dialTimeout = 800 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT); idle
	// connections are probed every keepAliveInterval. A dead connection would otherwise hold a
	// request until its deadline. An endpoint that is merely slow acknowledges both.
	userTimeout       = 1500 * time.Millisecond
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Dialer returns a dialer whose connections detect an unreachable peer.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
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

// PooledClient returns a client that reuses connections, for calls that may be repeated;
// connections are closed when they have been unused for idle. obs is called with each answer; it
// may be nil.
func PooledClient(idle time.Duration, obs Observer) *http.Client {
	return &http.Client{
		Transport: &observedTransport{observe: obs, next: &http.Transport{
			DialContext: Dialer().DialContext, DisableCompression: true,
			MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idle,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// maxIdlePerHost covers the concurrent calls to one address.
const maxIdlePerHost = 4

// Relay forwards requests to endpoints. It is created by [New] and safe for concurrent use.
type Relay struct {
	dia *proto.Dialect
	trn http.RoundTripper
}

// New returns a relay for a dialect. obs is called with each answer; it may be nil.
func New(dia *proto.Dialect, obs Observer) *Relay {
	return &Relay{dia: dia, trn: &observedTransport{observe: obs, next: &http.Transport{
		DialContext: dialAllowed(Dialer()), DisableCompression: true,
		// No connection is reused. DisableKeepAlives would achieve that too, but sends "Connection:
		// close" to endpoints; they would then answer the same, which could not be told from an
		// endpoint that is leaving.
		MaxIdleConnsPerHost: -1,
	}}}
}

// Request is a caller's request with its complete body.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the unmodified request target, including the query.
	Target string
	Header http.Header
	Body   []byte
	// OnWritten is called when the request has been written to an endpoint; it may be nil.
	OnWritten func()
	// Allowed is called when a connection has been established, before anything is written: opening
	// one takes up to a second, and earlier checks may no longer hold. It may be nil.
	Allowed func() bool
}

// Response is an endpoint's answer. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Reply  proto.ReplyMeta
	Body   io.ReadCloser
	Length int64
	// Framed is set if the body has a length or is chunked; otherwise it ends with its connection.
	Framed bool
}

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Do sends a request to an endpoint. The response is nil unless it answers this request; a refusal
// comes with its response.
func (rel *Relay) Do(ctx context.Context, addr string, rqs Request, snd proto.SendMeta) (*Response, ending.Ending) {
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
	end := rel.classify(rqs.ID, rsp)
	if end != ending.Answered && end != ending.Refused {
		_ = res.Body.Close()
		return nil, end
	}
	rel.dia.StripHeaders(rsp.Header)
	dropHop(rsp.Header)
	return rsp, end
}

// classify returns the ending of an attempt, by the request that its answer names and by what the
// answer proves. An answer without a request ID is foreign: only the ID distinguishes it from an
// engine's extra answers.
func (rel *Relay) classify(id string, rsp *Response) ending.Ending {
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

func (rel *Relay) request(ctx context.Context, addr string, rqs Request, snd proto.SendMeta, connected *atomic.Bool) (*http.Request, error) {
	path, query, hasQuery := strings.Cut(rqs.Target, "?")
	req := &http.Request{
		Method: rqs.Method, Host: rqs.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: addr, Opaque: path, RawQuery: query, ForceQuery: hasQuery},
		Header: rqs.Header.Clone(),
	}
	dropHop(req.Header)
	for _, name := range rel.dia.DropHeaders {
		req.Header.Del(name)
	}
	rel.dia.SetHeaders(req.Header, snd)
	// Otherwise net/http would set its own User-Agent when the caller sent none.
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	if len(rqs.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(rqs.Body)), int64(len(rqs.Body))
	}
	return req.WithContext(withTrace(withAllowed(ctx, rqs.Allowed), connected, rqs.OnWritten)), nil
}

// dropHop removes the hop-by-hop headers, including those that the Connection header lists.
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
