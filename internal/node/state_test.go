package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform"
	"amaranthvalve/platform/fake"
)

var _ = ginkgo.Describe("an instance", func() {
	// The store falls silent. Requests without a token go on; those with one are
	// refused once it can't be known that the token is still in force, on every
	// instance, whatever the instances tell one another.
	ginkgo.It("honours tokens only while it knows them to be in force", func() {
		wld := newWorld(2)
		wld.store.SetMode(fake.Silent)
		eventually(func() int { return wld.send(0, ask{path: "/booking/x"}).status }, 2*soon).Should(equal(http.StatusServiceUnavailable))
		eventually(func() int { return wld.send(1, ask{path: "/booking/x"}).status }, soon).Should(equal(http.StatusServiceUnavailable))
		expect(wld.send(0, ask{path: "/open/x"}).status).To(equal(http.StatusOK))
		wld.store.SetMode(fake.Healthy)
		eventually(func() int { return wld.send(0, ask{path: "/booking/x"}).status }, 2*soon).Should(equal(http.StatusOK))
	})

	// A token is taken away. Within the bound no instance runs anything for it.
	// Guards against tokens that are refused at a system that is well, because what followers
	// know is older than tokens may be honoured for.
	ginkgo.It("honours tokens all the time where they may be honoured briefly", func() {
		wld := newTokensWorld(5, 1500)
		refused := map[string]int{}
		for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(10 * time.Millisecond) {
			for i := range wld.nodes {
				if ans := wld.send(i, ask{path: "/log/x", method: http.MethodGet}); ans.status != http.StatusOK {
					refused[ans.body]++
				}
			}
		}
		expect(refused).To(gomega.BeEmpty())
	})

	ginkgo.It("takes up a change at once", func() {
		wld := newWorld(2)
		wld.keys = []string{"another"}
		wld.publish(nil)
		for i := range wld.nodes {
			eventually(func() int { return wld.send(i, ask{path: "/booking/x"}).status }, 2*time.Second).Should(equal(http.StatusUnauthorized))
		}
	})

	// A document with a fault in one route: that route is left out, all others are
	// in force, and a document that is none changes nothing.
	ginkgo.It("loses nothing by a bad document", func() {
		wld := newWorld(1)
		wld.publish(func(doc *fake.Document) { doc.Kinds = map[string]string{"booking": "sometimes"} })
		eventually(func() int { return wld.send(0, ask{path: "/booking/x"}).status }, 2*time.Second).Should(equal(http.StatusNotFound))
		expect(wld.send(0, ask{path: "/log/x"}).status).To(equal(http.StatusOK))
		wld.store.PutDocument("no document at all")
		time.Sleep(300 * time.Millisecond)
		expect(wld.send(0, ask{path: "/log/x"}).status).To(equal(http.StatusOK))
	})

	// An endpoint says that it is leaving. It gets no new work, and what another
	// endpoint at its address answers is not taken for its own.
	ginkgo.It("sends nothing to endpoints that leave or are replaced", func() {
		wld := newWorld(1)
		wld.entry("bookings", "booking-0", wld.servers["booking-0"].Addr(), true)
		eventually(func() bool { return wld.nodes[0].pools.HasUsable("bookings", 1) }, soon).Should(gomega.BeTrue())
		before := len(wld.plain[0].Runs())
		for range 10 {
			expect(wld.send(0, ask{path: "/booking/x"}).status).To(equal(http.StatusOK))
		}
		expect(wld.plain[0].Runs()).To(gomega.HaveLen(before))

		wld.entry("bookings", "booking-9", wld.servers["booking-1"].Addr(), false)
		wld.store.RemoveEndpoint("booking-0")
		eventually(func() int { return wld.send(0, ask{path: "/booking/x"}).status }, soon).Should(equal(http.StatusOK))
	})

	// A planned stop while a request is under way: it is answered whole. The
	// instance is out of the answers to "which address" at once, and serves those
	// who still have its address.
	ginkgo.It("ends without cutting anything off", func() {
		wld := newWorld(2)
		for _, ep := range wld.plain {
			ep.Duration = 500 * time.Millisecond
		}
		done := make(chan got, 1)
		go func() { done <- wld.send(0, ask{path: "/booking/x"}) }()
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			wld.nodes[0].Stop(context.Background())
			close(stopped)
		}()
		eventually(func() int { return wld.entries(1) }, soon).Should(equal(1))
		late := wld.send(0, ask{path: "/booking/x"})
		expect(late.status).To(equal(http.StatusOK))
		expect((<-done).status).To(equal(http.StatusOK))
		eventually(stopped, 2*soon).Should(gomega.BeClosed())
	})

	// An instance is about to end, and a caller that still has its address sends a
	// request whose answer takes longer than what is left. It is told at once that it
	// has not run, and asked to go; broken off in its answer it could not know. What
	// is answered quickly is still served.
	ginkgo.It("refuses what it would break off at its end", func() {
		wld := newWorld(1)
		nod := wld.nodes[0]
		for _, ep := range wld.plain {
			ep.Duration = 400 * time.Millisecond
		}
		for range 3 {
			expect(wld.send(0, ask{path: "/booking/x"}).status).To(equal(http.StatusOK))
		}
		before := len(runs(wld.plain))
		nod.front.BeginShutdown(nod.clk.Now() + 60000)
		expect(wld.send(0, ask{path: "/booking/x"}).status).To(equal(http.StatusOK))
		nod.front.BeginShutdown(nod.clk.Now() + 300)
		ans := wld.send(0, ask{path: "/booking/x"})
		expect(ans.status).To(equal(http.StatusServiceUnavailable))
		expect(ans.body).To(gomega.ContainSubstring("stopping"))
		expect(ans.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		expect(runs(wld.plain)).To(gomega.HaveLen(before + 1))
	})

	// Of three instances two read the store for all. The readers' ways to it go
	// silent without a reset, then a token is taken away. The third one's own way
	// is sound: within two seconds it must run nothing for the token, though the
	// readers, whom it follows, have heard nothing.
	ginkgo.It("is not held back by readers that lost the store", func() {
		wld := newWorld(3)
		follower := -1
		eventually(func() int {
			for i, nod := range wld.nodes {
				if nod.ctl.IsFollower() {
					follower = i
				}
			}
			return follower
		}, soon).ShouldNot(equal(-1))
		// Its last own read of the store, which is held there, comes back.
		time.Sleep(1200 * time.Millisecond)
		for i, wy := range wld.ways {
			wy.cut.Store(i != follower)
		}
		wld.keys = []string{"another"}
		wld.publish(nil)
		eventually(func() int { return wld.send(follower, ask{path: "/booking/x"}).status }, 2*time.Second).Should(equal(http.StatusUnauthorized))
	})

	// An instance starts while the store is out. It takes the documents from
	// another instance, and serves what needs no token.
	// The store refuses everybody for some seconds. Each instance goes on asking, for
	// else it would not know that it is back; but each call is paid for, also one that
	// is refused, and hundreds of instances that ask as fast as they can keep a store
	// down that could come back. Callers notice nothing of either.
	ginkgo.It("asks a store that is down rarely, and knows soon that it is back", func() {
		wld := newWorld(4)
		before := make([]int64, len(wld.ways))
		wld.store.SetMode(fake.Busy)
		time.Sleep(2 * time.Second)
		for i, wy := range wld.ways {
			before[i] = wy.calls.Load()
		}
		// Pauses of half a second at the least, and what is under way at both ends.
		const outage, most = 3, 2*3 + 1
		time.Sleep(outage * time.Second)
		for i, wy := range wld.ways {
			expect(wy.calls.Load()-before[i]).To(gomega.BeNumerically("<=", most), "calls of instance %d", i)
			expect(wy.calls.Load()-before[i]).To(gomega.BeNumerically(">=", 1), "calls of instance %d", i)
		}
		wld.store.SetMode(fake.Healthy)
		// Whoever is told by a reader knows what was true a good second ago.
		for _, nod := range wld.nodes {
			eventually(func() clock.Milli { return nod.ctl.View().Age(nod.clk.Now()) }, 2*time.Second).Should(gomega.BeNumerically("<", 1500), "%s", nod.ctl.Self())
		}
	})

	// Guards against an instance whose line was withdrawn by mistake and stays away, so that
	// whoever starts doesn't learn of it from the store.
	ginkgo.It("stands in the store again after its line was withdrawn", func() {
		wld := newWorld(4)
		sto := platform.Dialect().Store(wld.srv.Addr(), http.DefaultClient)
		follower := wld.nodes[slices.IndexFunc(wld.nodes, func(nod *Node) bool { return nod.ctl.IsFollower() })]
		name := string(follower.ctl.Self())
		listed := func() bool {
			all, _, err := sto.Instances(context.Background())
			return err == nil && slices.ContainsFunc(all, func(inst proto.Instance) bool { return inst.Name == name })
		}
		eventually(listed, soon).Should(gomega.BeTrue())
		// Its own looks of the beginning are over.
		time.Sleep(7 * time.Second)
		expect(follower.ctl.IsFollower()).To(gomega.BeTrue())
		expect(sto.Withdraw(context.Background(), name)).To(gomega.Succeed())
		expect(listed()).To(gomega.BeFalse())
		eventually(listed, 3*soon).Should(gomega.BeTrue())
	})

	ginkgo.It("starts without the store", func() {
		wld := newWorld(1)
		wld.store.SetMode(fake.Busy)
		nod := wld.start()
		nod.ctl.SetSeeds([]string{wld.nodes[0].set.PeerAddr()})
		eventually(func() int { return wld.send(1, ask{path: "/open/x"}).status }, 2*soon).Should(equal(http.StatusOK))
	})
})

var _ = ginkgo.Describe("the status of an instance", func() {
	// Somebody on call asks an instance how it stands: who else there is, which
	// documents are in force and how old that knowledge is, and who gathers what.
	ginkgo.It("tells members, documents, their age, endpoints and gatherers", func() {
		wld := newWorld(2)
		nod := wld.nodes[0]
		rec := httptest.NewRecorder()
		nod.showStatus(rec, nil)
		var st wire.Status
		expect(json.Unmarshal(rec.Body.Bytes(), &st)).To(gomega.Succeed())
		expect(st.Ready).To(gomega.BeTrue(), st.NotReadyReason)
		expect(st.Members).To(gomega.HaveLen(2))
		expect(st.Services[0].Revision).To(equal(int64(wld.version)))
		expect(st.LogAgeMs).To(gomega.BeNumerically("<", 3000))
		expect(st.Endpoints).To(gomega.HaveLen(6))
		expect(st.Coordinators).To(gomega.HaveLen(1))
		expect(st.Coordinators[0].Instance).To(gomega.BeElementOf(string(nod.ctl.Self()), string(wld.nodes[1].ctl.Self())))
		nod.ctl.Leave(context.Background())
		eventually(func() string { return nod.status(nod.clk.Now()).NotReadyReason }, soon).Should(equal(whyLeaving))
	})
})

// entries gives how many addresses an instance names.
func (wld *world) entries(node int) int {
	return len(fake.Resolve(client, wld.nodes[node].set.EntriesAddr()))
}
