package front

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/relay"
	"amaranthvalve/internal/serve"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/pkg/reach"
)

// Setup holds the dependencies and settings of a [Front].
type Setup struct {
	Control     *state.Control
	Dialect     *proto.Dialect
	Relay       *relay.Relay
	Pools       *pools.Pools
	Coordinator *coord.Coordinator
	// CheckProcess finds out whether the process at an endpoint's address has ended.
	CheckProcess func(ctx context.Context, addr string) reach.Process
	Clock        clock.Clock
	Meter        *meter.Meter
	Log          zerolog.Logger
	// RankAdmission turns on admission by rank where routes of different priorities share stage pools.
	RankAdmission bool
	// TokenMaxViewAge is the maximum age of a view whose tokens are accepted.
	TokenMaxViewAge clock.Milli
	// AnswerBudget bounds the bytes that all answers in progress hold together; nil for no bound.
	AnswerBudget *bounds.Budget
	// HedgeShare is the extra work that hedged requests may cause, as a share of the requests; zero for none.
	HedgeShare float64
}

// Front serves callers' requests. It is created by [New].
type Front struct {
	set      Setup
	pools    *pools.Pools
	coord    *coord.Coordinator
	head     chain.Next[*call]
	inFlight atomic.Int64
	// stopEnd is the time at which a planned shutdown ends, zero if there is none.
	stopEnd atomic.Int64
	// firstByteTimes has the measured times from a final call to its first byte.
	firstByteTimes routeTimes
	// hedges has what hedges depend on, by route and pool.
	hedges hedges
	// service has the recent admissions of ranked routes.
	service service
}

// New returns a front with its filters linked in order.
func New(set Setup) *Front {
	fr := &Front{set: set, pools: set.Pools, coord: set.Coordinator}
	fr.head = chain.Link(fr.final, fr.match, fr.drain, fr.identify, fr.resume, fr.target, fr.quarantine, fr.admit, fr.stages)
	return fr
}

// InFlight returns the number of requests in flight.
func (fr *Front) InFlight() int64 { return fr.inFlight.Load() }

// call is the state of one request as it passes the filters.
type call struct {
	view    *state.View
	ask     proto.RequestMeta
	req     relay.Request
	http    *http.Request
	route   *plan.Route
	pool    *plan.Pool
	wsp     string
	arrived clock.Milli
	// due is the time up to which a response meets the target latency; deadline is when the
	// caller's or the route's timeout ends.
	due      clock.Milli
	deadline clock.Milli
	rank     int
	// ranked is set if the route shares stage pools with routes of other priorities. stageRank is the rank at
	// which its stages are admitted and queued: the most urgent one if the request is starved by its
	// route, its workspace or its size.
	ranked    bool
	stageRank int
	starved   admit.Class
	// sinceFirst is the time since the caller first sent this request.
	sinceFirst clock.Milli
	// bound is set once events of the stream have been sent to the caller, by this attempt or by an earlier
	// one: the stream may go on only at this build of this pool.
	bound binding
	// engine is the model engine that the request will probably be placed at.
	engine place.Engine
	inputs []string
	// mtx guards results: a timer may release them while the final call runs.
	mtx     sync.Mutex
	results []stageResults
	out     *output
	// fprintOnce guards fprint, the request's fingerprint. It is computed on first use: hashing a
	// long body takes a while, and most requests need none.
	fprintOnce sync.Once
	fprint     poison.Fingerprint
	// partsOnce guards partPrints, the fingerprints of the shared parts of the prompt.
	partsOnce  sync.Once
	partPrints []poison.Fingerprint
	// trial is set when the request is admitted after its quarantine, for what trialOf names; it gets a single
	// attempt.
	trial   bool
	trialOf state.Trial
	// Fields of the log line at the end of the request.
	attempts   int
	recomputes int
	recomputed []int
	endpoint   string
	// check is the last check before the last attempt was sent, nil for none.
	check *check
	// pace is what the endpoint of the last attempt reported of its pace, zero for nothing.
	pace       int
	stagesTook clock.Milli
	firstByte  clock.Milli
	// headAt is when the answer to the last attempt began, zero if it has not.
	headAt   clock.Milli
	maxPause clock.Milli
	viewAge  clock.Milli
}

// ServeHTTP serves one request.
func (fr *Front) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	cl := &call{http: req, arrived: fr.set.Clock.Now()}
	cl.view = fr.set.Control.WaitServable(req.Context())
	cl.viewAge = cl.view.Age(cl.arrived)
	cl.out = newOutput(fr, wrt, req)
	fr.set.Control.SetLoad(fr.inFlight.Add(1))
	defer func() { fr.set.Control.SetLoad(fr.inFlight.Add(-1)) }()
	ctx := req.Context()
	res := fr.head(ctx, cl)
	fr.releaseResults(cl, allStages)
	if ctx.Err() != nil && res.Outcome() != outcm.Done {
		res = canceledResult(ctx, res)
	}
	fr.finish(cl, res)
}

// canceledResult returns the result of a request whose context was canceled: its caller
// disconnected, or a planned shutdown ran out of time. A caller that is still connected is asked to
// use another address.
func canceledResult(ctx context.Context, res outcm.Result) outcm.Result {
	switch {
	case !errors.Is(context.Cause(ctx), serve.ErrAborted):
		return outcm.New(res.Outcome(), outcm.CallerGone, "the caller disconnected")
	case res.IsRefusal():
		return outcm.Refuse(outcm.Stopping, minRetryAfter, "this instance has stopped; use another address")
	}
	return outcm.New(res.Outcome(), outcm.Stopping, "this instance has stopped; the request may have run")
}

// finish records and logs the end of a request, and writes the response if the request failed.
func (fr *Front) finish(cl *call, res outcm.Result) {
	took := fr.set.Clock.Since(cl.arrived)
	name := ""
	if cl.route != nil {
		name = cl.route.Name()
	}
	fr.set.Meter.CountRequest(name, res, took)
	evt := cl.check.log(fr.set.Log.Info())
	evt.Str("request", cl.ask.ID).Str("route", name).Str("workspace", cl.wsp).Int("rank", cl.rank).Str("outcome", res.Outcome().String()).
		Str("reason", res.Reason().String()).Str("detail", res.Detail()).Int64("took_ms", int64(took)).
		Int64("spent_ms", int64(cl.sinceFirst)).Int64("staged_ms", int64(cl.stagesTook)).Int64("first_ms", int64(cl.firstByte)).Int64("pause_ms", int64(cl.maxPause)).Int("tokens", cl.tokens()).Int("attempts", cl.attempts).Str("endpoint", cl.endpoint).Int("reported_pace_pct", cl.pace).
		Int64("offset", cl.view.Offset()).Int64("view_age_ms", int64(cl.viewAge)).Msg("request ended")
	if res.Outcome() != outcm.Done {
		cl.out.writeFailure(res)
		return
	}
	cl.out.finish()
}

// tokens returns the length of the request's prompt, zero for plain calls.
func (cl *call) tokens() int {
	if cl.ask.Prompt == nil {
		return 0
	}
	return cl.ask.Prompt.InTokens
}
