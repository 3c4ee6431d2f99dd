package stage

import (
	"context"
	"strings"
	"testing"
	"time"

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
	clk  clock.Clock
	rnr  *Runner
	doc  *svcdoc.Document
	pool map[string]*stand.Endpoint
}

func serveSides(t *testing.T, kind string, encodeMs, sideMs int64) *sides {
	return serveSidesBy(t, clock.Clock{}, kind, encodeMs, sideMs)
}

// serveSidesBy is serveSides with another clock.
func serveSidesBy(t *testing.T, clk clock.Clock, kind string, encodeMs, sideMs int64) *sides {
	gom := gomega.NewWithT(t)
	doc, fts := svcdoc.Parse([]byte(strings.ReplaceAll(twoBesideOneAnother, "KIND", kind)))
	gom.Expect(doc).NotTo(gomega.BeNil(), "%v", fts)
	sds := &sides{clk: clk, doc: doc, rnr: New(clk, "dc1", meter.New(), func(_, _ string) {}), pool: map[string]*stand.Endpoint{
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

func (sds *sides) run() (string, *Job, outcm.Result) { return sds.runFor(3 * clock.Second) }

func (sds *sides) runFor(span clock.Milli) (string, *Job, outcm.Result) {
	kind, _ := sds.doc.Request("")
	wsp, _ := sds.doc.Workspace("w")
	job := &Job{RequestID: "k", Workspace: wsp, Doc: sds.doc, Kind: kind, Input: "x", Deadline: sds.clk.Now() + span}
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

// Guards against deadlines that pass at once, or much too late, because the machine's wall clock
// was set after the instance's start, as at the end of a suspension that the machine
// doesn't count.
func TestWallClockWasSet(t *testing.T) {
	for name, ahead := range map[string]clock.Milli{"forward": clock.Hour, "back": -clock.Hour} {
		t.Run(name, func(t *testing.T) {
			gom := gomega.NewWithT(t)
			clk := clock.New(func() clock.Milli { return clock.Clock{}.Now() - ahead })
			sds := serveSidesBy(t, clk, "retrieve", 1, 1)
			out, _, res := sds.run()
			gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Done), res.Detail())
			gom.Expect(out).To(gomega.Equal("rerank(encode(x) side(x))"))

			sds.pool["rerankers"].SetFaults(stand.Faults{SlowMs: 5000})
			began := time.Now()
			_, _, res = sds.runFor(300)
			gom.Expect(res.Outcome()).NotTo(gomega.Equal(outcm.Done))
			gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		})
	}
}
