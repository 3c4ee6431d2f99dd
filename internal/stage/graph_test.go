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

const parallelStages = `
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

// fixture is a runner with a document whose first two stages run in parallel, and their pools.
type fixture struct {
	clk  clock.Clock
	rnr  *Runner
	doc  *svcdoc.Document
	pool map[string]*stand.Endpoint
}

func newFixture(t *testing.T, kind string, encodeMs, sideMs int64) *fixture {
	return newFixtureWithClock(t, clock.Clock{}, kind, encodeMs, sideMs)
}

// newFixtureWithClock is newFixture with another clock.
func newFixtureWithClock(t *testing.T, clk clock.Clock, kind string, encodeMs, sideMs int64) *fixture {
	gom := gomega.NewWithT(t)
	doc, fts := svcdoc.Parse([]byte(strings.ReplaceAll(parallelStages, "KIND", kind)))
	gom.Expect(doc).NotTo(gomega.BeNil(), "%v", fts)
	fix := &fixture{clk: clk, doc: doc, rnr: New(clk, "dc1", meter.New(), func(_, _ string) {}), pool: map[string]*stand.Endpoint{
		"encoders": stand.NewEndpoint("e1", encodeMs, 4), "side": stand.NewEndpoint("s1", sideMs, 4), "rerankers": stand.NewEndpoint("r1", 1, 4),
	}}
	eps := map[string][]route.Endpoint{}
	for pool, ept := range fix.pool {
		srv, err := stand.Serve("127.0.0.1:0", ept.Handler())
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(srv.Close)
		eps[pool] = []route.Endpoint{{ID: ept.ID(), Addr: srv.Addr(), Zone: "dc1"}}
	}
	fix.rnr.Sync(eps)
	return fix
}

func (fix *fixture) run() (string, *Job, outcm.Result) { return fix.runWithin(3 * clock.Second) }

func (fix *fixture) runWithin(span clock.Milli) (string, *Job, outcm.Result) {
	kind, _ := fix.doc.Request("")
	wsp, _ := fix.doc.Workspace("w")
	job := &Job{RequestID: "k", Workspace: wsp, Doc: fix.doc, Kind: kind, Input: "x", Deadline: fix.clk.Now() + span}
	out, res := fix.rnr.Run(context.Background(), job)
	return out, job, res
}

// Guards against stages that wait for each other without need and against swapped inputs: two
// stages without dependencies run at the same time, and the third receives both results in the
// order of the document, whichever came first.
func TestParallelStages(t *testing.T) {
	gom := gomega.NewWithT(t)
	fix := newFixture(t, "retrieve", 200, 150)
	out, job, res := fix.run()
	gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Done), res.Detail())
	gom.Expect(out).To(gomega.Equal("rerank(encode(x) side(x))"))
	times := job.Times()
	gom.Expect(times).To(gomega.HaveLen(3))
	gom.Expect(times[0].Name + times[1].Name + times[2].Name).To(gomega.Equal("encodesidererank"))
	began := fix.pool["rerankers"].Executions()
	gom.Expect(began).To(gomega.HaveLen(1))
}

// Guards against a second booking after a failure of a parallel stage. A booking runs while an
// encoder refuses everything a moment later. The booking ran, so that the outcome is unknown:
// after not_run the caller would book again.
func TestEffectBesideFailedStage(t *testing.T) {
	gom := gomega.NewWithT(t)
	fix := newFixture(t, "call", 1, 500)
	fix.pool["encoders"].SetFaults(stand.Faults{Refuse: 100, SlowMs: 100})
	_, _, res := fix.run()
	gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Unknown), res.Detail())
	gom.Expect(fix.pool["rerankers"].Executions()).To(gomega.BeEmpty())
}

// Guards against an unknown outcome when the endpoint of a booking confirms that nothing ran
// while an encoder is still running in parallel. The request failed without an effect and the
// caller may send its key again, although the booking was marked as sent in the meantime.
func TestRefusedBesideSlowStage(t *testing.T) {
	gom := gomega.NewWithT(t)
	fix := newFixture(t, "call", 500, 1)
	// The refusal comes once the other call runs: before it is sent, nothing has run.
	fix.pool["side"].SetFaults(stand.Faults{Freeze: true})
	go func() {
		for len(fix.pool["encoders"].Executions()) == 0 {
			time.Sleep(time.Millisecond)
		}
		fix.pool["side"].SetFaults(stand.Faults{Refuse: 100})
	}()
	_, job, res := fix.run()
	gom.Expect(fix.pool["encoders"].Executions()).To(gomega.HaveLen(1))
	gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Failed), res.Detail())
	gom.Expect(job.HasEffect()).To(gomega.BeFalse())
	gom.Expect(fix.pool["side"].Executions()).To(gomega.BeEmpty())
}

// Guards against deadlines that pass at once, or much too late, because the machine's wall clock
// was set after the instance's start, as at the end of a suspension that the machine
// doesn't count.
func TestWallClockStep(t *testing.T) {
	for name, ahead := range map[string]clock.Milli{"forward": clock.Hour, "back": -clock.Hour} {
		t.Run(name, func(t *testing.T) {
			gom := gomega.NewWithT(t)
			clk := clock.New(func() clock.Milli { return clock.Clock{}.Now() - ahead })
			fix := newFixtureWithClock(t, clk, "retrieve", 1, 1)
			out, _, res := fix.run()
			gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Done), res.Detail())
			gom.Expect(out).To(gomega.Equal("rerank(encode(x) side(x))"))

			fix.pool["rerankers"].SetFaults(stand.Faults{SlowMs: 5000})
			began := time.Now()
			_, _, res = fix.runWithin(300)
			gom.Expect(res.Outcome()).NotTo(gomega.Equal(outcm.Done))
			gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		})
	}
}
