package plan

import (
	"math"
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of a route. It determines how its requests may be retried.
type Kind int

// Kinds of routes.
const (
	Idempotent    Kind = iota // idempotent
	NonIdempotent             // non_idempotent
	Streaming                 // streaming
)

// Plan is one version of the active configuration. The zero value matches no request.
type Plan struct {
	version int64
	hosts   map[string][]*Route
	routes  []*Route
	pools   map[string]*Pool
	tokens  map[string]*Workspace
	// authenticated is set if the document names workspaces, also without tokens.
	authenticated bool
	limits        Limits
	// urgencies are the distinct urgencies of requests, the most urgent first.
	urgencies []urgency
	// ranked are the routes that share a stage pool with a route of another priority.
	ranked map[*Route]bool
}

// Version returns the version number in the document, for logs.
func (pln *Plan) Version() int64 { return pln.version }

// Limits returns the limits on requests from callers.
func (pln *Plan) Limits() Limits { return pln.limits }

// Routes returns all routes in the order of the document.
func (pln *Plan) Routes() []*Route { return pln.routes }

// Match returns the route of a host with the longest prefix that matches a path.
func (pln *Plan) Match(host, path string) (*Route, bool) {
	for _, rte := range pln.hosts[host] {
		if strings.HasPrefix(path, rte.draft.Prefix) {
			return rte, true
		}
	}
	return nil, false
}

// Pool returns a pool by its name.
func (pln *Plan) Pool(name string) (*Pool, bool) {
	pol, ok := pln.pools[name]
	return pol, ok
}

// Pools returns all pools by name.
func (pln *Plan) Pools() map[string]*Pool { return pln.pools }

// RequiresToken reports whether callers must authenticate their workspace with a token. It does not depend
// on whether there are any: the last one may have been revoked.
func (pln *Plan) RequiresToken() bool { return pln.authenticated }

// Workspace returns the workspace that a token belongs to.
func (pln *Plan) Workspace(token string) (*Workspace, bool) {
	wsp, ok := pln.tokens[token]
	return wsp, ok
}

// Limits bound the requests and connections of callers.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request; zero if the document
	// sets no bound.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime bounds the time to receive a header, IdleTime the time that a
	// connection may be idle.
	HeaderTime clock.Milli
	IdleTime   clock.Milli
}

// Workspace is a workspace that may send requests.
type Workspace struct {
	name        string
	priority    int
	hasPriority bool
}

// Name returns the name of the workspace.
func (wsp *Workspace) Name() string { return wsp.name }

// Route describes the requests of one host and path prefix: their target pools, stages
// and deadlines, and how they may be retried.
type Route struct {
	draft DraftRoute
	kind  Kind
	graph graph.Graph
}

// Name returns the name of the route.
func (rte *Route) Name() string { return rte.draft.Name }

// Kind returns the kind of the route.
func (rte *Route) Kind() Kind { return rte.kind }

// Repeatable reports whether a request may run a second time: idempotent requests and
// streams that resume where the previous attempt broke off.
func (rte *Route) Repeatable() bool {
	return rte.kind == Idempotent || rte.Resumable()
}

// Resumable reports whether a broken stream may be resumed at another endpoint.
func (rte *Route) Resumable() bool { return rte.kind == Streaming && rte.draft.Resumable }

// Streams reports whether responses are event streams.
func (rte *Route) Streams() bool { return rte.kind == Streaming }

// Open reports whether the route needs no token.
func (rte *Route) Open() bool { return rte.draft.Open }

// Timeout returns the maximum response time, zero for no bound.
func (rte *Route) Timeout() clock.Milli { return rte.draft.Timeout }

// TargetLatency returns the target latency: later answers are worth less to the caller.
func (rte *Route) TargetLatency() clock.Milli { return rte.draft.TargetLatency }

// MaxEventGap returns the maximum gap between two events of a stream that is on time.
func (rte *Route) MaxEventGap() clock.Milli { return rte.draft.MaxEventGap }

// Attempts returns the maximum number of endpoints tried for a request, at least 1.
func (rte *Route) Attempts() int { return max(rte.draft.Attempts, 1) }

// Stages returns the stages before the final call.
func (rte *Route) Stages() []DraftStage { return rte.draft.Stages }

// Graph returns the dependencies between the stages.
func (rte *Route) Graph() graph.Graph { return rte.graph }

// Targets returns the pools for the final call with their weights.
func (rte *Route) Targets() []DraftTarget { return rte.draft.Targets }

// Target selects the pool for the final call by weight; u is uniform in [0, 1).
func (rte *Route) Target(u float64) string {
	sum := 0.0
	for _, tgt := range rte.draft.Targets {
		sum += tgt.Weight
	}
	u *= sum
	for _, tgt := range rte.draft.Targets {
		if u -= tgt.Weight; u < 0 {
			return tgt.Pool
		}
	}
	return rte.draft.Targets[len(rte.draft.Targets)-1].Pool
}

// HasCold reports whether endpoints of any pool may be cold.
func (pln *Plan) HasCold() bool {
	for _, pol := range pln.pools {
		if _, _, ok := pol.Cold(); ok {
			return true
		}
	}
	return false
}

// Pool is a set of endpoints that do the same work.
type Pool struct {
	draft DraftPool
}

// Name returns the name of the pool.
func (pol *Pool) Name() string { return pol.draft.Name }

// Batch returns the batch settings of the pool; nil if its endpoints don't process
// stage items.
func (pol *Pool) Batch() *DraftBatch { return pol.draft.Batch }

// Engine returns the capabilities of the pool's model engines; nil for plain services.
func (pol *Pool) Engine() *DraftEngine { return pol.draft.Engine }

// maxColdTime bounds the time for which an endpoint is cold.
const maxColdTime = 10 * clock.Minute

// Cold returns how long an endpoint is cold after its start, and the rate that it tolerates
// meanwhile, in requests per second from all instances together; false if endpoints are never cold.
func (pol *Pool) Cold() (span clock.Milli, perSecond float64, ok bool) {
	if pol.draft.ColdStartS == 0 || pol.draft.ColdPerS == 0 {
		return 0, 0, false
	}
	return clock.Milli(math.Ceil(min(pol.draft.ColdStartS*float64(clock.Second), float64(maxColdTime)))), pol.draft.ColdPerS, true
}
