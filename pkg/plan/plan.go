package plan

import (
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind tells what may be done with a route's requests.
type Kind int

// The kinds of route.
const (
	Idempotent    Kind = iota // idempotent
	NonIdempotent             // non_idempotent
	Streaming                 // streaming
)

// Plan is one version of what is in force. The zero value matches nothing.
type Plan struct {
	version int64
	hosts   map[string][]*Route
	routes  []*Route
	pools   map[string]*Pool
	tokens  map[string]*Workspace
	limits  Limits
	// urgencies are those that requests can have, the most urgent first.
	urgencies []urgency
}

// Version gives the document's own number, for logs.
func (pln *Plan) Version() int64 { return pln.version }

// Limits gives what callers may send.
func (pln *Plan) Limits() Limits { return pln.limits }

// Routes gives all routes in the document's order.
func (pln *Plan) Routes() []*Route { return pln.routes }

// Match finds the route with the longest prefix of a path among a host's.
func (pln *Plan) Match(host, path string) (*Route, bool) {
	for _, rte := range pln.hosts[host] {
		if strings.HasPrefix(path, rte.raw.Prefix) {
			return rte, true
		}
	}
	return nil, false
}

// Pool finds a pool by name.
func (pln *Plan) Pool(name string) (*Pool, bool) {
	pol, ok := pln.pools[name]
	return pol, ok
}

// Pools gives all pools by name.
func (pln *Plan) Pools() map[string]*Pool { return pln.pools }

// Named tells whether callers must name their workspace by a token.
func (pln *Plan) Named() bool { return len(pln.tokens) > 0 }

// Workspace finds the workspace that holds a token.
func (pln *Plan) Workspace(token string) (*Workspace, bool) {
	wsp, ok := pln.tokens[token]
	return wsp, ok
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request; zero stands for no bound of
	// the document's.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime bounds how long a header may take, IdleTime how long a
	// connection may stay idle.
	HeaderTime clock.Milli
	IdleTime   clock.Milli
}

// Workspace is a customer that may call.
type Workspace struct {
	name     string
	priority int
	ranked   bool
}

// Name gives the workspace's name.
func (wsp *Workspace) Name() string { return wsp.name }

// Route is one kind of request: where it goes and what may be done with it.
type Route struct {
	raw   DraftRoute
	kind  Kind
	graph graph.Graph
}

// Name gives the route's name.
func (rte *Route) Name() string { return rte.raw.Name }

// Kind gives the route's kind.
func (rte *Route) Kind() Kind { return rte.kind }

// Repeatable tells whether a request may run a second time: what is idempotent,
// and a stream that goes on where the one before it broke off.
func (rte *Route) Repeatable() bool {
	return rte.kind == Idempotent || rte.Resumable()
}

// Resumable tells whether a broken stream may go on at another endpoint.
func (rte *Route) Resumable() bool { return rte.kind == Streaming && rte.raw.Resumable }

// Streams tells whether answers come as events.
func (rte *Route) Streams() bool { return rte.kind == Streaming }

// Open tells whether callers need no token.
func (rte *Route) Open() bool { return rte.raw.Open }

// Timeout gives the longest time that a caller is kept waiting, zero for no
// bound.
func (rte *Route) Timeout() clock.Milli { return rte.raw.Timeout }

// Goal gives the time within which an answer is of full worth.
func (rte *Route) Goal() clock.Milli { return rte.raw.Goal }

// Gap gives the longest pause between two events of a stream that is on time.
func (rte *Route) Gap() clock.Milli { return rte.raw.Gap }

// Attempts gives how many endpoints one request may be sent to, at least 1.
func (rte *Route) Attempts() int { return max(rte.raw.Attempts, 1) }

// Stages gives the stages that come before the final call.
func (rte *Route) Stages() []DraftStage { return rte.raw.Stages }

// Graph tells which of the stages take the results of which.
func (rte *Route) Graph() graph.Graph { return rte.graph }

// Targets gives the pools that the final call may go to, with their weights.
func (rte *Route) Targets() []DraftTarget { return rte.raw.Targets }

// Target draws the pool of the final call; u is drawn evenly from 0 to 1.
func (rte *Route) Target(u float64) string {
	sum := 0.0
	for _, tgt := range rte.raw.Targets {
		sum += tgt.Weight
	}
	u *= sum
	for _, tgt := range rte.raw.Targets {
		if u -= tgt.Weight; u < 0 {
			return tgt.Pool
		}
	}
	return rte.raw.Targets[len(rte.raw.Targets)-1].Pool
}

// Pool is a set of endpoints that do the same work.
type Pool struct {
	raw DraftPool
}

// Name gives the pool's name.
func (pol *Pool) Name() string { return pol.raw.Name }

// Batch gives how the pool's endpoints take pieces of stages; nil if they take
// none.
func (pol *Pool) Batch() *DraftBatch { return pol.raw.Batch }

// Engine gives what the pool's model engines can do; nil for plain services.
func (pol *Pool) Engine() *DraftEngine { return pol.raw.Engine }
