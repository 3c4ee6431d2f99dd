// Package engin is the client of endpoints: it runs a stage once, reads the stream of an
// engine, sends orders and requests reports.
//
// It never sends anything twice. In addition to the answer it returns an exact [ending.Ending]:
// whether it is proved that nothing was sent, or that nothing ran, or whether the work may have
// run without an answer. Package stage decides about retries from the ending and the document.
package engin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/platf"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/ending"
)

const (
	// maxAnswer bounds the result of a stage, in bytes. Results are texts that the next stage takes as input. Ten of
	// 2 MB at a time fit an instance with 144 MB.
	maxAnswer = 2 << 20
	// maxReport bounds the report of an endpoint, which lists the hashes of evicted prefixes, in bytes: some
	// thousands of 20 digits each.
	maxReport = 128 << 10
)

// Client is a client of endpoints.
type Client struct {
	// OnUnbounded is called with the address of an endpoint whose answer exceeded a bound; it may be nil.
	OnUnbounded func(addr string, err error)

	svc httpc.Service
}

// report reports an answer that exceeded a bound.
func (cli *Client) report(addr string, err error) {
	if bounds.Exceeded(err) && cli.OnUnbounded != nil {
		cli.OnUnbounded(addr, err)
	}
}

// New returns a client.
func New() *Client { return &Client{svc: platf.NewService("endpoint")} }

// Report is what an endpoint reports of itself in the headers of an answer.
type Report struct {
	load    int
	hasLoad bool
	leaving bool
}

// Load returns the number of requests queued or running at the endpoint, if reported.
func (rep Report) Load() (int, bool) { return rep.load, rep.hasLoad }

// Leaving reports whether the endpoint is leaving.
func (rep Report) Leaving() bool { return rep.leaving }

func readReport(res *http.Response) Report {
	load, err := strconv.Atoi(res.Header.Get(wire.HeaderLoad))
	return Report{load: load, hasLoad: err == nil, leaving: res.Header.Get(wire.HeaderLeaving) != ""}
}

// Run runs a stage once at the endpoint at addr.
func (cli *Client) Run(ctx context.Context, addr string, run wire.Run) (wire.RunResult, Report, ending.Ending) {
	res, end := cli.post(ctx, addr, "/v1/run", run)
	if res == nil {
		return wire.RunResult{}, Report{}, end
	}
	defer func() { _ = res.Body.Close() }()
	rep := readReport(res)
	if end != ending.Answered {
		return wire.RunResult{}, rep, end
	}
	var ran wire.RunResult
	text, err := bounds.ReadAll(res.Body, maxAnswer, "the result of a stage")
	cli.report(addr, err)
	if bounds.Exceeded(err) {
		return wire.RunResult{}, rep, ending.Cut
	}
	if err != nil || json.Unmarshal(text, &ran) != nil {
		return wire.RunResult{}, rep, ending.Broken(ctx)
	}
	// A late answer to an abandoned attempt, or one meant for another caller, must never be
	// matched to this request: otherwise the result of a conflict check would be applied to the
	// booking of another caller.
	if ran.Attempt != run.Attempt {
		return wire.RunResult{}, rep, ending.Foreign
	}
	return ran, rep, ending.Answered
}

// Generate starts a generation and passes each token to take, in order and without a gap from
// run.From. It returns the index after the last token passed. The ending is Answered only after
// a closing event with the right count.
func (cli *Client) Generate(ctx context.Context, addr string, run wire.Run, take func(wire.Token) error) (int, wire.End, Report, ending.Ending) {
	res, end := cli.post(ctx, addr, "/v1/generate", run)
	return cli.readStream(ctx, addr, res, end, run.Attempt, run.From, take)
}

// Resume continues the stream of an engine at an index.
func (cli *Client) Resume(ctx context.Context, addr, attempt string, from int, take func(wire.Token) error) (int, wire.End, Report, ending.Ending) {
	path := "/v1/streams/" + url.PathEscape(attempt) + "?from=" + strconv.Itoa(from)
	res, end := cli.do(ctx, http.MethodGet, addr, path, nil, attempt)
	return cli.readStream(ctx, addr, res, end, attempt, from, take)
}

// Cancel cancels an abandoned stream at its engine.
func (cli *Client) Cancel(ctx context.Context, addr, attempt string) {
	res, _ := cli.do(ctx, http.MethodDelete, addr, "/v1/streams/"+url.PathEscape(attempt), nil, attempt)
	if res != nil {
		_ = res.Body.Close()
	}
}

// Load requests the report of an endpoint.
func (cli *Client) Load(ctx context.Context, addr string) (wire.Load, bool) {
	res, end := cli.do(ctx, http.MethodGet, addr, "/v1/load", nil, "")
	if res == nil {
		return wire.Load{}, false
	}
	defer func() { _ = res.Body.Close() }()
	if end != ending.Answered {
		return wire.Load{}, false
	}
	text, err := bounds.ReadAll(res.Body, maxReport, "the report of an endpoint")
	cli.report(addr, err)
	var rep wire.Load
	if err != nil || json.Unmarshal(text, &rep) != nil {
		return wire.Load{}, false
	}
	return rep, true
}

// Order sends an order to an endpoint. The ending is Refused if the fencing token was outdated.
func (cli *Client) Order(ctx context.Context, addr string, ord wire.Order) ending.Ending {
	res, end := cli.post(ctx, addr, "/v1/orders", ord)
	if res == nil {
		return end
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusConflict {
		return ending.Refused
	}
	return end
}

func (cli *Client) post(ctx context.Context, addr, path string, body any) (*http.Response, ending.Ending) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, ending.NothingSent
	}
	attempt := ""
	if run, ok := body.(wire.Run); ok {
		attempt = run.Attempt
	}
	return cli.do(ctx, http.MethodPost, addr, path, text, attempt)
}

func (cli *Client) do(ctx context.Context, method, addr, path string, body []byte, attempt string) (*http.Response, ending.Ending) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	var rdr io.Reader
	if body != nil {
		rdr = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(traced, method, "http://"+addr+path, rdr)
	if err != nil {
		return nil, ending.NothingSent
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	if attempt != "" {
		req.Header.Set(wire.HeaderAttempt, attempt)
	}
	res, err := cli.svc.DoRequest(req)
	if err = bounds.Head(err); err != nil {
		cli.report(addr, err)
		return nil, endingOf(ctx, err, connected.Load())
	}
	return res, endingOfStatus(res)
}

func endingOf(ctx context.Context, err error, connected bool) ending.Ending {
	switch {
	case !connected || errors.Is(err, breaker.ErrServiceUnavailable):
		return ending.NothingSent
	default:
		return ending.Broken(ctx)
	}
}

func endingOfStatus(res *http.Response) ending.Ending {
	switch {
	case res.StatusCode == http.StatusOK:
		return ending.Answered
	case res.Header.Get(wire.HeaderExecuted) == wire.ExecutedNo:
		return ending.Refused
	}
	return ending.Errored
}

func (cli *Client) readStream(ctx context.Context, addr string, res *http.Response, end ending.Ending, attempt string, from int, take func(wire.Token) error) (int, wire.End, Report, ending.Ending) {
	if res == nil {
		return from, wire.End{}, Report{}, end
	}
	defer func() { _ = res.Body.Close() }()
	rep := readReport(res)
	if end != ending.Answered {
		return from, wire.End{}, rep, end
	}
	next, last, end, err := readTokens(ctx, wire.NewEventReader(res.Body), attempt, from, take)
	cli.report(addr, err)
	return next, last, rep, end
}

func readTokens(ctx context.Context, erd *wire.EventReader, attempt string, from int, take func(wire.Token) error) (int, wire.End, ending.Ending, error) {
	for {
		name, data, err := erd.Next()
		if bounds.Exceeded(err) {
			return from, wire.End{}, ending.Cut, err
		}
		if err != nil {
			return from, wire.End{}, ending.Broken(ctx), err
		}
		switch name {
		case wire.EventToken:
			var tok wire.Token
			if json.Unmarshal(data, &tok) != nil || tok.Attempt != attempt {
				return from, wire.End{}, ending.Foreign, nil
			}
			if tok.Index < from {
				continue
			}
			if tok.Index > from {
				return from, wire.End{}, ending.Cut, nil
			}
			if take(tok) != nil {
				return from, wire.End{}, ending.GaveUp, nil
			}
			from++
		case wire.EventEnd:
			var last wire.End
			if json.Unmarshal(data, &last) != nil || last.Attempt != attempt {
				return from, wire.End{}, ending.Foreign, nil
			}
			// A stream that closes before its last token is cut, whatever its closing event
			// states.
			if last.Count != from {
				return from, wire.End{}, ending.Cut, nil
			}
			return from, last, ending.Answered, nil
		}
	}
}
