package front

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/homes"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/relay"
	"amaranthvalve/internal/serve"
	"amaranthvalve/internal/state"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/poison"
)

// Setup is what a front is made of.
type Setup struct {
	Control *state.Control
	Dialect *talk.Dialect
	Relay   *relay.Relay
	Pools   *pools.Pools
	Homes   *homes.Homes
	Clock   clock.Clock
	Meter   *meter.Meter
	Log     zerolog.Logger
	// TokensFor is the age up to which a view's tokens are honoured.
	TokensFor clock.Milli
}

// Front serves callers. It is made by [New].
type Front struct {
	set   Setup
	pools *pools.Pools
	homes *homes.Homes
	head  chain.Next[*call]
	under atomic.Int64
	// ends is the instant of the end of a planned stop, zero for none.
	ends atomic.Int64
	// firsts has the times from a final call to its first byte.
	firsts needs
}

// New returns a front with its filters in their order.
func New(set Setup) *Front {
	fr := &Front{set: set, pools: set.Pools, homes: set.Homes}
	fr.head = chain.Link(fr.final, fr.match, fr.stay, fr.identify, fr.quarantine, fr.admit, fr.stages)
	return fr
}

// Under gives the number of requests under way.
func (fr *Front) Under() int64 { return fr.under.Load() }

// call is one request on its way through the chain.
type call struct {
	view    *state.View
	ask     talk.Ask
	req     relay.Request
	http    *http.Request
	route   *plan.Route
	pool    *plan.Pool
	wsp     string
	arrived clock.Milli
	// due is the instant up to which an answer is of full worth, until the one
	// at which the caller leaves or its operators want it answered.
	due   clock.Milli
	until clock.Milli
	rank  int
	// spent is how long ago the caller came with this request for the first time.
	spent clock.Milli
	// engine is the model engine that the request will probably go to.
	engine place.Engine
	inputs []string
	// made may be given back by a timer while the final call runs.
	mtx  sync.Mutex
	made []made
	out  *output
	// marked is the request's mark once marking is done: reading a long body takes a while,
	// and most requests need none.
	marking sync.Once
	marked  poison.Mark
	// trial tells that the request is let in after its quarantine: it is sent to one endpoint.
	trial bool
	// what the line of the end tells
	attempts int
	remakes  int
	again    []int
	endpoint string
	staged   clock.Milli
	first    clock.Milli
	pause    clock.Milli
	viewAge  clock.Milli
}

// ServeHTTP serves one request.
func (fr *Front) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	cl := &call{http: req, arrived: fr.set.Clock.Now()}
	cl.view = fr.set.Control.Whole(req.Context())
	cl.viewAge = cl.view.Age(cl.arrived)
	cl.out = newOutput(fr, wrt)
	fr.set.Control.SetLoad(fr.under.Add(1))
	defer func() { fr.set.Control.SetLoad(fr.under.Add(-1)) }()
	ctx := req.Context()
	res := fr.head(ctx, cl)
	fr.giveBack(cl, allStages)
	if ctx.Err() != nil && res.Outcome() != outcm.Done {
		res = interrupted(ctx, res)
	}
	fr.finish(cl, res)
}

// interrupted gives the result of a request whose context ended: its caller left, or a
// planned stop has no time left. A caller that is still there is told to go elsewhere.
func interrupted(ctx context.Context, res outcm.Result) outcm.Result {
	switch {
	case !errors.Is(context.Cause(ctx), serve.ErrGivenUp):
		return outcm.New(res.Outcome(), outcm.CallerGone, "the caller left")
	case res.IsRefusal():
		return outcm.Refuse(outcm.Stopping, soonest, "this instance has stopped; use another address")
	}
	return outcm.New(res.Outcome(), outcm.Stopping, "this instance has stopped; it may have run")
}

// finish writes the answer of what was not answered, counts and logs.
func (fr *Front) finish(cl *call, res outcm.Result) {
	took := fr.set.Clock.Since(cl.arrived)
	name := ""
	if cl.route != nil {
		name = cl.route.Name()
	}
	fr.set.Meter.Answered(name, res, took)
	evt := fr.set.Log.Info()
	evt.Str("request", cl.ask.ID).Str("route", name).Str("workspace", cl.wsp).Int("rank", cl.rank).Str("outcome", res.Outcome().String()).
		Str("reason", res.Reason().String()).Str("detail", res.Detail()).Int64("took_ms", int64(took)).
		Int64("spent_ms", int64(cl.spent)).Int64("staged_ms", int64(cl.staged)).Int64("first_ms", int64(cl.first)).Int64("pause_ms", int64(cl.pause)).Int("tokens", cl.tokens()).Int("attempts", cl.attempts).Str("endpoint", cl.endpoint).
		Int64("offset", cl.view.Offset()).Int64("view_age_ms", int64(cl.viewAge)).Msg("request ended")
	if res.Outcome() != outcm.Done {
		cl.out.fail(res)
	}
}

// tokens gives the length of the request's prompt, zero for plain calls.
func (cl *call) tokens() int {
	if cl.ask.Prompt == nil {
		return 0
	}
	return cl.ask.Prompt.In
}
