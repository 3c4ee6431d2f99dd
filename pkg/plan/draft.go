package plan

import (
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

// Error is the class of a draft's faults.
var Error = errs.Class("plan")

// Draft is a document as a dialect decoded it.
type Draft struct {
	Version    int64
	Routes     []DraftRoute
	Pools      []DraftPool
	Workspaces []DraftWorkspace
	Limits     Limits
}

// DraftRoute is a route as it was written.
type DraftRoute struct {
	Name   string
	Host   string
	Prefix string
	// Kind is the name of a [Kind].
	Kind      string
	Timeout   clock.Milli
	Goal      clock.Milli
	Gap       clock.Milli
	Priority  int
	Attempts  int
	Targets   []DraftTarget
	Stages    []DraftStage
	Open      bool
	Resumable bool
}

// DraftTarget is a pool that a part of a route's requests goes to.
type DraftTarget struct {
	Pool   string
	Weight float64
}

// DraftStage is work to be done before the final call.
type DraftStage struct {
	Pool string
	// After lists the stages whose results it takes; each stands before it.
	After []int
	// Bytes is the rough size of one result.
	Bytes int64
}

// DraftPool is a pool as it was written.
type DraftPool struct {
	Name   string
	Batch  *DraftBatch
	Engine *DraftEngine
}

// DraftBatch tells how one endpoint takes pieces of stages.
type DraftBatch struct {
	// Places is how many calls are worked on at once, Queue how many may wait.
	Places int
	Queue  int
	// Most is the number of pieces in a call.
	Most int
	// Call is the time of a call, Item what each piece adds, in milliseconds.
	Call float64
	Item float64
	// Room is what an endpoint can hold of results, in bytes.
	Room int64
	// Keep is how long a result is held that nobody gives back.
	Keep clock.Milli
	// Link is how fast results are fetched, in Mbit/s; zero if it isn't known.
	Link float64
}

// DraftEngine tells what a model engine can do.
type DraftEngine struct {
	// Places is how many requests run at once.
	Places int
	// Memory is what running requests and cached prompts share, in tokens.
	Memory int
	// Fetches tells that an engine can fetch parts of prompts from others.
	Fetches bool
}

// DraftWorkspace is a customer as it was written.
type DraftWorkspace struct {
	Name     string
	Tokens   []string
	Priority *int
}

// Compile checks a draft and makes the plan. Faulty parts are left out, and each
// fault is told; the plan is nil only if nothing of the draft can be used.
func Compile(drf Draft) (*Plan, []error) {
	pln := &Plan{
		version: drf.Version, limits: drf.Limits, hosts: map[string][]*Route{},
		pools: map[string]*Pool{}, tokens: map[string]*Workspace{},
	}
	var fts []error
	for i, pol := range drf.Pools {
		if err := checkPool(pol); err != nil {
			fts = append(fts, Error.New("services[%d] %q: %v", i, pol.Name, err))
			continue
		}
		pln.pools[pol.Name] = &Pool{raw: pol}
	}
	for i, raw := range drf.Routes {
		rte, err := pln.route(raw)
		if err != nil {
			fts = append(fts, Error.New("routes[%d] %q: %v", i, raw.Name, err))
			continue
		}
		pln.routes = append(pln.routes, rte)
		pln.hosts[raw.Host] = append(pln.hosts[raw.Host], rte)
	}
	for _, list := range pln.hosts {
		slices.SortStableFunc(list, func(x, y *Route) int { return len(y.raw.Prefix) - len(x.raw.Prefix) })
	}
	fts = append(fts, pln.workspaces(drf.Workspaces)...)
	pln.rank()
	if len(pln.routes) == 0 && len(drf.Routes) > 0 {
		return nil, fts
	}
	return pln, fts
}

func (pln *Plan) workspaces(list []DraftWorkspace) []error {
	var fts []error
	for i, raw := range list {
		if raw.Name == "" {
			fts = append(fts, Error.New("workspaces[%d]: it has no name", i))
			continue
		}
		wsp := &Workspace{name: raw.Name}
		if raw.Priority != nil {
			wsp.priority, wsp.ranked = *raw.Priority, true
		}
		for _, tkn := range raw.Tokens {
			if other, ok := pln.tokens[tkn]; ok && other.name != raw.Name {
				fts = append(fts, Error.New("workspaces[%d] %q: a token of it is also one of %q", i, raw.Name, other.name))
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
		return fmt.Errorf("it has no name")
	case pol.Batch != nil && (pol.Batch.Most < 1 || pol.Batch.Places < 1):
		return fmt.Errorf("its endpoints take no pieces: batch %d, places %d", pol.Batch.Most, pol.Batch.Places)
	case pol.Batch != nil && (pol.Batch.Call < 0 || pol.Batch.Item < 0 || pol.Batch.Room < 0):
		return fmt.Errorf("a time or size of its calls is below 0")
	}
	return nil
}

func (pln *Plan) route(raw DraftRoute) (*Route, error) {
	kind, err := parseKind(raw.Kind)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(raw.Prefix, "/") || !strings.HasSuffix(raw.Prefix, "/") {
		return nil, fmt.Errorf("path prefix %q doesn't begin and end with a slash", raw.Prefix)
	}
	if raw.Host == "" {
		return nil, fmt.Errorf("it has no host")
	}
	if raw.Timeout < 0 || raw.Goal < 0 || raw.Gap < 0 {
		return nil, fmt.Errorf("a time is below 0")
	}
	if err := pln.checkTargets(raw.Targets); err != nil {
		return nil, err
	}
	gr, err := pln.stages(raw.Stages)
	if err != nil {
		return nil, err
	}
	return &Route{raw: raw, kind: kind, graph: gr}, nil
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
		return fmt.Errorf("it goes to no pool")
	}
	sum := 0.0
	for _, tgt := range list {
		if _, ok := pln.pools[tgt.Pool]; !ok {
			return fmt.Errorf("it goes to pool %q, which is not named", tgt.Pool)
		}
		if tgt.Weight < 0 {
			return fmt.Errorf("the weight of pool %q is below 0", tgt.Pool)
		}
		sum += tgt.Weight
	}
	if sum <= 0 {
		return fmt.Errorf("the weights of its pools sum up to 0")
	}
	return nil
}

// stages checks a route's stages and gives their graph.
func (pln *Plan) stages(list []DraftStage) (graph.Graph, error) {
	after := make([][]int, len(list))
	for i, stg := range list {
		pol, ok := pln.pools[stg.Pool]
		if !ok || pol.raw.Batch == nil {
			return graph.Graph{}, fmt.Errorf("stages[%d]: pool %q takes no pieces", i, stg.Pool)
		}
		after[i] = stg.After
	}
	gr, err := graph.New(after)
	if err != nil {
		return graph.Graph{}, fmt.Errorf("stages: %w", err)
	}
	return gr, nil
}
