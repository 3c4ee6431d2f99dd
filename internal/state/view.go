package state

import (
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/poison"
)

// View is what traffic sees of the control state. It is never changed.
type View struct {
	plan      *plan.Plan
	offset    int64
	asOf      clock.Milli
	endpoints []talk.Endpoint
	// digest names the list of endpoints; past has those before it.
	digest uint64
	past   []listed
	// listed tells that endpoints were read, or told by another instance.
	listed  bool
	members []member.Member
	homes   map[string][]ident.Incarnation
	// heard is when the store answered last, slow how long it takes to.
	heard    clock.Milli
	slow     clock.Milli
	sources  sources
	text     []byte
	leaving  bool
	othersOK bool
	suspects *poison.List
	rates    map[ident.Process]rate
}

// ViewOf returns a view that knows a plan and endpoints and nothing else, for decisions that
// are made without a control thread.
func ViewOf(pln *plan.Plan, endpoints ...talk.Endpoint) *View {
	return &View{plan: pln, endpoints: endpoints, listed: true, offset: -1}
}

// Plan gives the plan in force, nil while none is known.
func (vw *View) Plan() *plan.Plan { return vw.plan }

// Offset gives the offset of the documents, which orders them.
func (vw *View) Offset() int64 { return vw.offset }

// Age gives how long ago the documents were known to be the newest.
func (vw *View) Age(now clock.Milli) clock.Milli { return now - vw.asOf }

// Members gives the instances that are not dead.
func (vw *View) Members() []member.Member { return vw.members }

// Endpoints gives all endpoints.
func (vw *View) Endpoints() []talk.Endpoint { return vw.endpoints }

// IsLeaving tells whether an endpoint is leaving: it said so, or its entry is gone. One that
// has ended keeps its entry for some seconds.
func (vw *View) IsLeaving(id ident.Process) bool {
	ep, ok := find(vw.endpoints, id)
	return !ok || ep.Leaving
}

// Gatherers lists the instances in the order in which they gather a pool's
// pieces, or place its prompts, and keep the rates of its endpoints.
func (vw *View) Gatherers(pool string) []ident.Incarnation { return vw.homes[pool] }

// Suspects tells under which requests endpoints have ended.
func (vw *View) Suspects() *poison.List { return vw.suspects }

// Leaving tells that a planned stop is under way.
func (vw *View) Leaving() bool { return vw.leaving }

// whole tells whether requests can be served by the view: an instance that has just started
// knows the documents before the endpoints.
func (vw *View) whole() bool { return vw.plan != nil && vw.listed }

// silence gives how long the store has not answered, beyond what it takes to.
func (vw *View) silence(now clock.Milli) clock.Milli { return max(now-vw.heard-vw.slow, 0) }

// Ready tells whether callers should be sent here. An instance whose documents
// may be old is not ready while another one's are not; when nobody's are known to
// be new, as in an outage of the store, all go on with what they have.
func (vw *View) Ready(now clock.Milli) bool {
	if vw.plan == nil || vw.leaving {
		return false
	}
	return vw.Age(now) <= staleAfter || !vw.othersOK
}
