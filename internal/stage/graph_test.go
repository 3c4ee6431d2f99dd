package stage

import (
	"context"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/stand"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/route"
	"amaranthvalve/pkg/svcdoc"
)

const twoBesideOneAnother = `
name = "conflicts"
[[stage]]
kind = "encode"
pool = "encoders"
[[stage]]
kind = "KIND"
name = "side"
pool = "side"
after = []
[[stage]]
kind = "rerank"
pool = "rerankers"
after = ["encode", "side"]
[[workspace]]
name = "w"
`

// sides is a document whose first two stages run beside one another, with its pools.
type sides struct {
	rnr  *Runner
	doc  *svcdoc.Document
	pool map[string]*stand.Endpoint
}

func serveSides(t *testing.T, kind string, encodeMs, sideMs int64) *sides {
	gom := gomega.NewWithT(t)
	doc, fts := svcdoc.Parse([]byte(strings.ReplaceAll(twoBesideOneAnother, "KIND", kind)))
	gom.Expect(doc).NotTo(gomega.BeNil(), "%v", fts)
	sds := &sides{doc: doc, rnr: New(clock.Clock{}, "dc1", meter.New(), func(_, _ string) {}), pool: map[string]*stand.Endpoint{
		"encoders": stand.NewEndpoint("e1", encodeMs, 4), "side": stand.NewEndpoint("s1", sideMs, 4), "rerankers": stand.NewEndpoint("r1", 1, 4),
	}}
	eps := map[string][]route.Endpoint{}
	for pool, ept := range sds.pool {
		srv, err := stand.Serve("127.0.0.1:0", ept.Handler())
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(srv.Close)
		eps[pool] = []route.Endpoint{{ID: ept.ID(), Addr: srv.Addr(), Zone: "dc1"}}
	}
	sds.rnr.Sync(eps)
	return sds
}

func (sds *sides) run() (string, *Job, outcm.Result) {
	kind, _ := sds.doc.Request("")
	wsp, _ := sds.doc.Workspace("w")
	job := &Job{RequestID: "k", Workspace: wsp, Doc: sds.doc, Kind: kind, Input: "x", Deadline: clock.Clock{}.Now() + 3000}
	out, res := sds.rnr.Run(context.Background(), job)
	return out, job, res
}

// TestStagesBesideOneAnother: two stages that take what the caller sent run at the same
// time, and the third gets both results in the order of the document, whichever was first.
func TestStagesBesideOneAnother(t *testing.T) {
	gom := gomega.NewWithT(t)
	sds := serveSides(t, "retrieve", 200, 150)
	out, job, res := sds.run()
	gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Done), res.Detail())
	gom.Expect(out).To(gomega.Equal("rerank(encode(x) side(x))"))
	times := job.Times()
	gom.Expect(times).To(gomega.HaveLen(3))
	gom.Expect(times[0].Name + times[1].Name + times[2].Name).To(gomega.Equal("encodesidererank"))
	began := sds.pool["rerankers"].Executions()
	gom.Expect(began).To(gomega.HaveLen(1))
}

// TestEffectBesideAFailure: a booking runs beside an encoder that refuses everything a moment
// later. The caller is told that its end isn't known: the booking ran, whatever the encoder
// says, and "not run" would have it booked again.
func TestEffectBesideAFailure(t *testing.T) {
	gom := gomega.NewWithT(t)
	sds := serveSides(t, "call", 1, 500)
	sds.pool["encoders"].SetFaults(stand.Faults{Refuse: 100, SlowMs: 100})
	_, _, res := sds.run()
	gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Unknown), res.Detail())
	gom.Expect(sds.pool["rerankers"].Executions()).To(gomega.BeEmpty())
}

// TestRefusedBesideASlowOne: the endpoint of a booking gives its word that nothing ran,
// while an encoder beside it is still at work. The caller is told that it failed without
// an effect and may send its key again: that the booking was noted as sent while the
// encoder ran must not make it "may have run".
func TestRefusedBesideASlowOne(t *testing.T) {
	gom := gomega.NewWithT(t)
	sds := serveSides(t, "call", 500, 1)
	sds.pool["side"].SetFaults(stand.Faults{Refuse: 100})
	_, job, res := sds.run()
	gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Failed), res.Detail())
	gom.Expect(job.HasEffect()).To(gomega.BeFalse())
	gom.Expect(sds.pool["side"].Executions()).To(gomega.BeEmpty())
}
