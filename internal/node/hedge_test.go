package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/meter"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/hedge"
	"amaranthvalve/platform/fake"
)

// hedgeWarmup is the number of requests after which the times are known and several hedges are saved up.
const hedgeWarmup = 60

// hedgeService is how long the endpoints take to answer.
const hedgeService = 20 * time.Millisecond

// newHedgeTestbed is newTestbed with one instance that sends hedges, and the times of a route's requests known. The
// testbed is prepared, if need be, before its endpoints are sent requests.
func newHedgeTestbed(path string, prepare ...func(tbd *testbed)) *testbed {
	tbd := newTokenTestbed(0, clock.Minute)
	tbd.moreSettings = "hedge_share = 0.2"
	for _, prep := range prepare {
		prep(tbd)
	}
	// Answers within a millisecond would be hedged for the jitter of a busy machine.
	for _, ep := range tbd.plain {
		ep.Duration = hedgeService
	}
	for _, ep := range tbd.engines {
		ep.PromptDuration = hedgeService
	}
	tbd.start()
	tbd.waitJoined()
	tbd.warmUp(path)
	return tbd
}

func (tbd *testbed) warmUp(path string) {
	for range hedgeWarmup {
		expect(tbd.send(0, request{path: path, method: http.MethodPost}).status).To(equal(http.StatusOK))
	}
}

// hedges returns the hedges of the first instance with a result.
func (tbd *testbed) hedges(result string) int {
	return tbd.metric(0, fmt.Sprintf("hedges_total{result=%q}", result))
}

// metric returns the value of a counter of an instance.
func (tbd *testbed) metric(node int, name string) int {
	rec := httptest.NewRecorder()
	tbd.nodes[node].mtr.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/", nil))
	for line := range strings.Lines(rec.Body.String()) {
		if _, val, ok := strings.Cut(strings.TrimSpace(line), name+" "); ok {
			num, err := strconv.Atoi(val)
			expect(err).NotTo(anything())
			return num
		}
	}
	return -1
}

// plainRuns counts the runs of a request at the plain endpoints.
func (tbd *testbed) plainRuns(id string) int {
	count := 0
	for _, ep := range tbd.plain {
		for _, run := range ep.Runs() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

// expectIdle expects that no request is counted at the plain endpoints any longer.
func (tbd *testbed) expectIdle() {
	eventually(func() int { return tbd.nodes[0].pools.InFlight("bookings") }, pollTimeout).Should(equal(0))
}

// slowDown makes endpoints answer after a time.
func slowDown(span time.Duration, list ...*fake.Endpoint) {
	for _, ep := range list {
		ep.DelayedDuration = span
		for range 2000 {
			ep.QueueFaults(fake.Delayed)
		}
	}
}

var _ = ginkgo.Describe("a hedged request", func() {
	// Guards against a request that waits for an endpoint that hangs, and against attempts that go on, or stay
	// counted, after another one has been answered.
	ginkgo.It("is answered by another endpoint at once if the first hangs", func() {
		tbd := newHedgeTestbed("/log/x")
		for range 100 {
			tbd.plain[0].QueueFaults(fake.Hangs)
		}
		before := len(tbd.plain[0].Runs())
		for range 12 {
			began := time.Now()
			expect(tbd.send(0, request{path: "/log/x"}).status).To(equal(http.StatusOK))
			expect(time.Since(began)).To(gomega.BeNumerically("<", 240*time.Millisecond))
			if tbd.hedges(meter.HedgeWon) >= 5 {
				break
			}
		}
		expect(tbd.hedges(meter.HedgeWon)).To(gomega.BeNumerically(">", 0))
		hung := len(tbd.plain[0].Runs()) - before
		eventually(func() int { return tbd.plain[0].Disconnects() }, pollTimeout).Should(equal(hung))
		tbd.expectIdle()
	})

	// Guards against two answers for one caller, and against counts that are not released, when both attempts are
	// answered at the same moment.
	ginkgo.It("gets one whole answer if both attempts are answered at the same moment", func() {
		tbd := newHedgeTestbed("/log/x", func(tbd *testbed) {
			// The limits of the endpoints follow their times: on a busy machine both may be full for longer than the
			// eighth of the usual goal that a request waits.
			tbd.publish(func(doc *fake.Document) { doc.TargetLatencies = map[string]int{"log": 4000} })
			for _, ep := range tbd.plain {
				ep.DurationOf = func(id string) time.Duration {
					if !strings.HasPrefix(id, "both-") {
						return 0
					}
					return time.Duration(1+rand.IntN(60)) * time.Millisecond
				}
			}
		})
		var grp sync.WaitGroup
		for i := range 4 {
			grp.Go(func() {
				defer ginkgo.GinkgoRecover()
				for k := range 150 {
					id := fmt.Sprintf("both-%d-%d", i, k)
					rsp := tbd.send(0, request{path: "/log/x", id: id})
					expect(rsp.err).NotTo(anything())
					expect(rsp.status).To(equal(http.StatusOK), rsp.body)
					expect(rsp.body).To(gomega.BeElementOf("answer of booking-0 to "+id, "answer of booking-1 to "+id))
					expect(tbd.plainRuns(id)).To(gomega.BeElementOf(1, 2))
				}
			})
		}
		grp.Wait()
		sent := tbd.hedges(meter.HedgeSent)
		expect(sent).To(gomega.BeNumerically(">", 10))
		expect(sent).To(gomega.BeNumerically("<=", int(0.2*(600+hedgeWarmup))))
		expect(tbd.hedges(meter.HedgeWon) + tbd.hedges(meter.HedgeLost) + tbd.hedges(meter.HedgeFailed)).To(equal(sent))
		tbd.expectIdle()
	})

	// Guards against a request that fails with one of its attempts although the other is in flight.
	ginkgo.It("is answered by one attempt if the other fails after both were sent", func() {
		tbd := newHedgeTestbed("/log/x")
		tbd.plain[0].QueueFaults(fake.Hangs)
		slowDown(300*time.Millisecond, tbd.plain[1])
		sent, ended := tbd.hedges(meter.HedgeSent), tbd.hedges(meter.HedgeWon)+tbd.hedges(meter.HedgeLost)
		reply := make(chan response, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			reply <- tbd.send(0, request{path: "/log/x"})
		}()
		eventually(func() int { return tbd.hedges(meter.HedgeSent) }, pollTimeout).Should(equal(sent + 1))
		eventually(func() bool {
			list := tbd.plain[0].Runs()
			return len(list) > 0 && list[len(list)-1].Fault == fake.Hangs
		}, pollTimeout).Should(gomega.BeTrue())
		tbd.servers["booking-0"].Close()
		rsp := <-reply
		expect(rsp.status).To(equal(http.StatusOK))
		expect(rsp.body).To(gomega.HavePrefix("answer of booking-1"))
		expect(tbd.hedges(meter.HedgeWon) + tbd.hedges(meter.HedgeLost)).To(equal(ended + 1))
		tbd.expectIdle()
	})

	// Guards against attempts that go on at their endpoints after the caller has left.
	ginkgo.It("is cancelled at both endpoints if its caller disconnects", func() {
		tbd := newHedgeTestbed("/log/x")
		sent, gone := tbd.hedges(meter.HedgeSent), tbd.plain[0].Disconnects()+tbd.plain[1].Disconnects()
		injectFaults(tbd.plain, fake.Hangs, fake.Hangs)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		expect(tbd.sendCtx(ctx, 0, request{path: "/log/x"}).err).To(anything())
		eventually(func() int { return tbd.plain[0].Disconnects() + tbd.plain[1].Disconnects() }, pollTimeout).Should(equal(gone + 2))
		expect(tbd.hedges(meter.HedgeSent)).To(equal(sent + 1))
		tbd.expectIdle()
	})

	// Guards against a stream whose caller gets events of two attempts.
	ginkgo.It("that streams is answered by one engine", func() {
		tbd := newHedgeTestbed("/stream/x")
		tbd.engines[0].QueueFaults(fake.Hangs, fake.Hangs, fake.Hangs, fake.Hangs)
		for i := 0; i < 12 || i < 60 && tbd.hedges(meter.HedgeWon) == 0; i++ {
			rsp := tbd.send(0, request{path: "/stream/x", body: strconv.Itoa(i)})
			expect(rsp.status).To(equal(http.StatusOK))
			expect(rsp.body).To(equal("id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"))
		}
		expect(tbd.hedges(meter.HedgeWon)).To(gomega.BeNumerically(">", 0))
	})

	// Guards against hedges of what may run once only.
	ginkgo.It("is none that may run once only", func() {
		tbd := newHedgeTestbed("/booking/x")
		slowDown(5*hedgeService, tbd.plain...)
		before := len(runs(tbd.plain))
		for range 30 {
			expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusOK))
		}
		expect(len(runs(tbd.plain)) - before).To(equal(30))
		expect(tbd.hedges(meter.HedgeSent)).To(equal(0))
		expect(tbd.hedges(hedge.Once.String())).To(gomega.BeNumerically(">=", 30))
	})

	// Guards against hedges that no operator has asked for.
	ginkgo.It("is none without a share of extra work", func() {
		tbd := newTestbed(1)
		tbd.warmUp("/log/x")
		slowDown(5*hedgeService, tbd.plain...)
		before := len(runs(tbd.plain))
		for range 30 {
			expect(tbd.send(0, request{path: "/log/x"}).status).To(equal(http.StatusOK))
		}
		expect(len(runs(tbd.plain)) - before).To(equal(30))
		expect(tbd.hedges(meter.HedgeSent)).To(equal(0))
	})

	// Guards against hedges to endpoints of an evacuated data centre.
	ginkgo.It("is sent to no evacuated endpoint", func() {
		tbd := newHedgeTestbed("/log/x")
		moved := tbd.moveZone()
		tbd.waitZones(tbd.nodes...)
		tbd.store.Evacuate(evacuatedZone)
		eventually(func() bool { return tbd.nodes[0].ctl.View().IsEvacuated(evacuatedZone) }, pollTimeout).Should(gomega.BeTrue())
		began := time.Now()
		slowDown(5*hedgeService, tbd.plain...)
		for range 20 {
			expect(tbd.send(0, request{path: "/log/x"}).status).To(equal(http.StatusOK))
		}
		expect(arrivedAfter(began, moved...)).To(gomega.BeEmpty())
		expect(tbd.hedges(hedge.NoSlot.String())).To(gomega.BeNumerically(">", 0))
	})

	// Guards against hedges at a pool that has cold endpoints.
	ginkgo.It("is sent to no cold endpoint", func() {
		tbd := newHedgeTestbed("/stream/x")
		tbd.publishCold()
		ep := tbd.startCold("engine-2")
		eventually(func() bool { return tbd.nodes[0].ctl.View().IsCold("engines") }, pollTimeout).Should(gomega.BeTrue())
		sent := tbd.hedges(meter.HedgeSent)
		for _, oth := range tbd.engines {
			oth.PromptDuration = 5 * hedgeService
		}
		for i := range 8 {
			tbd.send(0, request{path: "/stream/x", body: strconv.Itoa(i)})
		}
		expect(tbd.nodes[0].ctl.View().IsCold("engines")).To(gomega.BeTrue())
		expect(tbd.hedges(meter.HedgeSent)).To(equal(sent))
		expect(tbd.hedges(hedge.Scarce.String())).To(gomega.BeNumerically(">", 0))
		_, _, crashed := ep.ColdLoad()
		expect(crashed).To(gomega.BeFalse())
	})
})
