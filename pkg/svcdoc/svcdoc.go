package svcdoc

import (
	"amaranthvalve/internal/place"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

//go:generate go tool stringer -type=Kind,Weighs -linecomment -output=svcdoc_string.go

// Kind is what a stage does.
type Kind int

// The kinds of stage, in the order in which a pipeline usually has them.
const (
	Encode   Kind = iota // encode
	Retrieve             // retrieve
	Rerank               // rerank
	Generate             // generate
	Call                 // call
)

// Weighs is what the owner of a service weighs more where both can't be had.
type Weighs int

// The two measures of the brief.
const (
	Attainment Weighs = iota // attainment
	Cost                     // cost
)

// Document is a checked service document. The zero value names no service;
// documents come from [Parse].
type Document struct {
	raw    rawDoc
	kinds  []Kind
	weighs Weighs
	graph  graph.Graph
}

// Name gives the service's name.
func (doc *Document) Name() string { return doc.raw.Name }

// Owner gives the team that owns the document.
func (doc *Document) Owner() string { return doc.raw.Owner }

// Weighs gives the measure that the owner weighs more.
func (doc *Document) Weighs() Weighs { return doc.weighs }

// Priority gives the service's rank among services, 0 to 9, higher first.
func (doc *Document) Priority() int { return doc.raw.Priority }

// Deadline gives the span within which a request must be answered.
func (doc *Document) Deadline() clock.Milli { return clock.Milli(doc.raw.DeadlineMs) }

// KeyLife gives the longest span from now to the expiry of a request key.
func (doc *Document) KeyLife() clock.Milli { return clock.Milli(doc.raw.KeyLifeMs) }

// Stages gives the number of stages.
func (doc *Document) Stages() int { return len(doc.raw.Stage) }

// Stage gives the i-th stage, from 0.
func (doc *Document) Stage(i int) Stage {
	return Stage{raw: &doc.raw.Stage[i], kind: doc.kinds[i]}
}

// Graph tells which stages take the results of which. The last stage is its only leaf:
// what it makes is the answer.
func (doc *Document) Graph() graph.Graph { return doc.graph }

// Request finds a kind of request; an empty name finds the first.
func (doc *Document) Request(name string) (Request, bool) {
	for i := range doc.raw.Request {
		if req := &doc.raw.Request[i]; name == "" || req.Name == name {
			return Request{raw: req}, true
		}
	}
	return Request{}, false
}

// Workspace finds a workspace's entry.
func (doc *Document) Workspace(name string) (Workspace, bool) {
	for i := range doc.raw.Workspace {
		if wsp := &doc.raw.Workspace[i]; wsp.Name == name {
			return Workspace{raw: wsp}, true
		}
	}
	return Workspace{}, false
}

// Workspaces gives all workspaces in the document's order.
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

// Name gives the stage's name, unique in its document.
func (stg Stage) Name() string { return stg.raw.Name }

// Kind gives what the stage does.
func (stg Stage) Kind() Kind { return stg.kind }

// Pool gives the pool of endpoints that run the stage.
func (stg Stage) Pool() string { return stg.raw.Pool }

// Model gives the model a generating endpoint must have loaded; empty leaves
// the endpoints as they are.
func (stg Stage) Model() string { return stg.raw.Model }

// Need gives the owner's first guess of the stage's time, used until it has
// been measured.
func (stg Stage) Need() clock.Milli { return clock.Milli(stg.raw.NeedMs) }

// NonIdempotent tells that the stage must not run twice for one request.
func (stg Stage) NonIdempotent() bool {
	if stg.raw.NonIdempotent != nil {
		return *stg.raw.NonIdempotent
	}
	return stg.kind == Call
}

// ChecksFencing tells that the pool's endpoints refuse an order with an old
// fencing number.
func (stg Stage) ChecksFencing() bool { return stg.raw.ChecksFencing }

// Request is a kind of request that callers may send.
type Request struct {
	raw *rawRequest
}

// Name gives the kind's name.
func (req Request) Name() string { return req.raw.Name }

// NonIdempotent tells that such a request runs at most once and needs a key.
func (req Request) NonIdempotent() bool { return req.raw.NonIdempotent }

// Workspace is one customer's entry in a document.
type Workspace struct {
	raw *rawWorkspace
}

// Name gives the workspace's name.
func (wsp Workspace) Name() string { return wsp.raw.Name }

// Rate gives the requests a second that are let through, and how many may
// come at once.
func (wsp Workspace) Rate() (perSecond float64, burst int) {
	return wsp.raw.RequestsPerSecond, wsp.raw.Burst
}

// InFlight gives how many of its requests may be under way at one instance.
func (wsp Workspace) InFlight() int { return wsp.raw.InFlight }

// Share gives the workspace's weight among the waiting.
func (wsp Workspace) Share() int { return wsp.raw.Share }

// TokenHash gives the SHA-256 of the workspace's bearer token in hexadecimal;
// empty when the workspace is taken at its word.
func (wsp Workspace) TokenHash() string { return wsp.raw.TokenSha256 }

// Parse reads and checks a document. The document is nil exactly when the list
// has failed; warnings come with a document.
func Parse(text []byte) (*Document, *place.Faults) {
	doc := &Document{}
	fts := place.Decode(text, &doc.raw)
	if fts.Failed() {
		return nil, fts
	}
	chk := checker{fts: fts, doc: doc}
	chk.run()
	if fts.Failed() {
		return nil, fts
	}
	return doc, fts
}
