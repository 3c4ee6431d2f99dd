// Package caller is a client for callers of the system. It looks up the addresses
// of instances, caches them, sends requests there and fails over to another address
// without executing a request twice.
//
// It follows these rules, which docs/PROTOCOL.md describes for other clients:
//
//   - If no connection could be established, or if the instance refused because it is
//     stopping or its view is stale, nothing has been executed: the next address is
//     tried at once.
//   - A request with a key may be retried at any address, with the same key and
//     without "first".
//   - An interrupted stream is resumed with its resume token and the texts received
//     so far.
//   - Any other request whose answer was lost is not retried; the caller gets the
//     outcome unknown, or failed for an interrupted stream.
//   - A refusal with a retry-after delay is not retried earlier.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"amaranthvalve/internal/platf"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/claim"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

// maxAttempts is the maximum number of times that a request is sent.
const maxAttempts = 4

// Client calls services as one workspace.
type Client struct {
	svc       httpc.Service
	clk       clock.Clock
	seeds     []string
	workspace string
	token     string
	zone      string

	// OnOpen is called at the start of each stream; it may be nil.
	OnOpen func(wire.Open)

	known      []wire.Entry
	knownUntil clock.Milli
}

// New returns a client that looks up addresses at the seeds. It is not safe for
// concurrent use.
func New(seeds []string, workspace, token, zone string) *Client {
	return &Client{svc: platf.NewService("entry"), seeds: seeds, workspace: workspace, token: token, zone: zone}
}

// Entries looks up the addresses for a service, best first, and caches them for as
// long as the answer allows.
func (cli *Client) Entries(ctx context.Context, service string) (wire.Entries, error) {
	var errAll error
	for _, addr := range cli.lookupAddrs() {
		ent, err := cli.lookup(ctx, addr, service)
		if err == nil && len(ent.Entries) > 0 {
			cli.known, cli.knownUntil = ent.Entries, cli.clk.Now()+ent.TTLMs
			return ent, nil
		}
		if err == nil {
			err = fmt.Errorf("%s returned no address", addr)
		}
		errAll = errors.Join(errAll, err)
	}
	return wire.Entries{}, errAll
}

func (cli *Client) lookupAddrs() []string {
	addrs := make([]string, 0, len(cli.known)+len(cli.seeds))
	for _, ent := range cli.known {
		addrs = append(addrs, ent.Addr)
	}
	return append(addrs, cli.seeds...)
}

func (cli *Client) lookup(ctx context.Context, addr, service string) (wire.Entries, error) {
	query := url.Values{"service": {service}, "zone": {cli.zone}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/entries?"+query.Encode(), nil)
	if err != nil {
		return wire.Entries{}, err
	}
	res, err := cli.svc.DoRequest(req)
	if err != nil {
		return wire.Entries{}, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return wire.Entries{}, fmt.Errorf("%s: status %d", addr, res.StatusCode)
	}
	var ent wire.Entries
	return ent, json.NewDecoder(res.Body).Decode(&ent)
}

// Call sends a request, with failover, and returns its answer. It calls onToken for
// each token of a stream, once and in order; onToken may be nil.
func (cli *Client) Call(ctx context.Context, service string, sub wire.Submit, onToken func(wire.Token)) wire.Answer {
	last := localAnswer(outcm.NotRun, outcm.NoEndpoint, "no instance could be reached")
	str := &streamState{onToken: onToken, onOpen: cli.OnOpen}
	for range maxAttempts {
		addr, err := cli.bestAddr(ctx, service)
		if err != nil {
			if last.Outcome == outcm.NotRun.String() {
				last.Detail = err.Error()
			}
			return last
		}
		ans, retry := cli.attempt(ctx, addr, service, str.withResume(sub), str)
		if !retry || ctx.Err() != nil {
			return ans
		}
		last = ans
		// The key has now been sent, whatever the result of the attempt.
		sub.First = false
	}
	return last
}

// Ticket returns a key that is bound to the best instance, and that instance's
// address, for a non-idempotent request in an outage of the log. Store both before
// sending; send the request and its retries to that address with CallAt.
func (cli *Client) Ticket(ctx context.Context, service string) (key, addr string, err error) {
	ent, err := cli.Entries(ctx, service)
	if err != nil {
		return "", "", err
	}
	best := ent.Entries[0]
	return claim.TicketKey(best.Boot), best.Addr, nil
}

// CallAt sends a request once, to one address, without failover.
func (cli *Client) CallAt(ctx context.Context, addr, service string, sub wire.Submit, onToken func(wire.Token)) wire.Answer {
	ans, _ := cli.attempt(ctx, addr, service, sub, &streamState{onToken: onToken, onOpen: cli.OnOpen})
	return ans
}

// bestAddr returns the best address that has not failed. It repeats the lookup when
// the cached addresses have expired or all have failed.
func (cli *Client) bestAddr(ctx context.Context, service string) (string, error) {
	if len(cli.known) == 0 || cli.clk.Now() >= cli.knownUntil {
		if _, err := cli.Entries(ctx, service); err != nil {
			return "", err
		}
	}
	return cli.known[0].Addr, nil
}

// forget removes a failed address from the cache.
func (cli *Client) forget(addr string) {
	var rest []wire.Entry
	for _, ent := range cli.known {
		if ent.Addr != addr {
			rest = append(rest, ent)
		}
	}
	cli.known = rest
}

// attempt sends the request to one address and reports whether it may be retried.
func (cli *Client) attempt(ctx context.Context, addr, service string, sub wire.Submit, str *streamState) (wire.Answer, bool) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	text, err := json.Marshal(sub)
	if err != nil {
		return localAnswer(outcm.NotRun, outcm.BadRequest, err.Error()), false
	}
	path := "http://" + addr + "/v1/services/" + url.PathEscape(service) + "/requests"
	req, err := http.NewRequestWithContext(traced, http.MethodPost, path, bytes.NewReader(text))
	if err != nil {
		return localAnswer(outcm.NotRun, outcm.BadRequest, err.Error()), false
	}
	req.GetBody = nil
	req.Header.Set(wire.HeaderWorkspace, cli.workspace)
	if cli.token != "" {
		req.Header.Set("Authorization", "Bearer "+cli.token)
	}
	res, err := cli.svc.DoRequest(req)
	if err != nil {
		cli.forget(addr)
		if !connected.Load() {
			return localAnswer(outcm.NotRun, outcm.NoEndpoint, err.Error()), true
		}
		return localAnswer(outcm.Unknown, outcm.ConnectionCut, err.Error()), sub.Key != "" || str.canResume()
	}
	defer func() { _ = res.Body.Close() }()
	return cli.read(addr, res, sub, str)
}

func (cli *Client) read(addr string, res *http.Response, sub wire.Submit, str *streamState) (wire.Answer, bool) {
	if res.Header.Get("Content-Type") == "text/event-stream" {
		ans, complete := str.read(res.Body)
		if !complete {
			cli.forget(addr)
			return localAnswer(outcm.Failed, outcm.StreamCut, "the stream is incomplete"), str.canResume()
		}
		return ans, false
	}
	var ans wire.Answer
	if err := json.NewDecoder(res.Body).Decode(&ans); err != nil {
		cli.forget(addr)
		return localAnswer(outcm.Unknown, outcm.ConnectionCut, err.Error()), sub.Key != ""
	}
	elsewhere := ans.Reason == outcm.Stopping.String() || ans.Reason == outcm.StaleView.String()
	if elsewhere {
		cli.forget(addr)
	}
	return ans, elsewhere
}

func localAnswer(oc outcm.Outcome, rs outcm.Reason, detail string) wire.Answer {
	return wire.Answer{Outcome: oc.String(), Reason: rs.String(), Detail: detail}
}

// streamState is the state of a stream across all its connections.
type streamState struct {
	onToken func(wire.Token)
	onOpen  func(wire.Open)
	have    []string
	resume  string
}

func (str *streamState) canResume() bool { return str.resume != "" }

// withResume adds to sub the data to resume the stream, if it has begun.
func (str *streamState) withResume(sub wire.Submit) wire.Submit {
	if str.canResume() {
		sub.Resume = &wire.Resume{Token: str.resume, Have: str.have}
	}
	return sub
}

// read reads the events of one connection. It reports whether the stream is complete:
// its last event was received and, if the outcome is done, its count is that of the
// texts received.
func (str *streamState) read(body interface{ Read([]byte) (int, error) }) (wire.Answer, bool) {
	erd := wire.NewEventReader(body)
	for {
		name, data, err := erd.Next()
		if err != nil {
			return wire.Answer{}, false
		}
		switch name {
		case wire.EventOpen:
			var opn wire.Open
			if json.Unmarshal(data, &opn) == nil && opn.Resume != "" {
				str.resume = opn.Resume
				if str.onOpen != nil {
					str.onOpen(opn)
				}
			}
		case wire.EventToken:
			var tok wire.Token
			if json.Unmarshal(data, &tok) != nil || !str.add(tok) {
				return wire.Answer{}, false
			}
		case wire.EventEnd:
			var ans wire.Answer
			if json.Unmarshal(data, &ans) != nil {
				return wire.Answer{}, false
			}
			return ans, ans.Outcome != outcm.Done.String() || ans.Count == len(str.have)
		}
	}
}

// add adds a token. It skips a token that was received before and returns false for
// a gap.
func (str *streamState) add(tok wire.Token) bool {
	if tok.Index < len(str.have) {
		return true
	}
	if tok.Index > len(str.have) {
		return false
	}
	str.have = append(str.have, tok.Text)
	if str.onToken != nil {
		str.onToken(tok)
	}
	return true
}

// WaitRetryAfter waits for the retry-after delay of a refusal or the end of the context.
func WaitRetryAfter(ctx context.Context, ans wire.Answer) {
	select {
	case <-ctx.Done():
	case <-time.After(ans.RetryAfterMs.Duration()):
	}
}
