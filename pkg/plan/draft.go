package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

// Error is the class of the errors in a draft.
var Error = errs.Class("plan")

// Draft is a decoded document before validation.
type Draft struct {
	Version    int64
	Routes     []DraftRoute
	Pools      []DraftPool
	Workspaces []DraftWorkspace
	// Authenticated is set if the document names workspaces, though it may name none now: callers need a token
	// then, and nobody has one.
	Authenticated bool
	Limits        Limits
}

// DraftRoute is a route of a draft.
type DraftRoute struct {
	Name   string
	Host   string
	Prefix string
	// Kind is the name of a [Kind].
	Kind    string
	Timeout clock.Milli
	// TargetLatency is the target latency, MaxEventGap the maximum gap between events of a stream.
	TargetLatency clock.Milli
	MaxEventGap   clock.Milli
	Priority      int
	Attempts      int
	Targets       []DraftTarget
	Stages        []DraftStage
	Open          bool
	Resumable     bool
}

// DraftTarget is a pool that gets a weighted share of a route's requests.
type DraftTarget struct {
	Pool   string
	Weight float64
}

// DraftStage is a processing stage before the final call.
type DraftStage struct {
	Pool string
	// After lists the indices of the stages whose results are inputs of this one; they
	// precede it.
	After []int
	// Bytes is the approximate size of one result.
	Bytes int64
}

// DraftPool is a pool of a draft.
type DraftPool struct {
	Name   string
	Batch  *DraftBatch
	Engine *DraftEngine
	// ColdStartS is how long an endpoint is cold after its start, in seconds, and ColdPerS the rate
	// of requests that it tolerates meanwhile, in requests per second from all instances together.
	// If either is zero, endpoints of the pool are never cold.
	ColdStartS float64
	ColdPerS   float64
}

// DraftBatch describes how an endpoint of a pool processes batches of stage items.
type DraftBatch struct {
	// Slots is the number of batches processed concurrently, Queue that of batches
	// that may be queued.
	Slots int
	Queue int
	// MaxItems is the maximum number of items in a batch.
	MaxItems int
	// BatchMs is the fixed time of a batch, ItemMs the additional time of each item, in
	// milliseconds.
	BatchMs float64
	ItemMs  float64
	// ResultBytes is the capacity of an endpoint for results, in bytes.
	ResultBytes int64
	// ResultTTL is how long an endpoint stores a result that is not released.
	ResultTTL clock.Milli
	// LinkMbps is the bandwidth for fetching results in Mbit/s; zero if unknown.
	LinkMbps float64
}

// DraftEngine describes the capabilities of a model engine.
type DraftEngine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// Memory is the capacity in tokens shared by running requests and cached prompts.
	Memory int
	// Fetches is set if an engine can fetch cached parts of prompts from others.
	Fetches bool
}

// DraftWorkspace is a workspace of a draft.
type DraftWorkspace struct {
	Name     string
	Tokens   []string
	Priority *int
}

// Compile validates a draft and returns the plan and all errors. Invalid parts are left
// out; the plan is nil if the draft has routes and none of them is valid.
func Compile(drf Draft) (*Plan, []error) {
	pln := &Plan{
		version: drf.Version, limits: drf.Limits, hosts: map[string][]*Route{},
		pools: map[string]*Pool{}, tokens: map[string]*Workspace{}, authenticated: drf.Authenticated || len(drf.Workspaces) > 0,
	}
	var fts []error
	for i, pol := range drf.Pools {
		if err := checkPool(pol); err != nil {
			fts = append(fts, Error.New("services[%d] %q: %v", i, pol.Name, err))
			continue
		}
		if err := checkCold(pol); err != nil {
			fts = append(fts, Error.New("services[%d] %q: %v", i, pol.Name, err))
			pol.ColdStartS, pol.ColdPerS = 0, 0
		}
		pln.pools[pol.Name] = &Pool{draft: pol}
	}
	for i, raw := range drf.Routes {
		rte, err := pln.compileRoute(raw)
		if err != nil {
			fts = append(fts, Error.New("routes[%d] %q: %v", i, raw.Name, err))
			continue
		}
		pln.routes = append(pln.routes, rte)
		pln.hosts[raw.Host] = append(pln.hosts[raw.Host], rte)
	}
	for _, list := range pln.hosts {
		slices.SortStableFunc(list, func(x, y *Route) int { return len(y.draft.Prefix) - len(x.draft.Prefix) })
	}
	fts = append(fts, pln.addWorkspaces(drf.Workspaces)...)
	pln.collectUrgencies()
	pln.collectRanked()
	if len(pln.routes) == 0 && len(drf.Routes) > 0 {
		return nil, fts
	}
	return pln, fts
}

// addWorkspaces adds the workspaces by token and returns the errors.
func (pln *Plan) addWorkspaces(list []DraftWorkspace) []error {
	var fts []error
	for i, raw := range list {
		if raw.Name == "" {
			fts = append(fts, Error.New("workspaces[%d]: name is missing", i))
			continue
		}
		wsp := &Workspace{name: raw.Name}
		if raw.Priority != nil {
			wsp.priority, wsp.hasPriority = *raw.Priority, true
		}
		for _, tkn := range raw.Tokens {
			if tkn == "" {
				fts = append(fts, Error.New("workspaces[%d] %q: a token is empty", i, raw.Name))
				continue
			}
			if other, ok := pln.tokens[tkn]; ok && other.name != raw.Name {
				fts = append(fts, Error.New("workspaces[%d] %q: token already belongs to workspace %q", i, raw.Name, other.name))
				continue
			}
			pln.tokens[tkn] = wsp
		}
	}
	return fts
}

func checkPool(pol DraftPool) error {
	switch {
	case pol.Name == "":
		return fmt.Errorf("name is missing")
	case pol.Batch != nil && (pol.Batch.MaxItems < 1 || pol.Batch.Slots < 1):
		return fmt.Errorf("batch size %d and slots %d must be at least 1", pol.Batch.MaxItems, pol.Batch.Slots)
	case pol.Batch != nil && (pol.Batch.BatchMs < 0 || pol.Batch.ItemMs < 0 || pol.Batch.ResultBytes < 0):
		return fmt.Errorf("time per batch %g ms, time per item %g ms and result capacity %d bytes must not be below 0", pol.Batch.BatchMs, pol.Batch.ItemMs, pol.Batch.ResultBytes)
	}
	return nil
}

// checkCold validates how long endpoints are cold, and the rate meanwhile.
func checkCold(pol DraftPool) error {
	for _, fld := range []struct {
		name  string
		value float64
	}{{"cold time", pol.ColdStartS}, {"cold rate", pol.ColdPerS}} {
		if !(fld.value >= 0) || math.IsInf(fld.value, 1) {
			return fmt.Errorf("%s %g must be a finite number from 0", fld.name, fld.value)
		}
	}
	return nil
}

// compileRoute validates a route.
func (pln *Plan) compileRoute(raw DraftRoute) (*Route, error) {
	kind, err := parseKind(raw.Kind)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(raw.Prefix, "/") || !strings.HasSuffix(raw.Prefix, "/") {
		return nil, fmt.Errorf("path prefix %q must begin and end with a slash", raw.Prefix)
	}
	if raw.Host == "" {
		return nil, fmt.Errorf("host is missing")
	}
	if raw.Timeout < 0 || raw.TargetLatency < 0 || raw.MaxEventGap < 0 {
		return nil, fmt.Errorf("timeout %d ms, target latency %d ms and event gap %d ms must not be below 0", raw.Timeout, raw.TargetLatency, raw.MaxEventGap)
	}
	if err := pln.checkTargets(raw.Targets); err != nil {
		return nil, err
	}
	gr, err := pln.compileStages(raw.Stages)
	if err != nil {
		return nil, err
	}
	return &Route{draft: raw, kind: kind, graph: gr}, nil
}

func parseKind(name string) (Kind, error) {
	for _, kind := range []Kind{Idempotent, NonIdempotent, Streaming} {
		if kind.String() == name {
			return kind, nil
		}
	}
	return 0, fmt.Errorf("kind %q is not one of %s, %s, %s", name, Idempotent, NonIdempotent, Streaming)
}

func (pln *Plan) checkTargets(list []DraftTarget) error {
	if len(list) == 0 {
		return fmt.Errorf("target pools are missing")
	}
	sum := 0.0
	for _, tgt := range list {
		if _, ok := pln.pools[tgt.Pool]; !ok {
			return fmt.Errorf("target pool %q is not defined", tgt.Pool)
		}
		if tgt.Weight < 0 {
			return fmt.Errorf("weight %g of target pool %q is below 0", tgt.Weight, tgt.Pool)
		}
		sum += tgt.Weight
	}
	if sum <= 0 {
		return fmt.Errorf("weights of target pools sum to 0")
	}
	return nil
}

// compileStages validates the stages of a route and returns their graph.
func (pln *Plan) compileStages(list []DraftStage) (graph.Graph, error) {
	after := make([][]int, len(list))
	for i, stg := range list {
		pol, ok := pln.pools[stg.Pool]
		if !ok || pol.draft.Batch == nil {
			return graph.Graph{}, fmt.Errorf("stages[%d]: pool %q is not defined or has no batch settings", i, stg.Pool)
		}
		after[i] = stg.After
	}
	gr, err := graph.New(after)
	if err != nil {
		return graph.Graph{}, fmt.Errorf("stages: %w", err)
	}
	return gr, nil
}
