package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/sever"
	"amaranthvalve/platform/fake"
)

const (
	// evacuatedZone is the data centre that specs evacuate, the one of the first endpoint of each pool.
	evacuatedZone = "dc2"
	// evacuationBound is the time from the store's acknowledgement to the last request in the data centre. Operators
	// are promised five seconds with hundreds of instances.
	evacuationBound = 2 * time.Second
)

// moveZone puts the first endpoint of each pool into the data centre that is evacuated, and returns them.
func (tbd *testbed) moveZone() []*fake.Endpoint {
	moved := []*fake.Endpoint{tbd.engines[0], tbd.plain[0], tbd.stages[0]}
	for i, service := range []string{"engines", "bookings", "rosters"} {
		id := moved[i].ID()
		tbd.store.PutEndpoint(id, fake.EntryIn(evacuatedZone, service, tbd.servers[id].Addr()))
	}
	return moved
}

// waitZones waits until an instance knows the data centres of the moved endpoints.
func (tbd *testbed) waitZones(nodes ...*Node) {
	for _, nod := range nodes {
		eventually(func() int {
			count := 0
			for _, ep := range nod.ctl.View().Endpoints() {
				if ep.Zone == evacuatedZone {
					count++
				}
			}
			return count
		}, pollTimeout).Should(equal(3))
	}
}

// waitEvacuated waits until instances know whether the data centre is evacuated.
func waitEvacuated(is bool, nodes ...*Node) {
	for _, nod := range nodes {
		eventually(func() bool { return nod.ctl.View().IsEvacuated(evacuatedZone) }, pollTimeout).Should(equal(is))
	}
}

// arrivedAfter lists the requests of any kind that reached endpoints after an instant.
func arrivedAfter(at time.Time, eps ...*fake.Endpoint) []string {
	list := []string{}
	for _, ep := range eps {
		for _, arr := range ep.AllArrivals() {
			if since := arr.At.Sub(at); since > 0 {
				list = append(list, fmt.Sprint(ep.ID(), " ", arr.Path, " ", arr.ID, " after ", since.Round(time.Millisecond)))
			}
		}
	}
	return list
}

// sendDistinct sends requests of all kinds to all instances in turn until the context ends. No two are alike, since
// one of them would count as a retry of the other, late from the start.
func (tbd *testbed) sendDistinct(ctx context.Context) {
	var grp sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		rqt := partitionRequests[i%len(partitionRequests)]
		rqt.id = fmt.Sprint("distinct-", i)
		rqt.body += rqt.id
		grp.Go(func() {
			defer ginkgo.GinkgoRecover()
			tbd.send(i/len(partitionRequests)%len(tbd.nodes), rqt)
		})
		time.Sleep(5 * time.Millisecond)
	}
	grp.Wait()
}

// sendStaged sends a number of different requests with stages to all instances at once.
func (tbd *testbed) sendStaged(count int) {
	var grp sync.WaitGroup
	for i := range count {
		rqt := stageRequest
		rqt.id = fmt.Sprint("staged-", time.Now().UnixNano(), "-", i)
		rqt.body = rqt.id
		grp.Go(func() { tbd.send(i%len(tbd.nodes), rqt) })
	}
	grp.Wait()
}

// sendResumed begins resumable streams at all instances and resumes them at others until the context ends, and
// counts the resumed ones that were served.
func (tbd *testbed) sendResumed(ctx context.Context, nodes int) int64 {
	var grp sync.WaitGroup
	var resumed atomic.Int64
	for i := 0; ctx.Err() == nil; i++ {
		grp.Go(func() {
			defer ginkgo.GinkgoRecover()
			first := "first-" + strconv.Itoa(i)
			if tbd.send(i%nodes, request{path: "/stream/x", id: first, body: "a stream"}).status != http.StatusOK {
				return
			}
			if tbd.resume((i+1)%nodes, "again-"+strconv.Itoa(i), fake.HeaderResumes, first).status == http.StatusOK {
				resumed.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	grp.Wait()
	return resumed.Load()
}

var _ = ginkgo.Describe("an evacuated data centre", func() {
	// Guards against any way of sending that doesn't know evacuations: requests, retries, resumed streams, batches,
	// releases, queries and relayed connections of instances that read the store, that follow others, that have lost
	// the store, that start meanwhile, and that reach no endpoint themselves. And against endpoints that are never
	// used again.
	ginkgo.It("gets nothing from the bound on, and is used again after its release", func() {
		tbd := newTestbed(0)
		moved := tbd.moveZone()
		prts := tbd.startPartitioned(5)
		tbd.waitZones(tbd.nodes...)
		tbd.proxies[4].cut.Store(true)
		prts[3].Set(sever.Drops, sever.Drops)
		ctx, cancel := context.WithCancel(context.Background())
		var grp sync.WaitGroup
		var resumed atomic.Int64
		nodes := len(tbd.nodes)
		grp.Go(func() { tbd.sendDistinct(ctx) })
		grp.Go(func() { resumed.Store(tbd.sendResumed(ctx, nodes)) })
		defer grp.Wait()
		defer cancel()
		time.Sleep(time.Second)
		expect(arrivedAfter(time.Now().Add(-time.Second), moved...)).NotTo(gomega.BeEmpty())

		tbd.store.Evacuate(evacuatedZone)
		acked := time.Now()
		time.Sleep(evacuationBound / 2)
		tbd.proxies[1].cut.Store(true)
		for i := range moved {
			[]*fake.Endpoint{tbd.engines[1], tbd.plain[1], tbd.stages[1]}[i].QueueFaults(fake.Shed, fake.Cuts, fake.Shed)
		}
		time.Sleep(2 * evacuationBound)
		before := len(runs(tbd.engines[1:])) + len(runs(tbd.plain[1:]))
		time.Sleep(evacuationBound / 2)
		expect(arrivedAfter(acked.Add(evacuationBound), moved...)).To(gomega.BeEmpty())
		expect(len(runs(tbd.engines[1:]))+len(runs(tbd.plain[1:]))).To(gomega.BeNumerically(">", before), "the others serve")

		tbd.store.Release(evacuatedZone)
		released := time.Now()
		for _, ep := range moved {
			// One idle stage endpoint would get all batches, by small differences in speed.
			eventually(func() []string {
				tbd.sendStaged(20)
				return arrivedAfter(released, ep)
			}, pollTimeout).ShouldNot(gomega.BeEmpty(), ep.ID())
		}
		cancel()
		grp.Wait()
		expect(resumed.Load()).To(gomega.BeNumerically(">", 0))
	})

	// Guards against an instance that starts during an evacuation and sends before it knows of it, with the store up
	// and in a new era without the record, and against a release that it misses.
	ginkgo.It("gets nothing from instances that start", func() {
		tbd := newTestbed(0)
		moved := tbd.moveZone()
		tbd.store.Evacuate(evacuatedZone)
		for range 3 {
			tbd.start()
		}
		began := time.Now()
		for i := range 60 {
			tbd.send(i%3, partitionRequests[i%len(partitionRequests)])
		}
		tbd.store.Copy()
		nod := tbd.start()
		for i := range 20 {
			tbd.send(3, partitionRequests[i%len(partitionRequests)])
		}
		expect(arrivedAfter(began, moved...)).To(gomega.BeEmpty())
		tbd.store.Restore()
		tbd.store.Release(evacuatedZone)
		waitEvacuated(false, append(tbd.nodes, nod)...)
	})

	// Guards against requests to a data centre between the return of a store from a copy that lacks the record, and
	// the record that operators write again.
	ginkgo.It("stays evacuated when the store comes back from a copy without the record", func() {
		tbd := newTestbed(0)
		moved := tbd.moveZone()
		for range 3 {
			tbd.start()
		}
		tbd.waitJoined()
		tbd.waitZones(tbd.nodes...)
		tbd.store.Copy()
		tbd.store.Evacuate(evacuatedZone)
		waitEvacuated(true, tbd.nodes...)
		writeAgain := tbd.store.Restore()
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		time.AfterFunc(time.Second, writeAgain)
		tbd.sendDistinct(ctx)
		expect(arrivedAfter(began, moved...)).To(gomega.BeEmpty())
		for _, nod := range tbd.nodes {
			expect(nod.ctl.View().IsEvacuated(evacuatedZone)).To(gomega.BeTrue())
		}
	})

	// Guards against work that was under way when the data centre was evacuated and is cut off.
	ginkgo.It("finishes what runs there", func() {
		tbd := newTestbed(0)
		moved := tbd.moveZone()
		tbd.start()
		tbd.waitJoined()
		tbd.waitZones(tbd.nodes...)
		for _, ep := range append(tbd.engines, tbd.plain...) {
			ep.Duration = 700 * time.Millisecond
		}
		answers, sent := make(chan response, 99), 0
		send := func(rqt request) {
			rqt.id = fmt.Sprint("under-way-", sent)
			rqt.body = rqt.id
			sent++
			go func() { answers <- tbd.send(0, rqt) }()
		}
		for range 4 {
			send(engineRequest)
			send(request{path: "/booking/x"})
		}
		// The endpoints of requests without a prompt are drawn, and may all be others.
		for until := time.Now().Add(pollTimeout); time.Now().Before(until) && len(arrivedAfter(time.Time{}, moved[1])) == 0; time.Sleep(20 * time.Millisecond) {
			if sent < 30 {
				send(request{path: "/booking/x"})
			}
		}
		eventually(func() []string { return arrivedAfter(time.Time{}, moved[0]) }, pollTimeout).ShouldNot(gomega.BeEmpty())
		eventually(func() []string { return arrivedAfter(time.Time{}, moved[1]) }, pollTimeout).ShouldNot(gomega.BeEmpty())
		tbd.store.Evacuate(evacuatedZone)
		waitEvacuated(true, tbd.nodes...)
		for range sent {
			var rsp response
			eventually(answers, 2*pollTimeout).Should(gomega.Receive(&rsp))
			expect(rsp.status).To(equal(http.StatusOK), rsp.body)
			expect(rsp.err).NotTo(anything())
		}
	})

	// Guards against a request or a batch whose connection was being opened when the data centre was evacuated: it
	// goes elsewhere, and counts as no attempt.
	ginkgo.It("gets nothing over connections that are being opened", func() {
		for kind, rqt := range []request{plainRequest, engineRequest, stageRequest} {
			tbd := newTestbed(0)
			moved := tbd.moveZone()
			var held atomic.Bool
			dialling, proceed := make(chan string, 99), make(chan struct{})
			tbd.startWithLink(func(nod *Node) {
				direct := dial.Direct(dial.EndpointSilence)
				nod.SetDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
					con, err := direct.DialContext(ctx, network, addr)
					for _, ep := range moved {
						if held.Load() && addr == tbd.servers[ep.ID()].Addr() {
							dialling <- addr
							<-proceed
						}
					}
					return con, err
				})
			})
			tbd.waitJoined()
			tbd.waitZones(tbd.nodes...)
			began := time.Now()
			held.Store(true)
			answers := make(chan response, 12)
			for i := range 12 {
				go func() {
					one := rqt
					one.id, one.body = fmt.Sprint("r-", kind, "-", i), fmt.Sprint("body ", i)
					answers <- tbd.send(0, one)
				}()
			}
			eventually(dialling, pollTimeout).Should(gomega.Receive())
			tbd.store.Evacuate(evacuatedZone)
			waitEvacuated(true, tbd.nodes...)
			held.Store(false)
			close(proceed)
			for range 12 {
				var rsp response
				eventually(answers, pollTimeout).Should(gomega.Receive(&rsp))
				expect(rsp.status).To(equal(http.StatusOK), "%s: %s", rqt.path, rsp.body)
			}
			expect(arrivedAfter(began, moved...)).To(gomega.BeEmpty(), rqt.path)
		}
	})

	// Guards against requests that wait for their deadline although no endpoint is left, of their own pool or of one
	// of their stages.
	ginkgo.It("leaves requests without endpoints refused at once", func() {
		tbd := newTestbed(0)
		tbd.moveZone()
		id := tbd.stages[1].ID()
		tbd.store.PutEndpoint(id, fake.EntryIn(evacuatedZone, "rosters", tbd.servers[id].Addr()))
		tbd.start()
		tbd.waitJoined()
		refused := func(rqt request) {
			sent := time.Now()
			rsp := tbd.send(0, rqt)
			expect(rsp.status).To(equal(http.StatusServiceUnavailable), rqt.path)
			expect(rsp.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			expect(time.Since(sent)).To(gomega.BeNumerically("<", 500*time.Millisecond))
		}
		eventually(func() int { return tbd.send(0, stageRequest).status }, pollTimeout).Should(equal(http.StatusOK))
		tbd.store.Evacuate(evacuatedZone)
		waitEvacuated(true, tbd.nodes...)
		refused(stageRequest)
		expect(tbd.send(0, plainRequest).status).To(equal(http.StatusOK))
		expect(tbd.send(0, engineRequest).status).To(equal(http.StatusOK))
		tbd.store.Evacuate("dc1")
		eventually(func() bool { return tbd.nodes[0].ctl.View().IsEvacuated("dc1") }, pollTimeout).Should(gomega.BeTrue())
		for _, rqt := range partitionRequests {
			refused(rqt)
		}
		st := tbd.nodes[0].status(tbd.nodes[0].clk.Now())
		expect(st.Evacuated).To(gomega.HaveLen(2))
		expect(st.Evacuated[1].Zone).To(equal(evacuatedZone))
		expect(st.Evacuated[1].Endpoints).To(equal(4))
		expect(st.Endpoints).To(gomega.HaveEach(gomega.HaveField("State", "evacuated")))
		tbd.store.Release("dc1")
		tbd.store.Release(evacuatedZone)
		for _, rqt := range partitionRequests {
			eventually(func() int { return tbd.send(0, rqt).status }, pollTimeout).Should(equal(http.StatusOK))
		}
	})
})
