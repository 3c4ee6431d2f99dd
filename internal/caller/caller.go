// Package caller is what a caller of the system does: it asks which addresses
// to use, keeps the answer, sends its request there, and goes on at another
// address when the first one fails, without running anything twice.
//
// The rules, which docs/PROTOCOL.md gives to those who write their own:
//
//   - An address that could not be connected to, or that refused as stopping or
//     stale, has run nothing: the next one is tried at once.
//   - A request with a key may be repeated anywhere, with the same key and
//     without the word "first".
//   - A cut stream is taken up with its token and the texts had so far.
//   - Any other request whose answer was cut is not repeated here; the caller
//     is told.
//   - A refusal that names a time is not repeated before it.
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

// maxTries bounds the addresses that one request is sent to.
const maxTries = 4

// Client calls services as one workspace.
type Client struct {
	svc       httpc.Service
	clk       clock.Clock
	seeds     []string
	workspace string
	token     string
	zone      string

	// OnOpen is told of each stream's start; it may be nil.
	OnOpen func(wire.Open)

	known  []wire.Entry
	keptTo clock.Milli
}

// New returns a client that learns addresses from the seeds. It is used by one
// goroutine.
func New(seeds []string, workspace, token, zone string) *Client {
	return &Client{svc: platf.Service("entry"), seeds: seeds, workspace: workspace, token: token, zone: zone}
}

// Entries asks which addresses to use, best first, and keeps the answer for as
// long as it says.
func (cli *Client) Entries(ctx context.Context, service string) (wire.Entries, error) {
	var errAll error
	for _, addr := range cli.askWhom() {
		ent, err := cli.ask(ctx, addr, service)
		if err == nil && len(ent.Entries) > 0 {
			cli.known, cli.keptTo = ent.Entries, cli.clk.Now()+ent.KeepMs
			return ent, nil
		}
		if err == nil {
			err = fmt.Errorf("%s names no address", addr)
		}
		errAll = errors.Join(errAll, err)
	}
	return wire.Entries{}, errAll
}

func (cli *Client) askWhom() []string {
	addrs := make([]string, 0, len(cli.known)+len(cli.seeds))
	for _, ent := range cli.known {
		addrs = append(addrs, ent.Addr)
	}
	return append(addrs, cli.seeds...)
}

func (cli *Client) ask(ctx context.Context, addr, service string) (wire.Entries, error) {
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

// Call sends a request and gives its answer. take is told each token of a
// stream, once and in order; it may be nil.
func (cli *Client) Call(ctx context.Context, service string, sub wire.Submit, take func(wire.Token)) wire.Answer {
	last := lost(outcm.NotRun, outcm.NoEndpoint, "no instance could be reached")
	str := &streamed{take: take, opened: cli.OnOpen}
	for range maxTries {
		addr, err := cli.next(ctx, service)
		if err != nil {
			if last.Outcome == outcm.NotRun.String() {
				last.Detail = err.Error()
			}
			return last
		}
		ans, again := cli.once(ctx, addr, service, str.fill(sub), str)
		if !again || ctx.Err() != nil {
			return ans
		}
		last = ans
		// Whatever became of this attempt, the key has now been sent.
		sub.First = false
	}
	return last
}

// Ticket gives a key that is bound to the best instance, and its address: for a
// non-idempotent request in an outage of the log. Keep both before sending; the
// request and its repeats go to that address by CallAt.
func (cli *Client) Ticket(ctx context.Context, service string) (key, addr string, err error) {
	ent, err := cli.Entries(ctx, service)
	if err != nil {
		return "", "", err
	}
	best := ent.Entries[0]
	return claim.TicketKey(best.Boot), best.Addr, nil
}

// CallAt sends a request once to one address, whatever becomes of it.
func (cli *Client) CallAt(ctx context.Context, addr, service string, sub wire.Submit, take func(wire.Token)) wire.Answer {
	ans, _ := cli.once(ctx, addr, service, sub, &streamed{take: take, opened: cli.OnOpen})
	return ans
}

// next gives the best address that has not failed, asking again when the kept
// answer has run out.
func (cli *Client) next(ctx context.Context, service string) (string, error) {
	if len(cli.known) == 0 || cli.clk.Now() >= cli.keptTo {
		if _, err := cli.Entries(ctx, service); err != nil {
			return "", err
		}
	}
	return cli.known[0].Addr, nil
}

// forget drops an address that failed.
func (cli *Client) forget(addr string) {
	var rest []wire.Entry
	for _, ent := range cli.known {
		if ent.Addr != addr {
			rest = append(rest, ent)
		}
	}
	cli.known = rest
}

// once sends the request to one address and tells whether another may be tried.
func (cli *Client) once(ctx context.Context, addr, service string, sub wire.Submit, str *streamed) (wire.Answer, bool) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	text, err := json.Marshal(sub)
	if err != nil {
		return lost(outcm.NotRun, outcm.BadRequest, err.Error()), false
	}
	path := "http://" + addr + "/v1/services/" + url.PathEscape(service) + "/requests"
	req, err := http.NewRequestWithContext(traced, http.MethodPost, path, bytes.NewReader(text))
	if err != nil {
		return lost(outcm.NotRun, outcm.BadRequest, err.Error()), false
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
			return lost(outcm.NotRun, outcm.NoEndpoint, err.Error()), true
		}
		return lost(outcm.Unknown, outcm.ConnectionCut, err.Error()), sub.Key != "" || str.canResume()
	}
	defer func() { _ = res.Body.Close() }()
	return cli.read(addr, res, sub, str)
}

func (cli *Client) read(addr string, res *http.Response, sub wire.Submit, str *streamed) (wire.Answer, bool) {
	if res.Header.Get("Content-Type") == "text/event-stream" {
		ans, whole := str.read(res.Body)
		if !whole {
			cli.forget(addr)
			return lost(outcm.Failed, outcm.StreamCut, "the stream was cut"), str.canResume()
		}
		return ans, false
	}
	var ans wire.Answer
	if err := json.NewDecoder(res.Body).Decode(&ans); err != nil {
		cli.forget(addr)
		return lost(outcm.Unknown, outcm.ConnectionCut, err.Error()), sub.Key != ""
	}
	elsewhere := ans.Reason == outcm.Stopping.String() || ans.Reason == outcm.StaleView.String()
	if elsewhere {
		cli.forget(addr)
	}
	return ans, elsewhere
}

func lost(oc outcm.Outcome, rs outcm.Reason, detail string) wire.Answer {
	return wire.Answer{Outcome: oc.String(), Reason: rs.String(), Detail: detail}
}

// streamed is what a caller has of a stream, over all its connections.
type streamed struct {
	take   func(wire.Token)
	opened func(wire.Open)
	have   []string
	resume string
}

func (str *streamed) canResume() bool { return str.resume != "" }

// fill adds what is needed to take the stream up.
func (str *streamed) fill(sub wire.Submit) wire.Submit {
	if str.canResume() {
		sub.Resume = &wire.Resume{Token: str.resume, Have: str.have}
	}
	return sub
}

// read reads one connection's events. The stream is whole only if its closing
// event came and its count is that of the texts had.
func (str *streamed) read(body interface{ Read([]byte) (int, error) }) (wire.Answer, bool) {
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
				if str.opened != nil {
					str.opened(opn)
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

// add takes the next token; one had before is skipped, a gap ends the reading.
func (str *streamed) add(tok wire.Token) bool {
	if tok.Index < len(str.have) {
		return true
	}
	if tok.Index > len(str.have) {
		return false
	}
	str.have = append(str.have, tok.Text)
	if str.take != nil {
		str.take(tok)
	}
	return true
}

// Wait pauses for a refusal's time to come back.
func Wait(ctx context.Context, ans wire.Answer) {
	select {
	case <-ctx.Done():
	case <-time.After(ans.RetryAfterMs.Duration()):
	}
}
