package svcdoc

import (
	"amaranthvalve/internal/tomlx"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

//go:generate go tool stringer -type=Kind,Objective -linecomment -output=svcdoc_string.go

// Kind is the kind of a stage.
type Kind int

// The kinds of stage, in the order in which a pipeline usually has them.
const (
	Encode   Kind = iota // encode
	Retrieve             // retrieve
	Rerank               // rerank
	Generate             // generate
	Call                 // call
)

// Objective is the measure that the owner of a service prioritizes where attainment of the
// targets and low cost can't both be had.
type Objective int

// The measures.
const (
	Attainment Objective = iota // attainment
	Cost                        // cost
)

// Document is a checked service document. The zero value names no service; documents are
// returned by [Parse].
type Document struct {
	raw    rawDoc
	kinds  []Kind
	weighs Objective
	graph  graph.Graph
}

// Name returns the service's name.
func (doc *Document) Name() string { return doc.raw.Name }

// Owner returns the team that owns the document.
func (doc *Document) Owner() string { return doc.raw.Owner }

// Objective returns the measure that the owner prioritizes.
func (doc *Document) Objective() Objective { return doc.weighs }

// Priority returns the service's priority among services, 0 to 9; higher values come first.
func (doc *Document) Priority() int { return doc.raw.Priority }

// Deadline returns the time within which a request must be answered.
func (doc *Document) Deadline() clock.Milli { return clock.Milli(doc.raw.DeadlineMs) }

// KeyLife returns the maximum time until the expiry of a request key.
func (doc *Document) KeyLife() clock.Milli { return clock.Milli(doc.raw.KeyLifeMs) }

// Stages returns the number of stages.
func (doc *Document) Stages() int { return len(doc.raw.Stage) }

// Stage returns stage i, counted from 0.
func (doc *Document) Stage(i int) Stage {
	return Stage{raw: &doc.raw.Stage[i], kind: doc.kinds[i]}
}

// Graph returns the data dependencies between the stages. The last stage is its only leaf;
// its result is the answer.
func (doc *Document) Graph() graph.Graph { return doc.graph }

// Request returns the kind of request with the given name, or the first one if the name is
// empty.
func (doc *Document) Request(name string) (Request, bool) {
	for i := range doc.raw.Request {
		if req := &doc.raw.Request[i]; name == "" || req.Name == name {
			return Request{raw: req}, true
		}
	}
	return Request{}, false
}

// Workspace returns the entry of a workspace.
func (doc *Document) Workspace(name string) (Workspace, bool) {
	for i := range doc.raw.Workspace {
		if wsp := &doc.raw.Workspace[i]; wsp.Name == name {
			return Workspace{raw: wsp}, true
		}
	}
	return Workspace{}, false
}

// Workspaces returns all workspaces in the document's order.
func (doc *Document) Workspaces() []Workspace {
	all := make([]Workspace, len(doc.raw.Workspace))
	for i := range doc.raw.Workspace {
		all[i] = Workspace{raw: &doc.raw.Workspace[i]}
	}
	return all
}

// Stage is one step of a service's pipeline.
type Stage struct {
	raw  *rawStage
	kind Kind
}

// Name returns the stage's name, which is unique in its document.
func (stg Stage) Name() string { return stg.raw.Name }

// Kind returns the stage's kind.
func (stg Stage) Kind() Kind { return stg.kind }

// Pool returns the pool of endpoints that run the stage.
func (stg Stage) Pool() string { return stg.raw.Pool }

// Model returns the model that a generating endpoint must have loaded; if empty, no model
// is ordered.
func (stg Stage) Model() string { return stg.raw.Model }

// Estimate returns the owner's initial estimate of the stage's service time, used until it
// has been measured.
func (stg Stage) Estimate() clock.Milli { return clock.Milli(stg.raw.NeedMs) }

// NonIdempotent reports whether the stage must not run twice for one request.
func (stg Stage) NonIdempotent() bool {
	if stg.raw.NonIdempotent != nil {
		return *stg.raw.NonIdempotent
	}
	return stg.kind == Call
}

// ChecksFencing reports whether the pool's endpoints refuse an order with an outdated
// fencing number.
func (stg Stage) ChecksFencing() bool { return stg.raw.ChecksFencing }

// Request is a kind of request that callers may send.
type Request struct {
	raw *rawRequest
}

// Name returns the kind's name.
func (req Request) Name() string { return req.raw.Name }

// NonIdempotent reports whether a request of this kind runs at most once and needs a key.
func (req Request) NonIdempotent() bool { return req.raw.NonIdempotent }

// Workspace is the entry of one workspace in a document.
type Workspace struct {
	raw *rawWorkspace
}

// Name returns the workspace's name.
func (wsp Workspace) Name() string { return wsp.raw.Name }

// Rate returns the admitted requests per second and the burst size.
func (wsp Workspace) Rate() (perSecond float64, burst int) {
	return wsp.raw.RequestsPerSecond, wsp.raw.Burst
}

// InFlight returns the maximum number of the workspace's requests in flight at one
// instance.
func (wsp Workspace) InFlight() int { return wsp.raw.InFlight }

// Share returns the workspace's weight among queued requests.
func (wsp Workspace) Share() int { return wsp.raw.Share }

// TokenHash returns the SHA-256 hash of the workspace's bearer token in hexadecimal; if
// empty, the workspace is not authenticated.
func (wsp Workspace) TokenHash() string { return wsp.raw.TokenSha256 }

// Parse parses and checks a document. The document is nil if and only if the list contains
// an error; warnings are returned along with a document.
func Parse(text []byte) (*Document, *tomlx.Faults) {
	doc := &Document{}
	fts := tomlx.Decode(text, &doc.raw)
	if fts.HasErrors() {
		return nil, fts
	}
	chk := checker{fts: fts, doc: doc}
	chk.run()
	if fts.HasErrors() {
		return nil, fts
	}
	return doc, fts
}
