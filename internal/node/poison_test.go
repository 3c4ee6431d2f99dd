package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/stand"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/platform/fake"
)

const (
	// deadly is a body under which engines end.
	deadly = "this prompt ends engines"
	// backAfterEnd is how long after its end an engine is there again, under another name.
	backAfterEnd = 300 * time.Millisecond
	// spreadWithin is the time in which all instances must know what one has learned.
	spreadWithin = 3 * time.Second
)

// crashes has engines end under requests, and counts.
type crashes struct {
	wld *world
	mtx sync.Mutex
	// reached are the instants at which requests with the deadly body reached engines.
	reached []time.Time
	next    int
	sent    int
	// over tells that the test has ended.
	over bool
}

// endsEngines adds engines, and has all of them end on requests with the deadly body.
func (wld *world) endsEngines(more int) *crashes {
	crs := &crashes{wld: wld, next: len(wld.engines)}
	wld.defers(func() {
		crs.mtx.Lock()
		defer crs.mtx.Unlock()
		crs.over = true
	})
	crs.rearm()
	for range more {
		crs.add()
	}
	for _, nod := range wld.nodes {
		eventually(func() int {
			return len(slices.DeleteFunc(slices.Clone(nod.ctl.View().Endpoints()), func(ep proto.Endpoint) bool { return ep.Pool != "engines" }))
		}, soon).Should(equal(len(wld.engines)))
	}
	return crs
}

func (crs *crashes) add() {
	crs.mtx.Lock()
	defer crs.mtx.Unlock()
	if crs.over {
		return
	}
	ep := crs.wld.add("engines", fmt.Sprintf("engine-%d", crs.next))
	crs.next++
	crs.wld.engines = append(crs.wld.engines, ep)
	crs.arm(ep, crs.wld.servers[ep.ID()])
}

// rearm has all engines end on such requests again.
func (crs *crashes) rearm() {
	crs.mtx.Lock()
	defer crs.mtx.Unlock()
	for _, ep := range crs.wld.engines {
		crs.arm(ep, crs.wld.servers[ep.ID()])
	}
}

// arm has an engine end, its entry go and another one come.
func (crs *crashes) arm(ep *fake.Endpoint, srv *stand.Server) {
	ep.CrashOn(deadly, func() {
		crs.mtx.Lock()
		crs.reached = append(crs.reached, time.Now())
		crs.mtx.Unlock()
		srv.Close()
		time.AfterFunc(backAfterEnd, func() {
			crs.wld.store.RemoveEndpoint(ep.ID())
			crs.add()
		})
	})
}

// all lists the engines that there were so far.
func (crs *crashes) all() []*fake.Endpoint {
	crs.mtx.Lock()
	defer crs.mtx.Unlock()
	return slices.Clone(crs.wld.engines)
}

// count gives how many deadly requests reached engines so far.
func (crs *crashes) count() int {
	crs.mtx.Lock()
	defer crs.mtx.Unlock()
	return len(crs.reached)
}

// repeat has the deadly request come again for a span, to one instance after the other.
func (crs *crashes) repeat(span time.Duration) []got {
	var list []got
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		crs.sent++
		list = append(list, crs.wld.send(crs.sent%len(crs.wld.nodes), ask{path: "/stream-once/plan", body: deadly}))
	}
	return list
}

var _ = ginkgo.Describe("a request under which engines end", func() {
	// Guards against repeats of it that reach engines without bound, since each instance has
	// seen but some of the ends.
	ginkgo.It("reaches no more than three once all could know of three ends", func() {
		wld := newWorld(4)
		crs := wld.endsEngines(4)
		for crs.count() < 3 {
			crs.repeat(time.Millisecond)
		}
		crs.repeat(spreadWithin)
		before := crs.count()
		crs.repeat(3 * time.Second)
		expect(crs.count() - before).To(gomega.BeNumerically("<=", 3))
		expect(wld.send(0, ask{path: "/stream-once/plan", body: "another plan"}).status).To(equal(http.StatusOK))
	})

	// Guards against a refusal that has its caller come back in vain, and against one that doesn't
	// tell what it goes by.
	ginkgo.It("is refused at once then, with the endpoints that ended and without a time to come back", func() {
		wld := newWorld(2)
		crs := wld.endsEngines(4)
		var last got
		eventually(func() string {
			last = crs.repeat(time.Millisecond)[0]
			return last.body
		}, soon).Should(gomega.ContainSubstring(`"quarantined"`))
		expect(last.status).To(equal(http.StatusServiceUnavailable))
		expect(last.header).NotTo(gomega.HaveKey("Retry-After"))
		expect(last.body).To(gomega.MatchRegexp(`3 endpoints crashed under this request: engine-\d+ .*s ago, reported by 127.*; engine-\d+ .*; engine-\d+`))
	})

	// Guards against an end that counts at the instance alone that saw it.
	ginkgo.It("is refused by all once each of three instances has seen one end", func() {
		wld := newWorld(4)
		crs := wld.endsEngines(4)
		for crs.count() < 3 {
			wld.send(crs.count(), ask{path: "/stream-once/plan", body: deadly})
		}
		time.Sleep(200 * time.Millisecond)
		for i := range wld.nodes {
			expect(wld.send(i, ask{path: "/stream-once/plan", body: deadly}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
		expect(crs.count()).To(equal(3))
	})

	// Guards against a request that is refused since its connections were cut, by endpoints that
	// go on, and by endpoints that left as they had said.
	ginkgo.It("is not one whose connections are cut, or whose endpoints leave", func() {
		wld := newWorld(2)
		for i := range 6 {
			fault(wld.plain, fake.Cuts, fake.Cuts)
			expect(wld.send(i%2, ask{path: "/booking/x", body: "cut"}).status).To(equal(http.StatusBadGateway))
			for _, ep := range wld.plain {
				ep.ClearFaults()
			}
		}
		var grp sync.WaitGroup
		for i := range 3 {
			id := fmt.Sprintf("leaving-%d", i)
			ep := wld.add("bookings", id)
			for _, old := range wld.plain {
				wld.entry("bookings", old.ID(), wld.servers[old.ID()].Addr(), true)
			}
			wld.plain = []*fake.Endpoint{ep}
			eventually(func() bool { return wld.nodes[0].pools.HasUsable("bookings", 1) }, soon).Should(gomega.BeTrue())
			ep.QueueFaults(fake.Hangs)
			grp.Go(func() { wld.send(0, ask{path: "/booking/x", body: "left"}) })
			eventually(func() int { return len(ep.Runs()) }, soon).Should(equal(1))
			wld.entry("bookings", id, wld.servers[id].Addr(), true)
			eventually(func() bool { return wld.nodes[0].pools.HasUsable("bookings", 0) }, soon).Should(gomega.BeTrue())
			wld.servers[id].Close()
			grp.Wait()
		}
		time.Sleep(200 * time.Millisecond)
		expect(wld.nodes[0].ctl.View().Suspects().Empty()).To(gomega.BeTrue())
	})

	// Guards against requests of others that are refused with it: same target and body of another
	// caller, another body or target of the same one.
	ginkgo.It("has no other request refused", func() {
		wld := newWorld(2)
		crs := wld.endsEngines(4)
		eventually(func() string { return crs.repeat(time.Millisecond)[0].body }, soon).Should(gomega.ContainSubstring(`"quarantined"`))
		ended := crs.count()
		for i := range wld.nodes {
			expect(wld.send(i, ask{path: "/stream-once/plan", body: "another"}).status).To(equal(http.StatusOK))
			expect(wld.send(i, ask{path: "/stream-once/plan?again", body: deadly}).body).NotTo(gomega.ContainSubstring(`"quarantined"`))
		}
		expect(crs.count()).To(equal(ended + 2))
	})

	// Guards against an instance that starts, or was cut off from the others, and lets the request
	// in that all others refuse.
	ginkgo.It("is refused by an instance that starts later, and by one that was cut off", func() {
		var off atomic.Bool
		wld := newWorld(0)
		for range 3 {
			wld.startLinked(func(nod *Node) {
				last := len(wld.nodes) == 2
				nod.link.Partitioned = func(addr string) bool {
					return off.Load() && (last || addr == wld.nodes[2].link.Addr())
				}
			})
		}
		wld.meet()
		crs := wld.endsEngines(4)
		// What lies in the store must not reach the one that was cut off.
		wld.ways[2].cut.Store(true)
		off.Store(true)
		for crs.count() < 3 {
			wld.send(crs.count()%2, ask{path: "/stream-once/plan", body: deadly})
		}
		// Until the messages on the ends are given up.
		time.Sleep(1500 * time.Millisecond)
		off.Store(false)
		wld.start()
		time.Sleep(spreadWithin)
		ended := crs.count()
		for i := range wld.nodes {
			expect(wld.send(i, ask{path: "/stream-once/plan", body: deadly}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
		expect(crs.count()).To(equal(ended))
	})

	// Guards against instances that all ended, and whose successors let the request in again.
	ginkgo.It("is refused after all instances have ended", func() {
		wld := newWorld(3)
		crs := wld.endsEngines(4)
		for crs.count() < 3 {
			wld.send(crs.count(), ask{path: "/stream-once/plan", body: deadly})
		}
		time.Sleep(spreadWithin)
		for _, nod := range wld.nodes {
			nod.Kill()
		}
		wld.nodes = nil
		for range 3 {
			wld.start()
		}
		for i := range wld.nodes {
			expect(wld.send(i, ask{path: "/stream-once/plan", body: deadly}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
		expect(crs.count()).To(equal(3))
	})

	// Guards against requests that are refused since they were at endpoints that ended for another
	// reason, again and again, and ran in between.
	ginkgo.It("is cleared once an endpoint has run it", func() {
		wld := newWorld(2)
		crs := wld.endsEngines(4)
		for range 3 {
			ended := crs.count()
			eventually(func() int {
				crs.repeat(time.Millisecond)
				return crs.count()
			}, soon).Should(gomega.BeNumerically(">=", ended+2))
			time.Sleep(2 * backAfterEnd)
			for _, ep := range crs.all() {
				ep.CrashOn("", nil)
			}
			expect(crs.repeat(time.Millisecond)[0].status).To(equal(http.StatusOK))
			crs.rearm()
		}
	})

	// Guards against a request that is let in without bound since endpoints fail it now and then
	// before they run it.
	ginkgo.It("is not cleared by a failure", func() {
		wld := newWorld(2)
		crs := wld.endsEngines(4)
		for crs.count() < 2 {
			wld.send(crs.count(), ask{path: "/stream-once/plan", body: deadly})
		}
		time.Sleep(2 * backAfterEnd)
		for _, ep := range crs.all() {
			ep.CrashOn("", nil)
			ep.QueueFaults(fake.Fails)
		}
		expect(crs.repeat(time.Millisecond)[0].status).To(equal(http.StatusInternalServerError))
		for _, ep := range crs.all() {
			ep.ClearFaults()
		}
		crs.rearm()
		wld.send(0, ask{path: "/stream-once/plan", body: deadly})
		expect(crs.count()).To(equal(3))
		time.Sleep(200 * time.Millisecond)
		for i := range wld.nodes {
			expect(wld.send(i, ask{path: "/stream-once/plan", body: deadly}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
	})

	// Guards against pieces that are made, at endpoints that may end under them, for a request
	// that was quarantined while its first stage was made.
	ginkgo.It("has no further stage begun", func() {
		wld := newWorld(1)
		for _, ep := range wld.makers {
			ep.DelayedDuration = 300 * time.Millisecond
			ep.QueueFaults(fake.Delayed)
		}
		came := func() int { return len(wld.makers[0].Arrivals()) + len(wld.makers[1].Arrivals()) }
		before := came()
		answer := make(chan got, 1)
		go func() {
			answer <- wld.send(0, ask{path: staged, body: deadly, header: map[string]string{fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk"}})
		}()
		eventually(came, soon).Should(gomega.BeNumerically(">", before))
		for i := range 3 {
			wld.nodes[0].ctl.RecordCrash(poison.FingerprintOf(host, staged, "corella", []byte(deadly)), ident.Process(fmt.Sprintf("i-%d", i)))
		}
		var ans got
		eventually(answer, soon).Should(gomega.Receive(&ans))
		expect(ans.body).To(gomega.ContainSubstring(`"quarantined"`))
		for _, call := range slices.Concat(wld.makers[0].Batches(), wld.makers[1].Batches()) {
			expect(call).To(gomega.HaveEach(gomega.HaveSuffix("/0/0")))
		}
		eventually(func() int { return held(wld.makers) }, soon).Should(gomega.BeZero())
	})

	// Guards against a request that all instances let in at once when its quarantine is over.
	ginkgo.It("is let in once when its quarantine is over, and refused for longer then", func() {
		wld := newWorld(4)
		crs := wld.endsEngines(4)
		for _, ep := range wld.engines {
			ep.Duration = 600 * time.Millisecond
		}
		wld.endedBefore(11 * clock.Minute)
		first := make(chan got, 1)
		go func() { first <- wld.send(0, ask{path: "/stream-once/plan", body: deadly}) }()
		time.Sleep(300 * time.Millisecond)
		for range 3 {
			for i := range wld.nodes {
				expect(wld.send(i, ask{path: "/stream-once/plan", body: deadly}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
			}
		}
		expect((<-first).body).NotTo(gomega.ContainSubstring(`"quarantined"`))
		time.Sleep(2 * backAfterEnd)
		for i := range wld.nodes {
			expect(wld.send(i, ask{path: "/stream-once/plan", body: deadly}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
		expect(crs.count()).To(equal(1))
	})

	// Guards against a request that stays refused although what it ended was mended meanwhile, or
	// since nothing could be tried.
	ginkgo.It("is cleared when it runs after its quarantine, and tried again when nothing ran", func() {
		wld := newWorld(2)
		wld.endedBefore(11 * clock.Minute)
		fault(wld.engines, fake.Shed, fake.Shed, fake.Shed, fake.Shed)
		expect(wld.send(0, ask{path: "/stream-once/plan", body: deadly}).body).NotTo(gomega.ContainSubstring(`"quarantined"`))
		for _, ep := range wld.engines {
			ep.ClearFaults()
		}
		time.Sleep(300 * time.Millisecond)
		for range 3 {
			for i := range wld.nodes {
				expect(wld.send(i, ask{path: "/stream-once/plan", body: deadly}).status).To(equal(http.StatusOK), "instance %d", i)
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
})

// endedBefore has all instances know of three ends under the deadly request, so long ago.
func (wld *world) endedBefore(ago clock.Milli) {
	mrk := poison.FingerprintOf(host, "/stream-once/plan", "corella", []byte(deadly))
	var facts []gossip.Fact
	for i := range 3 {
		facts = append(facts, gossip.Fact{
			Kind: gossip.EndedUnder, Key: poison.Key(mrk, ident.Process(fmt.Sprintf("before-%d", i))), Value: "127.0.0.1:1", Version: 1, Age: ago,
		})
	}
	for _, nod := range wld.nodes {
		nod.ctl.Handle(context.Background(), peer.Message{Kind: peer.PushFacts, From: wld.nodes[0].ctl.Self(), To: nod.ctl.Self(), Facts: facts})
		eventually(func() bool { return nod.ctl.View().Suspects().OnTrial(mrk) }, soon).Should(gomega.BeTrue())
	}
}
