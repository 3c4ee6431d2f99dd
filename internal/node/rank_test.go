package node

import (
	"context"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform/fake"
)

var _ = ginkgo.Describe("routes of different priorities that share a stage pool", func() {
	// One instance has queued seconds of work of a less urgent route. An urgent request that comes to the
	// other instance overtakes it and is served. Guards against refusing it because of the queue that it
	// overtakes. Requests of the less urgent route are refused meanwhile, with a log line that says why.
	ginkgo.It("are admitted by rank", func() {
		lbf := &logBuffer{}
		nodeLog = zerolog.New(lbf).With().Timestamp().Logger()
		ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
		tbd := setUp(&testbed{
			shutdownTimeout: 8 * clock.Second, tokenMaxViewAge: 2 * clock.Second, moreSettings: `policies = ["base", "pressure"]`,
			cleanup: func(work func()) { ginkgo.DeferCleanup(work) },
		}, 2)
		tbd.publish(func(doc *fake.Document) {
			doc.ExtraStaged = []string{"digest-staged"}
			doc.Priorities = map[string]int{"digest-staged": 3}
			doc.TargetLatencies = map[string]int{"digest-staged": 4000, "stream-staged": 2000}
		})
		for _, nod := range tbd.nodes {
			eventually(func() int { return len(nod.ctl.View().Plan().Routes()) }, pollTimeout).Should(equal(7))
		}
		for _, stg := range tbd.stages {
			stg.Duration = 300 * time.Millisecond
		}
		staged := func(ctx context.Context, node int, route, id string) response {
			return tbd.sendCtx(ctx, node, request{path: "/" + route + "/x", id: id, body: id, header: map[string]string{
				fake.HeaderItems: "4,1", fake.HeaderItemKey: "pk",
			}})
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 40 {
			go func() {
				defer ginkgo.GinkgoRecover()
				staged(ctx, 0, "digest-staged", "")
			}()
		}
		eventually(func() int { return len(tbd.stages[0].Batches()) + len(tbd.stages[1].Batches()) }, pollTimeout).Should(gomega.BeNumerically(">=", 4))
		rsp := staged(context.Background(), 1, "digest-staged", "deferred")
		expect(rsp.status).To(equal(http.StatusServiceUnavailable))
		expect(rsp.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		eventually(func() string { return lbf.explain("deferred") }, pollTimeout).Should(gomega.MatchRegexp(`(?s)request shed: .*rank=2 .*stages=rosters:\d+\+24,rosters:\d+\+21 .*starved_by=none.*request ended`))
		expect(staged(context.Background(), 1, "stream-staged", "urgent").status).To(equal(http.StatusOK))

		// The instance has served all urgent requests and no other. Guards against starving the other route.
		expect(staged(context.Background(), 1, "digest-staged", "starved").status).To(equal(http.StatusOK))
		eventually(func() string { return lbf.explain("starved") }, pollTimeout).Should(gomega.MatchRegexp(`starved request admitted at the most urgent rank: .*rank=2 .*stage_rank=0 .*starved_by=route`))
	})
})
