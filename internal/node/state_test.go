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
	// The store stops answering. Requests without a token are still served. Those with one are
	// refused by every instance once its view is too stale for tokens, whatever state the
	// instances exchange with one another.
	ginkgo.It("accepts tokens only while it knows them to be in force", func() {
		tbd := newTestbed(2)
		tbd.store.SetMode(fake.Silent)
		eventually(func() int { return tbd.send(0, request{path: "/booking/x"}).status }, 2*pollTimeout).Should(equal(http.StatusServiceUnavailable))
		eventually(func() int { return tbd.send(1, request{path: "/booking/x"}).status }, pollTimeout).Should(equal(http.StatusServiceUnavailable))
		expect(tbd.send(0, request{path: "/open/x"}).status).To(equal(http.StatusOK))
		tbd.store.SetMode(fake.Healthy)
		eventually(func() int { return tbd.send(0, request{path: "/booking/x"}).status }, 2*pollTimeout).Should(equal(http.StatusOK))
	})

	// Guards against refusing tokens in a healthy system because the views of followers are older
	// than the maximum view age for tokens.
	ginkgo.It("accepts tokens all the time with a short maximum view age", func() {
		tbd := newTokenTestbed(5, 1500)
		refused := map[string]int{}
		for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(10 * time.Millisecond) {
			for i := range tbd.nodes {
				if rsp := tbd.send(i, request{path: "/log/x", method: http.MethodGet}); rsp.status != http.StatusOK {
					refused[rsp.body]++
				}
			}
		}
		expect(refused).To(gomega.BeEmpty())
	})

	// A token is revoked. Within the bound every instance refuses it.
	ginkgo.It("applies a change at once", func() {
		tbd := newTestbed(2)
		tbd.keys = []string{"another"}
		tbd.publish(nil)
		for i := range tbd.nodes {
			eventually(func() int { return tbd.send(i, request{path: "/booking/x"}).status }, 2*time.Second).Should(equal(http.StatusUnauthorized))
		}
	})

	// A document has a fault in one route: that route is left out and all others are in force. A
	// text that is no document at all changes nothing.
	ginkgo.It("keeps its valid routes when a document is faulty", func() {
		tbd := newTestbed(1)
		tbd.publish(func(doc *fake.Document) { doc.Kinds = map[string]string{"booking": "sometimes"} })
		eventually(func() int { return tbd.send(0, request{path: "/booking/x"}).status }, 2*time.Second).Should(equal(http.StatusNotFound))
		expect(tbd.send(0, request{path: "/log/x"}).status).To(equal(http.StatusOK))
		tbd.store.PutDocument("no document at all")
		time.Sleep(300 * time.Millisecond)
		expect(tbd.send(0, request{path: "/log/x"}).status).To(equal(http.StatusOK))
	})

	// An endpoint announces that it is leaving. It gets no new requests, and an answer of another
	// endpoint at its address is not attributed to it.
	ginkgo.It("sends no requests to endpoints that leave or are replaced", func() {
		tbd := newTestbed(1)
		tbd.putEntry("bookings", "booking-0", tbd.servers["booking-0"].Addr(), true)
		eventually(func() bool { return tbd.nodes[0].pools.HasUsable("bookings", 1) }, pollTimeout).Should(gomega.BeTrue())
		before := len(tbd.plain[0].Runs())
		for range 10 {
			expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusOK))
		}
		expect(tbd.plain[0].Runs()).To(gomega.HaveLen(before))

		tbd.putEntry("bookings", "booking-9", tbd.servers["booking-1"].Addr(), false)
		tbd.store.RemoveEndpoint("booking-0")
		eventually(func() int { return tbd.send(0, request{path: "/booking/x"}).status }, pollTimeout).Should(equal(http.StatusOK))
	})

	// A request in flight during a planned shutdown is answered completely. The instance is removed
	// from the entries at once and serves the callers that still have its address.
	ginkgo.It("shuts down without cutting off a response", func() {
		tbd := newTestbed(2)
		for _, ep := range tbd.plain {
			ep.Duration = 500 * time.Millisecond
		}
		done := make(chan response, 1)
		go func() { done <- tbd.send(0, request{path: "/booking/x"}) }()
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			tbd.nodes[0].Stop(context.Background())
			close(stopped)
		}()
		eventually(func() int { return tbd.entryCount(1) }, pollTimeout).Should(equal(1))
		late := tbd.send(0, request{path: "/booking/x"})
		expect(late.status).To(equal(http.StatusOK))
		expect((<-done).status).To(equal(http.StatusOK))
		eventually(stopped, 2*pollTimeout).Should(gomega.BeClosed())
	})

	// A caller that still has the address of an instance near the end of its shutdown sends a
	// request that takes longer than the remaining time. It is refused at once as not run; cut off
	// later, the caller could not know whether it ran. Fast requests are still served.
	ginkgo.It("refuses requests that the end of its shutdown would cut off", func() {
		tbd := newTestbed(1)
		nod := tbd.nodes[0]
		for _, ep := range tbd.plain {
			ep.Duration = 400 * time.Millisecond
		}
		for range 3 {
			expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusOK))
		}
		before := len(runs(tbd.plain))
		nod.front.BeginShutdown(nod.clk.Now() + 60000)
		expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusOK))
		nod.front.BeginShutdown(nod.clk.Now() + 300)
		rsp := tbd.send(0, request{path: "/booking/x"})
		expect(rsp.status).To(equal(http.StatusServiceUnavailable))
		expect(rsp.body).To(gomega.ContainSubstring("stopping"))
		expect(rsp.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		expect(runs(tbd.plain)).To(gomega.HaveLen(before + 1))
	})

	// Guards against a service that is open to all once the last token of the document has been revoked.
	ginkgo.It("refuses every token once the last one is revoked", func() {
		tbd := newTestbed(2)
		expect(tbd.send(0, request{path: "/booking/x"}).status).To(equal(http.StatusOK))
		tbd.keys = []string{}
		tbd.publish(nil)
		for i, nod := range tbd.nodes {
			eventually(func() int { return int(nod.ctl.View().Plan().Version()) }, pollTimeout).Should(equal(tbd.version))
			before := len(runs(tbd.plain))
			for _, token := range []string{key, "never-held", ""} {
				rsp := tbd.send(i, request{path: "/booking/x", header: map[string]string{fake.HeaderAuthorize: fake.Bearer + token}})
				expect(rsp.status).To(equal(http.StatusUnauthorized), "%q: %s", token, rsp.body)
			}
			expect(runs(tbd.plain)).To(gomega.HaveLen(before))
		}
	})

	// Two of three instances read the store for all. The readers' connections to it become
	// unresponsive without a reset, then a token is revoked. The connection of the third instance
	// works: within two seconds it must refuse the token, although the readers that it follows got
	// no answer.
	ginkgo.It("is not delayed by readers that have lost the store", func() {
		tbd := newTestbed(3)
		follower := -1
		eventually(func() int {
			for i, nod := range tbd.nodes {
				if nod.ctl.IsFollower() {
					follower = i
				}
			}
			return follower
		}, pollTimeout).ShouldNot(equal(-1))
		// Wait until its last own long poll of the store has returned.
		time.Sleep(1200 * time.Millisecond)
		for i, prx := range tbd.proxies {
			prx.cut.Store(i != follower)
		}
		tbd.keys = []string{"another"}
		tbd.publish(nil)
		eventually(func() int { return tbd.send(follower, request{path: "/booking/x"}).status }, 2*time.Second).Should(equal(http.StatusUnauthorized))
	})

	// The store refuses all requests for some seconds. Each instance keeps polling it to detect that
	// it is available again, but rarely: every request is paid for, also a refused one, and
	// hundreds of instances that poll at full speed can prevent the store from recovering.
	// Callers are not affected.
	ginkgo.It("polls a store that is down rarely and soon detects its recovery", func() {
		tbd := newTestbed(4)
		before := make([]int64, len(tbd.proxies))
		tbd.store.SetMode(fake.Busy)
		time.Sleep(2 * time.Second)
		for i, prx := range tbd.proxies {
			before[i] = prx.requests.Load()
		}
		// The pauses take at least half a second; a request may be in flight at the start and the end.
		const outage, most = 3, 2*3 + 1
		time.Sleep(outage * time.Second)
		for i, prx := range tbd.proxies {
			expect(prx.requests.Load()-before[i]).To(gomega.BeNumerically("<=", most), "store requests of instance %d", i)
			expect(prx.requests.Load()-before[i]).To(gomega.BeNumerically(">=", 1), "store requests of instance %d", i)
		}
		tbd.store.SetMode(fake.Healthy)
		// The view of a follower is a little more than a second old.
		for _, nod := range tbd.nodes {
			eventually(func() clock.Milli { return nod.ctl.View().Age(nod.clk.Now()) }, 2*time.Second).Should(gomega.BeNumerically("<", 1500), "%s", nod.ctl.Self())
		}
	})

	// Guards against an instance whose entry was withdrawn by mistake and is not restored, so that
	// starting instances cannot discover it in the store.
	ginkgo.It("restores its entry in the store after it was withdrawn", func() {
		tbd := newTestbed(4)
		sto := platform.Dialect().Store(tbd.srv.Addr(), http.DefaultClient)
		follower := tbd.nodes[slices.IndexFunc(tbd.nodes, func(nod *Node) bool { return nod.ctl.IsFollower() })]
		name := string(follower.ctl.Self())
		listed := func() bool {
			all, _, err := sto.Instances(context.Background())
			return err == nil && slices.ContainsFunc(all, func(inst proto.Instance) bool { return inst.Name == name })
		}
		eventually(listed, pollTimeout).Should(gomega.BeTrue())
		// By now the lookups after its start have ended.
		time.Sleep(7 * time.Second)
		expect(follower.ctl.IsFollower()).To(gomega.BeTrue())
		expect(sto.Withdraw(context.Background(), name)).To(gomega.Succeed())
		expect(listed()).To(gomega.BeFalse())
		eventually(listed, 3*pollTimeout).Should(gomega.BeTrue())
	})

	// An instance starts while the store is down. It gets the documents from another instance and
	// serves the requests that need no token.
	ginkgo.It("starts without the store", func() {
		tbd := newTestbed(1)
		tbd.store.SetMode(fake.Busy)
		nod := tbd.start()
		nod.ctl.SetSeeds([]string{tbd.nodes[0].set.PeerAddr()})
		eventually(func() int { return tbd.send(1, request{path: "/open/x"}).status }, 2*pollTimeout).Should(equal(http.StatusOK))
	})
})

var _ = ginkgo.Describe("the status of an instance", func() {
	// The status for operators on call: the members, the documents in force, the age of the view and
	// the coordinators of the pools.
	ginkgo.It("lists members, documents, their age, endpoints and coordinators", func() {
		tbd := newTestbed(2)
		nod := tbd.nodes[0]
		rec := httptest.NewRecorder()
		nod.serveStatus(rec, nil)
		var st wire.Status
		expect(json.Unmarshal(rec.Body.Bytes(), &st)).To(gomega.Succeed())
		expect(st.Ready).To(gomega.BeTrue(), st.NotReadyReason)
		expect(st.Members).To(gomega.HaveLen(2))
		expect(st.Services[0].Revision).To(equal(int64(tbd.version)))
		expect(st.LogAgeMs).To(gomega.BeNumerically("<", 3000))
		expect(st.Endpoints).To(gomega.HaveLen(6))
		expect(st.Coordinators).To(gomega.HaveLen(1))
		expect(st.Coordinators[0].Instance).To(gomega.BeElementOf(string(nod.ctl.Self()), string(tbd.nodes[1].ctl.Self())))
		nod.ctl.Leave(context.Background())
		eventually(func() string { return nod.status(nod.clk.Now()).NotReadyReason }, pollTimeout).Should(equal(reasonShutdown))
	})
})

// entryCount returns the number of addresses that an instance lists.
func (tbd *testbed) entryCount(node int) int {
	return len(fake.Resolve(client, tbd.nodes[node].set.EntriesAddr()))
}
