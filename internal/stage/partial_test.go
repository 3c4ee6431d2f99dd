package stage

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/stand"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/route"
	"amaranthvalve/pkg/svcdoc"
)

const callThenRerank = `
name = "b"
[[stage]]
kind = "call"
pool = "booking"
[[stage]]
kind = "rerank"
pool = "rerankers"
[[request]]
name = "confirm"
non_idempotent = true
[[workspace]]
name = "w"
`

// Guards against a repeated booking when the idempotent stage after it fails. Only the failed
// stage is retried. If it fails permanently, the outcome is unknown, because the booking ran.
func TestRetryDoesNotRepeatEarlierCall(t *testing.T) {
	gom := gomega.NewWithT(t)
	doc, fts := svcdoc.Parse([]byte(callThenRerank))
	gom.Expect(doc).NotTo(gomega.BeNil(), "%v", fts)
	booking, rerank := stand.NewEndpoint("b1", 1, 4), stand.NewEndpoint("r1", 1, 4)
	rnr := New(clock.Clock{}, "dc1", meter.New(), func(_, _ string) {})
	eps := map[string][]route.Endpoint{}
	for pool, ept := range map[string]*stand.Endpoint{"booking": booking, "rerankers": rerank} {
		srv, err := stand.Serve("127.0.0.1:0", ept.Handler())
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		defer srv.Close()
		eps[pool] = []route.Endpoint{{ID: ept.ID(), Addr: srv.Addr(), Zone: "dc1"}}
	}
	rnr.Sync(eps)
	run := func() (string, outcm.Result) {
		kind, _ := doc.Request("confirm")
		wsp, _ := doc.Workspace("w")
		job := &Job{RequestID: "k", Workspace: wsp, Doc: doc, Kind: kind, Input: "x", Deadline: clock.Clock{}.Now() + 2000}
		return rnr.Run(context.Background(), job)
	}
	rerank.SetFaults(stand.Faults{Fail: 2})
	out, res := run()
	gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Done), res.Detail())
	gom.Expect(out).To(gomega.Equal("rerank(call(x))"))
	gom.Expect(booking.Executions()).To(gomega.HaveLen(1))
	rerank.SetFaults(stand.Faults{Fail: 100})
	_, res = run()
	gom.Expect(res.Outcome()).To(gomega.Equal(outcm.Unknown))
	gom.Expect(booking.Executions()).To(gomega.HaveLen(2))
}
