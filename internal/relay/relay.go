package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/ending"
)

// PooledClient returns a client that reuses connections, for calls that may be repeated;
// connections are closed when they have been unused for idle. obs is called with each answer; it
// may be nil.
func PooledClient(idle time.Duration, dlf dial.Func, obs Observer) *http.Client {
	return client(maxIdlePerHost, idle, dlf, obs)
}

// SingleUseClient returns a client that sends each call on a connection of its own, for calls whose answers
// don't name them: a late second answer to one call would be read as the answer to the next.
func SingleUseClient(dlf dial.Func, obs Observer) *http.Client { return client(noIdle, 0, dlf, obs) }

func client(maxIdle int, idle time.Duration, dlf dial.Func, obs Observer) *http.Client {
	return &http.Client{
		Transport: &observedTransport{observe: obs, next: &http.Transport{
			DialContext: dlf, DisableCompression: true,
			MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idle, MaxResponseHeaderBytes: bounds.MaxHeadBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

const (
	// maxIdlePerHost covers the concurrent calls to one address.
	maxIdlePerHost = 4
	// noIdle has a transport reuse no connection. DisableKeepAlives would achieve that too, but sends
	// "Connection: close" to endpoints; they would then answer the same, which could not be told from an
	// endpoint that is leaving.
	noIdle = -1
)

// Relay forwards requests to endpoints. It is created by [New] and safe for concurrent use.
type Relay struct {
	dia *proto.Dialect
	trn http.RoundTripper
	// maxBody bounds the body of an answer, in bytes.
	maxBody int64
}

// maxBodyBytes bounds the body of an answer. It is passed on as it comes and takes no memory, but an endless one
// takes the network of its instance until the request's deadline: a link of 200 Mbit/s carries this in 10 s.
const maxBodyBytes = 256 << 20

// New returns a relay for a dialect. obs is called with each answer; it may be nil.
func New(dia *proto.Dialect, dlf dial.Func, obs Observer) *Relay {
	return &Relay{dia: dia, maxBody: maxBodyBytes, trn: &observedTransport{observe: obs, next: &http.Transport{
		DialContext: dialTracked(dlf), DisableCompression: true,
		MaxIdleConnsPerHost: noIdle, MaxResponseHeaderBytes: bounds.MaxHeadBytes,
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
	Status  int
	Header  http.Header
	Reply   proto.ReplyMeta
	Body    io.ReadCloser
	Length  int64
	Framing ending.Framing
}

// hopHeaders are the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Do sends a request to an endpoint. The response is nil unless it answers this request; a refusal
// comes with its response. The error, if any, is that of the connection.
func (rel *Relay) Do(ctx context.Context, addr string, rqs Request, snd proto.SendMeta) (*Response, ending.Ending, error) {
	var connected atomic.Bool
	wrt := &written{done: make(chan struct{})}
	req, err := rel.request(ctx, addr, rqs, snd, &connected, wrt)
	if err != nil {
		return nil, ending.NothingSent, err
	}
	res, err := rel.trn.RoundTrip(req)
	if err != nil {
		return nil, endingOf(ctx, err, connected.Load()), err
	}
	rsp := &Response{
		Status: res.StatusCode, Header: res.Header, Reply: rel.dia.Reply(res), Length: res.ContentLength, Framing: ending.FramingOf(res),
	}
	if res.ContentLength > rel.maxBody {
		_ = res.Body.Close()
		return nil, ending.Cut, bodyExceeded(rel.maxBody)
	}
	rsp.Body = bounds.NewBody(guardEnd(res.Body, rsp.Framing, wrt), bodyExceeded(rel.maxBody))
	end := rel.classify(rqs.ID, rsp)
	if end != ending.Answered && end != ending.Refused {
		_ = res.Body.Close()
		return nil, end, nil
	}
	rel.dia.StripHeaders(rsp.Header)
	dropHop(rsp.Header)
	return rsp, end, nil
}

func bodyExceeded(limit int64) *bounds.Error {
	return &bounds.Error{What: "the body of the answer", Bytes: limit}
}

// endingOf returns the ending of an attempt without a response.
func endingOf(ctx context.Context, err error, connected bool) ending.Ending {
	switch {
	case bounds.Exceeded(err):
		return ending.Cut
	case errors.Is(err, errWithheld):
		return ending.Withheld
	case !connected:
		return ending.NothingSent
	case ctx.Err() != nil:
		return ending.GaveUp
	}
	return ending.Cut
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

func (rel *Relay) request(ctx context.Context, addr string, rqs Request, snd proto.SendMeta, connected *atomic.Bool, wrt *written) (*http.Request, error) {
	trg, err := targetURL(addr, rqs.Target)
	if err != nil {
		return nil, err
	}
	req := &http.Request{
		Method: rqs.Method, Host: rqs.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, URL: trg, Header: rqs.Header.Clone(),
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
	return req.WithContext(withTrace(withAllowed(context.WithValue(ctx, writtenKey{}, wrt), rqs.Allowed), connected, wrt, rqs.OnWritten)), nil
}

// errTarget is returned for a request target that can't be sent unchanged.
var errTarget = errors.New("the path begins with two slashes and has characters that must be escaped")

// CheckTarget returns an error for a request target that can't be sent unchanged.
func CheckTarget(target string) error {
	_, err := targetURL("", target)
	return err
}

// targetURL returns the URL of a request target at an address. Its path is sent as it is.
func targetURL(addr, target string) (*url.URL, error) {
	path, query, hasQuery := strings.Cut(target, "?")
	trg := &url.URL{Scheme: "http", Host: addr, Opaque: path, RawQuery: query, ForceQuery: hasQuery}
	if !strings.HasPrefix(path, "//") {
		return trg, nil
	}
	// net/url puts the scheme before an opaque part with two slashes, and makes the first segment a host.
	plain, err := url.PathUnescape(path)
	if err != nil {
		return nil, errTarget
	}
	trg.Opaque, trg.Path, trg.RawPath = "", plain, path
	if trg.EscapedPath() != path {
		return nil, errTarget
	}
	return trg, nil
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
