package entry

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"amaranthvalve/internal/filter"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

// eventTimeout is the time-out for writing one stream event. A caller that stops
// reading would otherwise occupy a slot at an engine until its deadline.
const eventTimeout = 10 * time.Second

func (nod *Node) callerRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/entries", Handler: nod.entries},
		{Method: http.MethodPost, Path: "/v1/services/:service/requests", Handler: nod.submit},
	}
}

// entries lists the addresses of instances that accept requests. An instance
// that is not ready answers 503 without a list, since it may be partitioned
// from the others.
func (nod *Node) entries(wrt http.ResponseWriter, req *http.Request) {
	if ready, why := nod.ctl.View().Ready(nod.clk.Now()); !ready {
		wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: why})
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	list := nod.ctl.Entries(req.URL.Query().Get("zone"), rng)
	wire.WriteJSON(wrt, http.StatusOK, wire.Entries{Entries: list, TTLMs: nod.set.EntryTTL()})
}

// submit runs a caller's request through the filter chain.
func (nod *Node) submit(wrt http.ResponseWriter, req *http.Request) {
	cl := &filter.Call{
		Service:   pathvar.Vars(req)["service"],
		Workspace: req.Header.Get(wire.HeaderWorkspace),
		Token:     strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer "),
	}
	if err := wire.ReadJSON(req.Body, filter.MaxBody, &cl.Submit); err != nil {
		res := outcm.New(outcm.NotRun, outcm.BadRequest, err.Error())
		nod.mtr.CountRequest("", res, 0)
		nod.writeAnswer(wrt, cl, res)
		return
	}
	out := &output{wrt: wrt, ctl: http.NewResponseController(wrt)}
	if cl.Submit.Stream {
		cl.OnOpen = func(resume string) { out.open(wire.Open{RequestID: cl.RequestID(), Resume: resume}) }
		cl.OnToken = out.token
	}
	res := nod.chn.Serve(req.Context(), cl)
	nod.logRefusal(cl, res)
	if out.started {
		out.end(nod.answer(cl, res))
		return
	}
	nod.writeAnswer(wrt, cl, res)
}

// output writes an event stream to a caller. The status line is sent with the
// first event, so that a request refused before has a status of its own.
type output struct {
	wrt     http.ResponseWriter
	ctl     *http.ResponseController
	started bool
}

func (out *output) open(val wire.Open) {
	if !out.started {
		out.started = true
		out.wrt.Header().Set("Content-Type", "text/event-stream")
		out.wrt.WriteHeader(http.StatusOK)
	}
	_ = out.event(wire.EventOpen, val)
}

func (out *output) token(tok wire.Token) error {
	tok.Attempt = ""
	if !out.started {
		out.open(wire.Open{})
	}
	return out.event(wire.EventToken, tok)
}

func (out *output) end(ans wire.Answer) {
	ans.Output = ""
	_ = out.event(wire.EventEnd, ans)
}

func (out *output) event(name string, val any) error {
	_ = out.ctl.SetWriteDeadline(time.Now().Add(eventTimeout))
	return wire.WriteEvent(out.wrt, name, val)
}

func (nod *Node) answer(cl *filter.Call, res outcm.Result) wire.Answer {
	return wire.Answer{
		Outcome: res.Outcome().String(), Reason: res.Reason().String(), Detail: res.Detail(),
		RetryAfterMs: res.RetryAfter(), RequestID: cl.RequestID(), Output: cl.Output(), Count: cl.Count(),
		Stages: cl.Times(), Instance: string(nod.ctl.Self()),
	}
}

func (nod *Node) writeAnswer(wrt http.ResponseWriter, cl *filter.Call, res outcm.Result) {
	wrt.Header().Set(wire.HeaderOutcome, res.Outcome().String())
	wrt.Header().Set(wire.HeaderReason, res.Reason().String())
	if after := res.RetryAfter(); after > 0 {
		seconds := (after + clock.Second - 1) / clock.Second
		wrt.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	wire.WriteJSON(wrt, res.Status(), nod.answer(cl, res))
}

// logRefusal logs requests that were not done, without inputs, answers and keys.
func (nod *Node) logRefusal(cl *filter.Call, res outcm.Result) {
	if res.Outcome() == outcm.Done {
		return
	}
	name := cl.RequestID()
	if cl.Submit.Key != "" {
		// The request ID contains the key.
		name = ""
	}
	nod.limitedWarn(res.Reason()).Str("request", name).Str("service", cl.DocName()).Str("workspace", cl.Workspace).
		Str("outcome", res.Outcome().String()).Str("reason", res.Reason().String()).Str("detail", res.Detail()).Msg("request not completed")
}
