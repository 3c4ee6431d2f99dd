package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/platform/fake"
)

// startPlaces is how many requests an instance has at a time at an endpoint that it knows
// nothing of yet.
const startPlaces = 4

var _ = ginkgo.Describe("a request", func() {
	ginkgo.It("passes to an endpoint to the letter, with the system's own headers and none of a caller's making", func() {
		wld := newWorld(1)
		ans := wld.send(0, ask{path: "/booking/a%2Fb//c?q=1&q=%20", id: "r1", body: "two crews", header: map[string]string{
			fake.HeaderTenant: "shiretoko", fake.HeaderTarget: "other", fake.HeaderHold: "h",
			fake.HeaderKvFrom: "x", "Connection": "X-Mine", "X-Mine": "1", "X-Other": "kept",
		}})
		expect(ans.status).To(equal(http.StatusOK))
		expect(ans.header.Get(fake.HeaderSignature)).To(equal("sig-r1"))
		ran := runs(wld.plain)
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

	ginkgo.It("is refused with a status that says why", func() {
		wld := newWorld(1)
		expect(wld.send(0, ask{path: "/nowhere/x"}).status).To(equal(http.StatusNotFound))
		expect(wld.send(0, ask{path: "/booking/x", header: map[string]string{fake.HeaderAuthorize: fake.Bearer + "wrong"}}).status).To(equal(http.StatusUnauthorized))
		expect(wld.send(0, ask{path: "/open/x", header: map[string]string{fake.HeaderAuthorize: ""}}).status).To(equal(http.StatusOK))
		expect(wld.send(0, ask{path: "/booking/x", body: strings.Repeat("x", 10001)}).status).To(equal(http.StatusRequestEntityTooLarge))
		expect(wld.send(0, ask{path: "/booking/x", header: map[string]string{"X-Long": strings.Repeat("x", 4096)}}).status).To(equal(http.StatusRequestHeaderFieldsTooLarge))
		expect(wld.send(0, ask{path: "/booking/x", header: map[string]string{fake.HeaderDeadline: "soon"}}).status).To(equal(http.StatusBadRequest))
		expect(runs(wld.plain)).To(gomega.HaveLen(1))
	})

	// An endpoint runs a booking and its connection is cut before the answer. The
	// caller is told 502: it may have run. No other endpoint gets it, for the
	// second booking would put two crews into one block.
	ginkgo.It("that may not be repeated is not, once it may have run", func() {
		wld := newWorld(1)
		for _, flt := range []fake.Fault{fake.Cuts, fake.Foreign, fake.Unsigned} {
			before := len(runs(wld.plain))
			fault(wld.plain, flt)
			expect(wld.send(0, ask{path: "/booking/x"}).status).To(equal(http.StatusBadGateway))
			expect(runs(wld.plain)).To(gomega.HaveLen(before + 1))
			for _, ep := range wld.plain {
				ep.ClearFaults()
			}
		}
	})

	// An endpoint is full and gives its word that it ran nothing. The caller gets
	// the answer of another one, also to a booking. When both refuse, the caller is
	// told 503 with when to come back, and nothing has run.
	ginkgo.It("goes to another endpoint when nothing ran", func() {
		wld := newWorld(1)
		wld.plain[0].QueueFaults(fake.Shed)
		expect(wld.send(0, ask{path: "/booking/x"}).status).To(equal(http.StatusOK))
		expect(wld.send(0, ask{path: "/booking/x"}).status).To(equal(http.StatusOK))
		expect(runs(wld.plain)).To(gomega.HaveLen(2))
		fault(wld.plain, fake.Shed)
		ans := wld.send(0, ask{path: "/booking/x"})
		expect(ans.status).To(equal(http.StatusServiceUnavailable))
		expect(ans.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		expect(runs(wld.plain)).To(gomega.HaveLen(2))
	})

	// A look into a log is a GET without a body; net/http's client would repeat it
	// by itself. Its endpoint cuts the connection: one repeat, at another endpoint,
	// and no more than the route allows.
	ginkgo.It("that is idempotent is repeated as often as its route allows", func() {
		wld := newWorld(1)
		fault(wld.plain, fake.Cuts)
		ans := wld.send(0, ask{path: "/log/x", method: http.MethodGet})
		expect(ans.status).To(equal(http.StatusBadGateway))
		expect(runs(wld.plain)).To(gomega.HaveLen(2))
		fault(wld.plain, fake.Fails)
		ans = wld.send(0, ask{path: "/log/x", method: http.MethodGet})
		expect(ans.status).To(equal(http.StatusInternalServerError))
		expect(ans.header.Get(fake.HeaderSignature)).NotTo(gomega.BeEmpty())
		expect(runs(wld.plain)).To(gomega.HaveLen(4))
	})

	// One of two endpoints hangs while its health and its entry are good. A look into
	// the log may be repeated: its caller has the other one's answer as soon as the first
	// has taken far longer than usual, not when the route's time is up. A booking stays
	// where it is, for it may have run.
	ginkgo.It("that may be repeated doesn't wait for an endpoint that hangs", func() {
		wld := newWorld(1)
		for range 5 {
			expect(wld.send(0, ask{path: "/log/x", method: http.MethodGet}).status).To(equal(http.StatusOK))
		}
		wld.plain[0].QueueFaults(fake.Hangs)
		wld.plain[0].QueueFaults(fake.Hangs)
		ran := len(wld.plain[0].Runs())
		// Until one has met it.
		for sent := 0; sent < 4 || len(wld.plain[0].Runs()) == ran; sent++ {
			began := time.Now()
			expect(wld.send(0, ask{path: "/log/x", method: http.MethodGet}).status).To(equal(http.StatusOK))
			expect(time.Since(began)).To(gomega.BeNumerically("<", 900*time.Millisecond))
		}
		for _, ep := range wld.plain {
			ep.ClearFaults()
		}
		wld.publish(func(doc *fake.Document) { doc.Timeouts = map[string]int{"booking": 900} })
		eventually(func() int64 { return wld.nodes[0].ctl.View().Plan().Version() }, soon).Should(equal(int64(wld.version)))
		fault(wld.plain, fake.Hangs)
		before := len(runs(wld.plain))
		expect(wld.send(0, ask{path: "/booking/x"}).status).To(equal(http.StatusGatewayTimeout))
		expect(len(runs(wld.plain))).To(gomega.BeNumerically("<=", before+1))
	})

	// Guards against an answer that is given up for another attempt, which isn't allowed any more.
	ginkgo.It("that may be repeated is left at its endpoint once its token is gone", func() {
		wld := newWorld(1)
		for _, ep := range wld.plain {
			ep.Duration, ep.DelayedDuration = 100*time.Millisecond, 2*time.Second
		}
		for range 5 {
			expect(wld.send(0, ask{path: "/log/x", method: http.MethodGet}).status).To(equal(http.StatusOK))
		}
		fault(wld.plain, fake.Delayed)
		before := len(runs(wld.plain))
		done := make(chan got, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			done <- wld.send(0, ask{path: "/log/x", method: http.MethodGet})
		}()
		eventually(func() int { return len(runs(wld.plain)) }, soon).Should(equal(before + 1))
		wld.keys = []string{"another"}
		wld.publish(nil)
		var ans got
		eventually(done, soon).Should(gomega.Receive(&ans))
		expect(ans.status).To(equal(http.StatusOK), ans.body)
	})

	// Guards against a request that runs after its token was taken away, because it was looked
	// at before its endpoint had room.
	ginkgo.It("that waits for an endpoint is not sent once its token is gone", func() {
		wld := newWorld(1)
		patient := func(doc *fake.Document) {
			doc.Timeouts, doc.TargetLatencies = map[string]int{"booking": 20000}, map[string]int{"booking": 16000}
		}
		wld.publish(patient)
		known := func() int64 { return wld.nodes[0].ctl.View().Plan().Version() }
		eventually(known, soon).Should(equal(int64(wld.version)))
		for _, ep := range wld.plain {
			ep.Duration = time.Second
		}
		book := func(id string) got {
			return wld.send(0, ask{path: "/booking/x", id: id, header: map[string]string{fake.HeaderDeadline: "20000"}})
		}
		var wgr sync.WaitGroup
		for i := range 2 * startPlaces {
			wgr.Go(func() { book(fmt.Sprintf("full-%d", i)) })
		}
		eventually(func() int { return len(runs(wld.plain)) }, soon).Should(equal(2 * startPlaces))
		done := make(chan got, 1)
		go func() { done <- book("late") }()
		eventually(func() int64 { return wld.nodes[0].front.InFlight() }, soon).Should(equal(int64(2*startPlaces + 1)))
		wld.keys = []string{"another"}
		wld.publish(patient)
		eventually(known, soon).Should(equal(int64(wld.version)))
		var ans got
		eventually(done, soon).Should(gomega.Receive(&ans))
		expect(ans.status).To(equal(http.StatusServiceUnavailable), ans.body)
		expect(ans.body).To(gomega.ContainSubstring("token"))
		wgr.Wait()
		for _, run := range runs(wld.plain) {
			expect(run.ID).NotTo(equal("late"))
		}
	})

	// An endpoint dies behind a connection that went silent, and starts again under its name.
	// A look into the log is under way there. As soon as the new run is listed, the call
	// is ended and the other endpoint answers; a booking is told as unknown at once.
	ginkgo.It("is not left with an endpoint that has started again", func() {
		wld := newWorld(1)
		for i, ep := range wld.plain {
			entry := fake.Entry("bookings", wld.servers[ep.ID()].Addr(), false)
			entry["born"] = 1790000000000 + i
			wld.store.PutEndpoint(ep.ID(), entry)
		}
		eventually(func() bool {
			return !slices.ContainsFunc(wld.nodes[0].ctl.View().Endpoints(), func(ep proto.Endpoint) bool {
				return ep.Pool == "bookings" && ep.ID.StartedAt() == 0
			})
		}, soon).Should(gomega.BeTrue())
		fault(wld.plain, fake.Hangs)
		done := make(chan got, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			done <- wld.send(0, ask{path: "/booking/x"})
		}()
		eventually(func() int { return len(runs(wld.plain)) }, soon).Should(equal(1))
		for _, ep := range wld.plain {
			entry := fake.Entry("bookings", wld.servers[ep.ID()].Addr(), false)
			entry["born"] = 1790000009000
			wld.store.PutEndpoint(ep.ID(), entry)
		}
		var ans got
		eventually(done, 3*time.Second).Should(gomega.Receive(&ans))
		expect(ans.status).To(equal(http.StatusBadGateway))
	})

	// A caller leaves while its endpoint works. The endpoint's connection is closed
	// within half a second, so that its place is free for others.
	ginkgo.It("whose caller leaves is let go at its endpoint", func() {
		wld := newWorld(1)
		fault(wld.plain, fake.Hangs)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		expect(wld.sendCtx(ctx, 0, ask{path: "/booking/x"}).err).To(anything())
		eventually(func() int { return wld.plain[0].Disconnects() + wld.plain[1].Disconnects() }, 500*time.Millisecond).Should(equal(1))
	})

	// An endpoint hangs until the route's time is up. The caller gets its final
	// answer then, 504, for it may have run.
	ginkgo.It("is answered when its route's time is up", func() {
		wld := newWorld(1)
		wld.publish(func(doc *fake.Document) { doc.Timeouts = map[string]int{"booking": 300} })
		eventually(func() int64 { return wld.nodes[0].ctl.View().Plan().Version() }, soon).Should(equal(int64(wld.version)))
		fault(wld.plain, fake.Hangs)
		began := time.Now()
		expect(wld.send(0, ask{path: "/booking/x"}).status).To(equal(http.StatusGatewayTimeout))
		expect(time.Since(began)).To(gomega.BeNumerically("<", 800*time.Millisecond))
	})
})

var _ = ginkgo.Describe("a stream", func() {
	const whole = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"

	// An engine crashes in the middle of an event. The route may be resumed: the
	// caller sees every event once, under the head of the first engine.
	ginkgo.It("goes on at another engine after the last whole event", func() {
		wld := newWorld(1)
		first := wld.engines[0]
		first.QueueFaults(fake.CutsMidway)
		ans := wld.send(0, ask{path: "/stream/x", id: "s1"})
		if len(first.Runs()) == 0 {
			// The request went to the other one; this time the first is full.
			wld.engines[1].QueueFaults(fake.CutsMidway)
			first.ClearFaults()
			ans = wld.send(0, ask{path: "/stream/x", id: "s1"})
		}
		expect(ans.err).NotTo(anything())
		expect(ans.body).To(equal(whole))
		after := ""
		for _, run := range runs(wld.engines) {
			if last := run.Header.Get(fake.HeaderLastEvent); last != "" {
				after = last
			}
		}
		expect(after).To(equal("1"))
	})

	// The same on a route that can't be resumed: the caller's connection breaks, so
	// that the part that came doesn't look like the whole.
	ginkgo.It("that can't be resumed breaks off at the caller too", func() {
		wld := newWorld(1)
		fault(wld.engines, fake.CutsMidway)
		ans := wld.send(0, ask{path: "/stream-once/x"})
		expect(ans.err).To(anything())
		expect(runs(wld.engines)).To(gomega.HaveLen(1))
	})

	ginkgo.It("runs with the results of its stages, which are given back", func() {
		wld := newWorld(2)
		ans := wld.send(0, ask{path: "/stream-staged/x", id: "st1", header: map[string]string{
			fake.HeaderItems: "2,3", fake.HeaderItemKey: "pk",
		}})
		expect(ans.status).To(equal(http.StatusOK), ans.body)
		expect(ans.body).To(equal(whole))
		var calls [][]string
		for _, mkr := range wld.makers {
			calls = append(calls, mkr.Batches()...)
		}
		pieces := slices.Sorted(slices.Values(slices.Concat(calls...)))
		expect(pieces).To(equal([]string{"st1/0/0", "st1/0/1", "st1/1/0", "st1/1/1", "st1/1/2"}))
		inputs := runs(wld.engines)[0].Header.Get(fake.HeaderInputs)
		expect(strings.Count(inputs, "/1-")).To(equal(3))
		expect(strings.Index(inputs, "/1-0-") < strings.Index(inputs, "/1-1-")).To(gomega.BeTrue())
		eventually(func() int { return held(wld.makers) }, soon).Should(equal(0))
	})

	// An engine has fetched what the request takes and reads the prompt for seconds.
	// The results are given back meanwhile: held until the first event they took the
	// room that other requests' pieces waited for.
	ginkgo.It("gives back what its engine has fetched before the first event", func() {
		wld := newWorld(2)
		fault(wld.engines, fake.Hangs)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			defer ginkgo.GinkgoRecover()
			wld.sendCtx(ctx, 0, ask{path: "/stream-staged/x", header: map[string]string{
				fake.HeaderItems: "2,3", fake.HeaderItemKey: "pk",
			}})
		}()
		eventually(func() int { return len(runs(wld.engines)) }, soon).Should(equal(1))
		eventually(func() int { return held(wld.makers) }, time.Second).Should(equal(0))
		expect(wld.engines[0].Disconnects()+wld.engines[1].Disconnects()).To(equal(0), "the engine still works")
	})

	// One instance gathers the pieces of a pool that has work for seconds. A caller with
	// less time comes to the other, which has sent no order yet and so was never told
	// of the queue. It is refused at once, not when its time is up.
	ginkgo.It("is refused at once when the queue at another instance is too long for it", func() {
		wld := newWorld(2)
		for _, mkr := range wld.makers {
			mkr.Duration = 300 * time.Millisecond
		}
		home := 0
		if wld.nodes[0].ctl.View().Coordinators("rosters")[0] != wld.nodes[0].ctl.Self() {
			home = 1
		}
		staged := func(ctx context.Context, node int, left string) got {
			return wld.sendCtx(ctx, node, ask{path: "/stream-staged/x", header: map[string]string{
				fake.HeaderItems: "4,1", fake.HeaderItemKey: "pk", fake.HeaderDeadline: left,
			}})
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 40 {
			go func() {
				defer ginkgo.GinkgoRecover()
				staged(ctx, home, "20000")
			}()
		}
		eventually(func() int { return len(wld.makers[0].Batches()) + len(wld.makers[1].Batches()) }, soon).Should(gomega.BeNumerically(">=", 2))
		began := time.Now()
		ans := staged(context.Background(), 1-home, "1500")
		expect(ans.status).To(equal(http.StatusServiceUnavailable))
		expect(ans.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	})

	// A stage's call is under way for some hundred milliseconds; its maker fetched the results
	// that it takes in the first moment. They are given back while it works.
	ginkgo.It("gives back what a stage has fetched while its call is under way", func() {
		wld := newWorld(2)
		for _, mkr := range wld.makers {
			mkr.Duration = 300 * time.Millisecond
		}
		done := make(chan got, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			done <- wld.send(0, ask{path: "/stream-staged/x", id: "early", header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
			}})
		}()
		eventually(func() int { return held(wld.makers) }, soon).Should(equal(1))
		eventually(func() int { return held(wld.makers) }, soon).Should(equal(0))
		expect(len(wld.makers[0].Batches()) + len(wld.makers[1].Batches())).To(equal(1))
		var ans got
		eventually(done, soon).Should(gomega.Receive(&ans))
		expect(ans.status).To(equal(http.StatusOK))
	})

	// A maker dies with the results of a first stage; whoever is to take them is told
	// that they are gone. The stage is made again and the request is served, where it
	// was refused. A second loss refuses it.
	ginkgo.It("whose stage's results are lost has them made again, once", func() {
		wld := newWorld(2)
		staged := func() got {
			return wld.send(0, ask{path: "/stream-staged/x", header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
			}})
		}
		lose := func(times int) {
			for _, mkr := range wld.makers {
				mkr.LoseInputs(times)
			}
		}
		lose(1)
		expect(staged().status).To(equal(http.StatusOK))
		lose(4)
		ans := staged()
		expect(ans.status).To(equal(http.StatusServiceUnavailable))
		expect(ans.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		eventually(func() int { return held(wld.makers) }, soon).Should(equal(0))
	})

	// The caller leaves while the stages are made. What was made is given back, and
	// no engine gets the request.
	ginkgo.It("whose caller leaves gives back what was made for it", func() {
		wld := newWorld(2)
		for _, mkr := range wld.makers {
			mkr.Duration = 200 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		wld.sendCtx(ctx, 1, ask{path: "/stream-staged/x", header: map[string]string{
			fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
		}})
		eventually(func() int { return len(wld.makers[0].Batches()) + len(wld.makers[1].Batches()) }, soon).Should(gomega.BeNumerically(">=", 1))
		eventually(func() int { return held(wld.makers) }, soon).Should(equal(0))
		expect(runs(wld.engines)).To(gomega.BeEmpty())
	})

	// Guards against results that take room at their maker when nobody wants them any more.
	ginkgo.It("whose caller leaves between two stages gives back what was made for it", func() {
		wld := newWorld(2)
		wld.store.RemoveEndpoint(wld.makers[1].ID())
		for _, nod := range wld.nodes {
			eventually(func() bool {
				return slices.ContainsFunc(nod.ctl.View().Endpoints(), func(ep proto.Endpoint) bool { return ep.ID.Name() == wld.makers[1].ID() })
			}, soon).Should(gomega.BeFalse())
		}
		// The first stage is made, the second one is refused until its time is up.
		mkr := wld.makers[0]
		mkr.QueueFaults(fake.None)
		for range 1000 {
			mkr.QueueFaults(fake.Shed)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan got, 1)
		go func() {
			done <- wld.sendCtx(ctx, 1, ask{path: "/stream-staged/x", header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
			}})
		}()
		eventually(mkr.ResultCount, soon).Should(equal(1))
		expect(mkr.Batches()).To(gomega.HaveLen(1))
		cancel()
		eventually(done, soon).Should(gomega.Receive())
		eventually(mkr.ResultCount, soon).Should(equal(0))
		expect(mkr.Batches()).To(gomega.HaveLen(1))
		expect(runs(wld.engines)).To(gomega.BeEmpty())
	})

	// The instance that gathers a pool's pieces dies without a word. Requests at the
	// other one are served all the same.
	ginkgo.It("outlives the instance that gathers its pieces", func() {
		wld := newWorld(2)
		dead := 0
		if wld.nodes[0].ctl.View().Coordinators("rosters")[0] != wld.nodes[0].ctl.Self() {
			dead = 1
		}
		wld.nodes[dead].Kill()
		ans := wld.send(1-dead, ask{path: "/stream-staged/x", header: map[string]string{
			fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk",
		}})
		expect(ans.body).To(equal(whole))
	})

	// One instance places the prompts of all and dies. Others ask it for a moment until they
	// know; each request waits for its word for a fraction of the time of a prompt and is
	// then placed by the instance that has it.
	ginkgo.It("outlives the instance that places its prompt", func() {
		wld := newWorld(3)
		placer := wld.nodes[0].ctl.View().Coordinators("engines")[0]
		dead := slices.IndexFunc(wld.nodes, func(nod *Node) bool { return nod.ctl.Self() == placer })
		expect(dead).To(gomega.BeNumerically(">=", 0))
		send := func() (got, time.Duration) {
			began := time.Now()
			ans := wld.send((dead+1)%3, ask{path: "/stream/x", header: map[string]string{fake.HeaderPrefix: "a1:100,b2:50", fake.HeaderTokens: "150,8"}})
			return ans, time.Since(began)
		}
		_, usual := send()
		wld.nodes[dead].Kill()
		for range 5 {
			ans, took := send()
			expect(ans.status).To(equal(http.StatusOK))
			expect(ans.body).To(equal(whole))
			expect(took).To(gomega.BeNumerically("<", usual+600*time.Millisecond))
		}
	})
})
