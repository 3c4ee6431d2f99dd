package filter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/contr"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/stage"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/svcdoc"
)

// Call is one request on its way through the chain. The first fields are given
// by whoever received it, the others are filled by the filters.
type Call struct {
	Service   string
	Workspace string
	Token     string
	Submit    wire.Submit
	// Opened and Take are told of a stream's start and tokens; nil when the
	// caller wants its answer in one piece.
	Opened func(resume string)
	Take   func(wire.Token) error

	arrived   clock.Milli
	requestID string
	doc       *svcdoc.Document
	kind      svcdoc.Request
	wsp       svcdoc.Workspace
	deadline  clock.Milli
	place     stage.Place
	claim     contr.ClaimAsk
	looked    bool
	times     []wire.StageTime
	output    string
	count     int
}

// RequestID names the request: by its key where it has one.
func (cl *Call) RequestID() string { return cl.requestID }

// Times gives how the stages went.
func (cl *Call) Times() []wire.StageTime { return cl.times }

// Output gives the answer of a request that is done.
func (cl *Call) Output() string { return cl.output }

// Count gives the number of tokens of a generated answer.
func (cl *Call) Count() int { return cl.count }

// DocName gives the service's name if a document has it, else nothing: it is a
// counter's label, and callers must not make those up.
func (cl *Call) DocName() string {
	if cl.doc == nil {
		return ""
	}
	return cl.doc.Name()
}

// Chain is the chain of all filters.
type Chain struct {
	ctl   *contr.Control
	rnr   *stage.Runner
	clk   clock.Clock
	mtr   *meter.Meter
	keys  sealer
	limit *limitFilter
	head  chain.Next[*Call]
}

// Setup is what a chain is made of.
type Setup struct {
	Control     *contr.Control
	Runner      *stage.Runner
	Clock       clock.Clock
	Meter       *meter.Meter
	ResumeKey   []byte
	MaxInFlight int
}

// New returns the chain with its filters in their order.
func New(set Setup) *Chain {
	chn := &Chain{
		ctl: set.Control, rnr: set.Runner, clk: set.Clock, mtr: set.Meter,
		keys: sealer{key: set.ResumeKey}, limit: newLimit(set),
	}
	chn.head = chain.Link(
		chn.run,
		chn.ready, chn.document, chn.identify, chn.check,
		chn.limit.pass, chn.claim, chn.admit,
	)
	return chn
}

// Serve takes a request through the chain and counts its end.
func (chn *Chain) Serve(ctx context.Context, cl *Call) outcm.Result {
	cl.arrived = chn.clk.Now()
	cl.requestID = ident.NewID()
	res := chn.head(ctx, cl)
	if cl.Submit.Key != "" {
		res = res.QualifyRefusal(cl.Submit.First, cl.looked)
	}
	chn.mtr.CountRequest(cl.DocName(), res, chn.clk.Since(cl.arrived))
	return res
}

// InFlight gives the number of requests that were let in and have not ended.
func (chn *Chain) InFlight() int {
	chn.limit.mtx.Lock()
	defer chn.limit.mtx.Unlock()
	return chn.limit.inFlight
}

// Rates gives this instance's requests a second by workspace.
func (chn *Chain) Rates() map[string]float64 { return chn.limit.rates() }

// digest hashes what a request asks for. Its key, deadline and manner of
// answering may differ from one attempt to the next.
func (cl *Call) digest() string {
	sum := sha256.New()
	for _, part := range []string{cl.Workspace, cl.Service, cl.kind.Name(), cl.Submit.Input} {
		_, _ = fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	_, _ = fmt.Fprintf(sum, "%d", cl.Submit.MaxTokens)
	return hex.EncodeToString(sum.Sum(nil))
}
