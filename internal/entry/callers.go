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

// eventWait bounds the write of one event of a stream: a caller that reads no
// more would otherwise hold a place at an engine until its deadline.
const eventWait = 10 * time.Second

func (nod *Node) callerRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/entries", Handler: nod.entries},
		{Method: http.MethodPost, Path: "/v1/services/:service/requests", Handler: nod.submit},
	}
}

// entries answers "which address". An instance that is not ready answers 503
// and names nobody: it may be the one that is cut off.
func (nod *Node) entries(wrt http.ResponseWriter, req *http.Request) {
	if ready, why := nod.ctl.View().Ready(nod.clk.Now()); !ready {
		wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: why})
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	list := nod.ctl.Entries(req.URL.Query().Get("zone"), rng)
	wire.WriteJSON(wrt, http.StatusOK, wire.Entries{Entries: list, KeepMs: nod.set.EntryTTL()})
}

// submit takes a caller's request through the chain.
func (nod *Node) submit(wrt http.ResponseWriter, req *http.Request) {
	cl := &filter.Call{
		Service:   pathvar.Vars(req)["service"],
		Workspace: req.Header.Get(wire.HeaderWorkspace),
		Token:     strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer "),
	}
	if err := wire.ReadJSON(req.Body, filter.MaxBody, &cl.Submit); err != nil {
		res := outcm.New(outcm.NotRun, outcm.BadRequest, err.Error())
		nod.mtr.CountRequest("", res, 0)
		nod.write(wrt, cl, res)
		return
	}
	out := &output{wrt: wrt, ctl: http.NewResponseController(wrt)}
	if cl.Submit.Stream {
		cl.Opened = func(resume string) { out.open(wire.Open{RequestID: cl.RequestID(), Resume: resume}) }
		cl.Take = out.token
	}
	res := nod.chn.Serve(req.Context(), cl)
	nod.logAnswer(cl, res)
	if out.begun {
		out.end(nod.answer(cl, res))
		return
	}
	nod.write(wrt, cl, res)
}

// output writes a stream to a caller. Its status line goes out with the first
// event, so that what is refused before has a status of its own.
type output struct {
	wrt   http.ResponseWriter
	ctl   *http.ResponseController
	begun bool
}

func (out *output) open(val wire.Open) {
	if !out.begun {
		out.begun = true
		out.wrt.Header().Set("Content-Type", "text/event-stream")
		out.wrt.WriteHeader(http.StatusOK)
	}
	_ = out.event(wire.EventOpen, val)
}

func (out *output) token(tok wire.Token) error {
	tok.Attempt = ""
	if !out.begun {
		out.open(wire.Open{})
	}
	return out.event(wire.EventToken, tok)
}

func (out *output) end(ans wire.Answer) {
	ans.Output = ""
	_ = out.event(wire.EventEnd, ans)
}

func (out *output) event(name string, val any) error {
	_ = out.ctl.SetWriteDeadline(time.Now().Add(eventWait))
	return wire.WriteEvent(out.wrt, name, val)
}

func (nod *Node) answer(cl *filter.Call, res outcm.Result) wire.Answer {
	return wire.Answer{
		Outcome: res.Outcome().String(), Reason: res.Reason().String(), Detail: res.Detail(),
		RetryAfterMs: res.RetryAfter(), RequestID: cl.RequestID(), Output: cl.Output(), Count: cl.Count(),
		Stages: cl.Times(), Instance: string(nod.ctl.Self()),
	}
}

func (nod *Node) write(wrt http.ResponseWriter, cl *filter.Call, res outcm.Result) {
	wrt.Header().Set(wire.HeaderOutcome, res.Outcome().String())
	wrt.Header().Set(wire.HeaderReason, res.Reason().String())
	if after := res.RetryAfter(); after > 0 {
		seconds := (after + clock.Second - 1) / clock.Second
		wrt.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	wire.WriteJSON(wrt, res.Status(), nod.answer(cl, res))
}

// logAnswer writes a line for what was not answered whole; inputs, answers and
// keys are not logged.
func (nod *Node) logAnswer(cl *filter.Call, res outcm.Result) {
	if res.Outcome() == outcm.Done {
		return
	}
	name := cl.RequestID()
	if cl.Submit.Key != "" {
		// The name holds the key.
		name = ""
	}
	nod.quiet(res.Reason()).Str("request", name).Str("service", cl.DocName()).Str("workspace", cl.Workspace).
		Str("outcome", res.Outcome().String()).Str("reason", res.Reason().String()).Str("detail", res.Detail()).Msg("not answered whole")
}
