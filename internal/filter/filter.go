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

// Call is one request in the chain. The exported fields are set by the receiver of the request,
// the others by the filters.
type Call struct {
	Service   string
	Workspace string
	Token     string
	Submit    wire.Submit
	// OnOpen is called when a stream starts, OnToken with each of its tokens. Both are nil if the
	// caller requests a single complete answer.
	OnOpen  func(resume string)
	OnToken func(wire.Token) error

	arrivedAt clock.Milli
	requestID string
	doc       *svcdoc.Document
	kind      svcdoc.Request
	wsp       svcdoc.Workspace
	deadline  clock.Milli
	stream    stage.StreamRef
	claim     contr.ClaimRequest
	lookedUp  bool
	times     []wire.StageTime
	output    string
	count     int
}

// RequestID returns the identifier of the request, which is derived from its key if it has one.
func (cl *Call) RequestID() string { return cl.requestID }

// Times returns the times of the stages.
func (cl *Call) Times() []wire.StageTime { return cl.times }

// Output returns the answer of a request that is done.
func (cl *Call) Output() string { return cl.output }

// Count returns the number of tokens of a generated answer.
func (cl *Call) Count() int { return cl.count }

// DocName returns the name of the service if there is a document for it, otherwise the empty
// string. The name is the label of a metric, so that callers must not be able to choose it
// freely.
func (cl *Call) DocName() string {
	if cl.doc == nil {
		return ""
	}
	return cl.doc.Name()
}

// Chain is the chain of all filters.
type Chain struct {
	ctl    *contr.Control
	rnr    *stage.Runner
	clk    clock.Clock
	mtr    *meter.Meter
	sealer sealer
	limit  *limitFilter
	head   chain.Next[*Call]
}

// Setup configures a chain.
type Setup struct {
	Control     *contr.Control
	Runner      *stage.Runner
	Clock       clock.Clock
	Meter       *meter.Meter
	ResumeKey   []byte
	MaxInFlight int
}

// New returns the chain with its filters in order.
func New(set Setup) *Chain {
	chn := &Chain{
		ctl: set.Control, rnr: set.Runner, clk: set.Clock, mtr: set.Meter,
		sealer: sealer{key: set.ResumeKey}, limit: newLimit(set),
	}
	chn.head = chain.Link(
		chn.run,
		chn.ready, chn.document, chn.identify, chn.check,
		chn.limit.pass, chn.claim, chn.admit,
	)
	return chn
}

// Serve runs a request through the chain and counts its result.
func (chn *Chain) Serve(ctx context.Context, cl *Call) outcm.Result {
	cl.arrivedAt = chn.clk.Now()
	cl.requestID = ident.NewID()
	res := chn.head(ctx, cl)
	if cl.Submit.Key != "" {
		res = res.QualifyRefusal(cl.Submit.First, cl.lookedUp)
	}
	chn.mtr.CountRequest(cl.DocName(), res, chn.clk.Since(cl.arrivedAt))
	return res
}

// InFlight returns the number of admitted requests that have not ended.
func (chn *Chain) InFlight() int {
	chn.limit.mtx.Lock()
	defer chn.limit.mtx.Unlock()
	return chn.limit.inFlight
}

// Rates returns this instance's requests per second by workspace.
func (chn *Chain) Rates() map[string]float64 { return chn.limit.rates() }

// digest returns the hash of the content of a request. Its key, its deadline and whether it
// streams are not included, because they may differ between attempts.
func (cl *Call) digest() string {
	sum := sha256.New()
	for _, part := range []string{cl.Workspace, cl.Service, cl.kind.Name(), cl.Submit.Input} {
		_, _ = fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	_, _ = fmt.Fprintf(sum, "%d", cl.Submit.MaxTokens)
	return hex.EncodeToString(sum.Sum(nil))
}
