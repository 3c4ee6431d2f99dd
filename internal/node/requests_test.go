package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/platform/fake"
)

// initialSlots is the number of slots that an instance uses at an endpoint of unknown capacity.
const initialSlots = 4

var _ = ginkgo.Describe("a request", func() {
	ginkgo.It("is forwarded to an endpoint unchanged, with the system's own headers and none forged by a caller", func() {
		tbd := newTestbed(1)
		rsp := tbd.send(0, request{path: "/booking/a%2Fb//c?q=1&q=%20", id: "r1", body: "two crews", header: map[string]string{
			fake.HeaderTenant: "shiretoko", fake.HeaderTarget: "other", fake.HeaderHold: "h",
			fake.HeaderKvFrom: "x", "Connection": "X-Mine", "X-Mine": "1", "X-Other": "kept",
		}})
		expect(rsp.status).To(equal(http.StatusOK))
		expect(rsp.header.Get(fake.HeaderSignature)).To(equal("sig-r1"))
		ran := runs(tbd.plain)
		expect(ran).To(gomega.HaveLen(1))
		expect(ran[0].Target).To(equal("/booking/a%2Fb//c?q=1&q=%20"))
		expect(ran[0].Method + ran[0].Body + ran[0].ID).To(equal("POST" + "two crews" + "r1"))
		hdr := ran[0].Header
		expect(hdr.Get(fake.HeaderTenant)).To(equal("corella"))
		expect(hdr.Get(fake.HeaderPriority)).To(equal("1"))
		expect(hdr.Get("X-Other")).To(equal("kept"))
		for _, name := range []string{fake.HeaderAuthorize, fake.HeaderHold, fake.HeaderKvFrom, "X-Mine"} {
			expect(hdr).NotTo(gomega.HaveKey(name))
		}
	})

	ginkgo.It("is refused with a status that gives the reason", func() {
		tbd := newTestbed(1)
		expect(tbd.send(0, request{path: "/nowhere/x"}).status).To(equal(http.StatusNotFound))
		expect(tbd.send(0, request{path: "/booking/x", header: map[string]string{fake.HeaderAuthorize: fake.Bearer + "wrong"}}).status).To(equal(http.StatusUnauthorized))
		expect(tbd.send(0, request{path: "/open/x", header: map[string]string{fake.HeaderAuthorize: ""}}).status).To(equal(http.StatusOK))
		expect(tbd.send(0, request{path: "/booking/x", body: strings.Repeat("x", 10001)}).status).To(equal(http.StatusRequestEntityTooLarge))
		expect(tbd.send(0, request{path: "/booking/x", header: map[string]string{"X-Long": strings.Repeat("x", 4096)}}).status).To(equal(http.StatusRequestHeaderFieldsTooLarge))
		expect(tbd.send(0, request{path: "/booking/x", header: map[string]string{fake.HeaderDeadline: "soon"}}).status).To(equal(http.StatusBadRequest))
		expect(runs(tbd.plain)).To(gomega.HaveLen(1))
	})

	// An endpoint runs a booking and its connection is cut before the response. The caller gets
	// status 502, because the booking may have run. No other endpoint gets it: a second booking
	// would put two crews into one block.
	ginkgo.It("that may not be repeated is not repeated once it may have run", func() {
		tbd := newTestbed(1)
		for _, flt := range []fake.Fault{fake.Cuts, fake.Foreign, fake.Unsigned} {
			before := len(runs(tbd.plain))
			injectFaults(tbd.plain, flt)
			expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusBadGateway))
			expect(runs(tbd.plain)).To(gomega.HaveLen(before + 1))
			for _, ep := range tbd.plain {
				ep.ClearFaults()
			}
		}
	})

	// An endpoint is full and confirms that it ran nothing. The caller gets the response of another
	// endpoint, also to a booking. If both refuse, the caller gets status 503 with a retry-after
	// delay, and nothing has run.
	ginkgo.It("is sent to another endpoint if nothing has run", func() {
		tbd := newTestbed(1)
		tbd.plain[0].QueueFaults(fake.Shed)
		expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusOK))
		expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusOK))
		expect(runs(tbd.plain)).To(gomega.HaveLen(2))
		injectFaults(tbd.plain, fake.Shed)
		rsp := tbd.send(0, request{path: "/booking/x"})
		expect(rsp.status).To(equal(http.StatusServiceUnavailable))
		expect(rsp.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		expect(runs(tbd.plain)).To(gomega.HaveLen(2))
	})

	// Reading a log is a GET without a body, which the client of net/http would repeat on its own.
	// Its endpoint cuts the connection: the request is repeated once at another endpoint, and no
	// more often than the route allows.
	ginkgo.It("that is idempotent is repeated as often as its route allows", func() {
		tbd := newTestbed(1)
		injectFaults(tbd.plain, fake.Cuts)
		rsp := tbd.send(0, request{path: "/log/x", method: http.MethodGet})
		expect(rsp.status).To(equal(http.StatusBadGateway))
		expect(runs(tbd.plain)).To(gomega.HaveLen(2))
		injectFaults(tbd.plain, fake.Fails)
		rsp = tbd.send(0, request{path: "/log/x", method: http.MethodGet})
		expect(rsp.status).To(equal(http.StatusInternalServerError))
		expect(rsp.header.Get(fake.HeaderSignature)).NotTo(gomega.BeEmpty())
		expect(runs(tbd.plain)).To(gomega.HaveLen(4))
	})

	// One of two endpoints hangs while its health and its entry are good. Reading the log may be
	// repeated: its caller gets the response of the other endpoint as soon as the first has taken
	// far longer than usual, not when the request times out. A booking stays where it is, because
	// it may have run.
	ginkgo.It("that may be repeated does not wait for an endpoint that hangs", func() {
		tbd := newTestbed(1)
		for range 5 {
			expect(tbd.send(0, request{path: "/log/x", method: http.MethodGet}).status).To(equal(http.StatusOK))
		}
		tbd.plain[0].QueueFaults(fake.Hangs)
		tbd.plain[0].QueueFaults(fake.Hangs)
		ran := len(tbd.plain[0].Runs())
		// Send until one request has reached the endpoint that hangs.
		for sent := 0; sent < 4 || len(tbd.plain[0].Runs()) == ran; sent++ {
			began := time.Now()
			expect(tbd.send(0, request{path: "/log/x", method: http.MethodGet}).status).To(equal(http.StatusOK))
			expect(time.Since(began)).To(gomega.BeNumerically("<", 900*time.Millisecond))
		}
		for _, ep := range tbd.plain {
			ep.ClearFaults()
		}
		tbd.publish(func(doc *fake.Document) { doc.Timeouts = map[string]int{"booking": 900} })
		eventually(func() int64 { return tbd.nodes[0].ctl.View().Plan().Version() }, pollTimeout).Should(equal(int64(tbd.version)))
		injectFaults(tbd.plain, fake.Hangs)
		before := len(runs(tbd.plain))
		expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusGatewayTimeout))
		expect(len(runs(tbd.plain))).To(gomega.BeNumerically("<=", before+1))
	})

	// Guards against abandoning an attempt for another one that is not allowed any longer.
	ginkgo.It("that may be repeated is left at its endpoint once its token is revoked", func() {
		tbd := newTestbed(1)
		for _, ep := range tbd.plain {
			ep.Duration, ep.DelayedDuration = 100*time.Millisecond, 2*time.Second
		}
		for range 5 {
			expect(tbd.send(0, request{path: "/log/x", method: http.MethodGet}).status).To(equal(http.StatusOK))
		}
		injectFaults(tbd.plain, fake.Delayed)
		before := len(runs(tbd.plain))
		done := make(chan response, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			done <- tbd.send(0, request{path: "/log/x", method: http.MethodGet})
		}()
		eventually(func() int { return len(runs(tbd.plain)) }, pollTimeout).Should(equal(before + 1))
		tbd.keys = []string{"another"}
		tbd.publish(nil)
		var rsp response
		eventually(done, pollTimeout).Should(gomega.Receive(&rsp))
		expect(rsp.status).To(equal(http.StatusOK), rsp.body)
	})

	// Guards against a request that runs after its token was revoked because the token was checked
	// before an endpoint had a free slot.
	ginkgo.It("that waits for an endpoint is not sent once its token is revoked", func() {
		tbd := newTestbed(1)
		longTimeouts := func(doc *fake.Document) {
			doc.Timeouts, doc.TargetLatencies = map[string]int{"booking": 20000}, map[string]int{"booking": 16000}
		}
		tbd.publish(longTimeouts)
		version := func() int64 { return tbd.nodes[0].ctl.View().Plan().Version() }
		eventually(version, pollTimeout).Should(equal(int64(tbd.version)))
		for _, ep := range tbd.plain {
			ep.Duration = time.Second
		}
		book := func(id string) response {
			return tbd.send(0, request{path: "/booking/x", id: id, header: map[string]string{fake.HeaderDeadline: "20000"}})
		}
		var wgr sync.WaitGroup
		for i := range 2 * initialSlots {
			wgr.Go(func() { book(fmt.Sprintf("full-%d", i)) })
		}
		eventually(func() int { return len(runs(tbd.plain)) }, pollTimeout).Should(equal(2 * initialSlots))
		done := make(chan response, 1)
		go func() { done <- book("late") }()
		eventually(func() int64 { return tbd.nodes[0].front.InFlight() }, pollTimeout).Should(equal(int64(2*initialSlots + 1)))
		tbd.keys = []string{"another"}
		tbd.publish(longTimeouts)
		eventually(version, pollTimeout).Should(equal(int64(tbd.version)))
		var rsp response
		eventually(done, pollTimeout).Should(gomega.Receive(&rsp))
		expect(rsp.status).To(equal(http.StatusServiceUnavailable), rsp.body)
		expect(rsp.body).To(gomega.ContainSubstring("token"))
		wgr.Wait()
		for _, run := range runs(tbd.plain) {
			expect(run.ID).NotTo(equal("late"))
		}
	})

	// An endpoint crashes without closing its connections and restarts under the same name. As soon
	// as the new process is listed, the calls to the old one are ended: a request that may be
	// repeated is sent to another endpoint, and a booking is answered with the outcome unknown.
	ginkgo.It("is not left with an endpoint that has restarted", func() {
		tbd := newTestbed(1)
		for i, ep := range tbd.plain {
			entry := fake.Entry("bookings", tbd.servers[ep.ID()].Addr(), false)
			entry["born"] = 1790000000000 + i
			tbd.store.PutEndpoint(ep.ID(), entry)
		}
		eventually(func() bool {
			return !slices.ContainsFunc(tbd.nodes[0].ctl.View().Endpoints(), func(ep proto.Endpoint) bool {
				return ep.Pool == "bookings" && ep.ID.StartedAt() == 0
			})
		}, pollTimeout).Should(gomega.BeTrue())
		injectFaults(tbd.plain, fake.Hangs)
		done := make(chan response, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			done <- tbd.send(0, request{path: "/booking/x"})
		}()
		eventually(func() int { return len(runs(tbd.plain)) }, pollTimeout).Should(equal(1))
		for _, ep := range tbd.plain {
			entry := fake.Entry("bookings", tbd.servers[ep.ID()].Addr(), false)
			entry["born"] = 1790000009000
			tbd.store.PutEndpoint(ep.ID(), entry)
		}
		var rsp response
		eventually(done, 3*time.Second).Should(gomega.Receive(&rsp))
		expect(rsp.status).To(equal(http.StatusBadGateway))
	})

	// A caller disconnects while its endpoint works. The connection to the endpoint is closed within
	// half a second, so that its slot is free for other requests.
	ginkgo.It("whose caller disconnects is cancelled at its endpoint", func() {
		tbd := newTestbed(1)
		injectFaults(tbd.plain, fake.Hangs)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		expect(tbd.sendCtx(ctx, 0, request{path: "/booking/x"}).err).To(anything())
		eventually(func() int { return tbd.plain[0].Disconnects() + tbd.plain[1].Disconnects() }, 500*time.Millisecond).Should(equal(1))
	})

	// An endpoint hangs until the time-out of the route. The caller then gets the final status 504,
	// because the request may have run.
	ginkgo.It("is answered at the time-out of its route", func() {
		tbd := newTestbed(1)
		tbd.publish(func(doc *fake.Document) { doc.Timeouts = map[string]int{"booking": 300} })
		eventually(func() int64 { return tbd.nodes[0].ctl.View().Plan().Version() }, pollTimeout).Should(equal(int64(tbd.version)))
		injectFaults(tbd.plain, fake.Hangs)
		began := time.Now()
		expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusGatewayTimeout))
		expect(time.Since(began)).To(gomega.BeNumerically("<", 800*time.Millisecond))
	})
})

var _ = ginkgo.Describe("a stream", func() {
	const fullStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"

	// An engine crashes in the middle of an event. The route allows resumption: the caller gets
	// every event once, under the response head of the first engine.
	ginkgo.It("is resumed at another engine after the last complete event", func() {
		tbd := newTestbed(1)
		first := tbd.engines[0]
		first.QueueFaults(fake.CutsMidway)
		rsp := tbd.send(0, request{path: "/stream/x", id: "s1"})
		if len(first.Runs()) == 0 {
			// The request went to the other engine; this time that one cuts the stream.
			tbd.engines[1].QueueFaults(fake.CutsMidway)
			first.ClearFaults()
			rsp = tbd.send(0, request{path: "/stream/x", id: "s1"})
		}
		expect(rsp.err).NotTo(anything())
		expect(rsp.body).To(equal(fullStream))
		after := ""
		for _, run := range runs(tbd.engines) {
			if last := run.Header.Get(fake.HeaderLastEvent); last != "" {
				after = last
			}
		}
		expect(after).To(equal("1"))
	})

	// The same on a route that cannot be resumed: the connection to the caller is cut, so that the
	// partial stream does not look complete.
	ginkgo.It("that cannot be resumed is cut at the caller too", func() {
		tbd := newTestbed(1)
		injectFaults(tbd.engines, fake.CutsMidway)
		rsp := tbd.send(0, request{path: "/stream-once/x"})
		expect(rsp.err).To(anything())
		expect(runs(tbd.engines)).To(gomega.HaveLen(1))
	})

	ginkgo.It("runs with the results of its stages, which are then released", func() {
		tbd := newTestbed(2)
		rsp := tbd.send(0, request{path: "/stream-staged/x", id: "st1", header: map[string]string{
			fake.HeaderItems: "2,3", fake.HeaderItemKey: "pk",
		}})
		expect(rsp.status).To(equal(http.StatusOK), rsp.body)
		expect(rsp.body).To(equal(fullStream))
		var batches [][]string
		for _, stg := range tbd.stages {
			batches = append(batches, stg.Batches()...)
		}
		items := slices.Sorted(slices.Values(slices.Concat(batches...)))
		expect(items).To(equal([]string{"st1/0/0", "st1/0/1", "st1/1/0", "st1/1/1", "st1/1/2"}))
		inputs := runs(tbd.engines)[0].Header.Get(fake.HeaderInputs)
		expect(strings.Count(inputs, "/1-")).To(equal(3))
		expect(strings.Index(inputs, "/1-0-") < strings.Index(inputs, "/1-1-")).To(gomega.BeTrue())
		eventually(func() int { return resultCount(tbd.stages) }, pollTimeout).Should(equal(0))
	})

	// An engine has fetched the inputs of the request and processes the prompt for seconds. The
	// results are released meanwhile: kept until the first event, they would take the storage
	// that items of other requests wait for.
	ginkgo.It("releases the results that its engine has fetched before the first event", func() {
		tbd := newTestbed(2)
		injectFaults(tbd.engines, fake.Hangs)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			defer ginkgo.GinkgoRecover()
			tbd.sendCtx(ctx, 0, request{path: "/stream-staged/x", header: map[string]string{
				fake.HeaderItems: "2,3", fake.HeaderItemKey: "pk",
			}})
		}()
		eventually(func() int { return len(runs(tbd.engines)) }, pollTimeout).Should(equal(1))
		eventually(func() int { return resultCount(tbd.stages) }, time.Second).Should(equal(0))
		expect(tbd.engines[0].Disconnects()+tbd.engines[1].Disconnects()).To(equal(0), "the engine still runs the request")
	})

	// One instance coordinates a pool whose queue is seconds long. A caller with less time sends its
	// request to the other instance, which has sent no order yet and so has no estimate of the
	// queue. The request is refused at once, not at its deadline.
	ginkgo.It("is refused at once if the queue at the coordinator is too long for it", func() {
		tbd := newTestbed(2)
		for _, stg := range tbd.stages {
			stg.Duration = 300 * time.Millisecond
		}
		crd := 0
		if tbd.nodes[0].ctl.View().Coordinators("rosters")[0] != tbd.nodes[0].ctl.Self() {
			crd = 1
		}
		staged := func(ctx context.Context, node int, left string) response {
			return tbd.sendCtx(ctx, node, request{path: "/stream-staged/x", header: map[string]string{
				fake.HeaderItems: "4,1", fake.HeaderItemKey: "pk", fake.HeaderDeadline: left,
			}})
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 40 {
			go func() {
				defer ginkgo.GinkgoRecover()
				staged(ctx, crd, "20000")
			}()
		}
		eventually(func() int { return len(tbd.stages[0].Batches()) + len(tbd.stages[1].Batches()) }, pollTimeout).Should(gomega.BeNumerically(">=", 2))
		began := time.Now()
		rsp := staged(context.Background(), 1-crd, "1500")
		expect(rsp.status).To(equal(http.StatusServiceUnavailable))
		expect(rsp.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	})

	// A batch of a stage takes some hundred milliseconds; its endpoint fetches the input results at
	// the start. They are released while the batch runs.
	ginkgo.It("releases the results that a stage has fetched while its batch runs", func() {
		tbd := newTestbed(2)
		for _, stg := range tbd.stages {
			stg.Duration = 300 * time.Millisecond
		}
		done := make(chan response, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			done <- tbd.send(0, request{path: "/stream-staged/x", id: "early", header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
			}})
		}()
		eventually(func() int { return resultCount(tbd.stages) }, pollTimeout).Should(equal(1))
		eventually(func() int { return resultCount(tbd.stages) }, pollTimeout).Should(equal(0))
		expect(len(tbd.stages[0].Batches()) + len(tbd.stages[1].Batches())).To(equal(1))
		var rsp response
		eventually(done, pollTimeout).Should(gomega.Receive(&rsp))
		expect(rsp.status).To(equal(http.StatusOK))
	})

	// A stage endpoint crashes with the results of a first stage, and the next stage is answered
	// that its inputs are lost. The stage is recomputed and the request is served instead of
	// refused. A second loss leads to a refusal.
	ginkgo.It("whose stage results are lost has them recomputed once", func() {
		tbd := newTestbed(2)
		staged := func() response {
			return tbd.send(0, request{path: "/stream-staged/x", header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
			}})
		}
		// The recomputed stage may run at either endpoint.
		var losses atomic.Int64
		for _, stg := range tbd.stages {
			stg.LoseInputs(&losses)
		}
		losses.Store(1)
		expect(staged().status).To(equal(http.StatusOK))
		expect(losses.Load()).To(gomega.BeNumerically("<=", 0))
		losses.Store(4)
		rsp := staged()
		expect(rsp.status).To(equal(http.StatusServiceUnavailable))
		expect(rsp.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		eventually(func() int { return resultCount(tbd.stages) }, pollTimeout).Should(equal(0))
	})

	// The caller disconnects while the stages run. Their results are released, and no engine gets
	// the request.
	ginkgo.It("whose caller disconnects releases the results of its stages", func() {
		tbd := newTestbed(2)
		for _, stg := range tbd.stages {
			stg.Duration = 200 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		tbd.sendCtx(ctx, 1, request{path: "/stream-staged/x", header: map[string]string{
			fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
		}})
		eventually(func() int { return len(tbd.stages[0].Batches()) + len(tbd.stages[1].Batches()) }, pollTimeout).Should(gomega.BeNumerically(">=", 1))
		eventually(func() int { return resultCount(tbd.stages) }, pollTimeout).Should(equal(0))
		expect(runs(tbd.engines)).To(gomega.BeEmpty())
	})

	// Guards against results that take storage at their endpoint after their request has ended.
	ginkgo.It("whose caller disconnects between two stages releases the results of the first", func() {
		tbd := newTestbed(2)
		tbd.store.RemoveEndpoint(tbd.stages[1].ID())
		for _, nod := range tbd.nodes {
			eventually(func() bool {
				return slices.ContainsFunc(nod.ctl.View().Endpoints(), func(ep proto.Endpoint) bool { return ep.ID.Name() == tbd.stages[1].ID() })
			}, pollTimeout).Should(gomega.BeFalse())
		}
		// The first stage runs; the second one is refused until its deadline.
		stg := tbd.stages[0]
		stg.QueueFaults(fake.None)
		for range 1000 {
			stg.QueueFaults(fake.Shed)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan response, 1)
		go func() {
			done <- tbd.sendCtx(ctx, 1, request{path: "/stream-staged/x", header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
			}})
		}()
		eventually(stg.ResultCount, pollTimeout).Should(equal(1))
		expect(stg.Batches()).To(gomega.HaveLen(1))
		cancel()
		eventually(done, pollTimeout).Should(gomega.Receive())
		eventually(stg.ResultCount, pollTimeout).Should(equal(0))
		expect(stg.Batches()).To(gomega.HaveLen(1))
		expect(runs(tbd.engines)).To(gomega.BeEmpty())
	})

	// The coordinator of a pool crashes. Requests at the other instance are served nevertheless.
	ginkgo.It("survives a crash of the coordinator that batches its items", func() {
		tbd := newTestbed(2)
		dead := 0
		if tbd.nodes[0].ctl.View().Coordinators("rosters")[0] != tbd.nodes[0].ctl.Self() {
			dead = 1
		}
		tbd.nodes[dead].Kill()
		rsp := tbd.send(1-dead, request{path: "/stream-staged/x", header: map[string]string{
			fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
		}})
		expect(rsp.body).To(equal(fullStream))
	})

	// The coordinator that places all prompts crashes. The other instances query it until they
	// detect the crash: each request waits for the answer for a fraction of its prompt time and is
	// then placed by its own instance.
	ginkgo.It("survives a crash of the coordinator that places its prompt", func() {
		tbd := newTestbed(3)
		coordinator := tbd.nodes[0].ctl.View().Coordinators("engines")[0]
		dead := slices.IndexFunc(tbd.nodes, func(nod *Node) bool { return nod.ctl.Self() == coordinator })
		expect(dead).To(gomega.BeNumerically(">=", 0))
		send := func() (response, time.Duration) {
			began := time.Now()
			rsp := tbd.send((dead+1)%3, request{path: "/stream/x", header: map[string]string{fake.HeaderPrefix: "a1:100,b2:50", fake.HeaderTokens: "150,8"}})
			return rsp, time.Since(began)
		}
		_, usual := send()
		tbd.nodes[dead].Kill()
		for range 5 {
			rsp, took := send()
			expect(rsp.status).To(equal(http.StatusOK))
			expect(rsp.body).To(equal(fullStream))
			expect(took).To(gomega.BeNumerically("<", usual+600*time.Millisecond))
		}
	})
})
