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

	"amaranthvalve/platform/fake"
)

const (
	// rateWindow is the time over which the requests to an endpoint are counted. Within it an
	// endpoint may get rateFactor times its declared rate and rateSlack requests.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
)

// maxArrivals returns the largest number of requests that reached an endpoint within any window
// that begins at or after an instant.
func maxArrivals(ep *fake.Endpoint, from time.Time) int {
	most, arrivals := 0, ep.Arrivals()
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if !first.Before(from) && at.Sub(first) < rateWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// allowedArrivals is the number of requests that an endpoint may get within the window.
func allowedArrivals(rate float64) int { return int(rateFactor*rate*rateWindow.Seconds()) + rateSlack }

// generateLoad sends requests of a kind to all instances in turn at a rate until the context ends
// and counts the responses by status.
func (tbd *testbed) generateLoad(ctx context.Context, rqt request, perSecond int) map[int]int {
	statuses := map[int]int{}
	var mtx sync.Mutex
	var grp sync.WaitGroup
	tkr := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tkr.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		<-tkr.C
		grp.Go(func() {
			req := rqt
			req.id = fmt.Sprintf("%s-%d", rqt.path, i)
			rsp := tbd.send(i%len(tbd.nodes), req)
			mtx.Lock()
			defer mtx.Unlock()
			statuses[rsp.status]++
		})
	}
	grp.Wait()
	return statuses
}

var (
	engineRequest = request{path: "/stream-once/x", body: "plan"}
	plainRequest  = request{path: "/log/x", method: http.MethodGet}
	stageRequest  = request{path: "/stream-staged/x", header: map[string]string{fake.HeaderItems: "2,1", fake.HeaderItemKey: "k"}}
)

var _ = ginkgo.Describe("an endpoint that declares a rate", func() {
	// Guards against a rate that is enforced by each instance instead of by all together, for
	// streams, plain requests and stages.
	ginkgo.It("gets no more than that from all instances together", func() {
		tbd := newTestbed(4)
		kinds := []struct {
			rqt  request
			eps  []*fake.Endpoint
			rate float64
		}{{engineRequest, tbd.engines, 1}, {plainRequest, tbd.plain, 1}, {stageRequest, tbd.stages, 2}}
		for _, ep := range tbd.stages {
			// A single stage endpoint is too slow for the load.
			ep.Duration = 200 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		began := time.Now()
		var grp sync.WaitGroup
		for _, knd := range kinds {
			knd.eps[0].SetRate(knd.rate)
			grp.Go(func() { tbd.generateLoad(ctx, knd.rqt, 20) })
		}
		grp.Wait()
		for _, knd := range kinds {
			expect(maxArrivals(knd.eps[0], began.Add(spreadTime))).To(gomega.BeNumerically("<=", allowedArrivals(knd.rate)), knd.rqt.path)
			expect(len(knd.eps[0].Arrivals())).To(gomega.BeNumerically(">", 4), "%s left idle", knd.rqt.path)
		}
	})

	// Guards against a rate that is exceeded, or unused for a long time, after the coordinator that
	// owns it has crashed.
	ginkgo.It("gets no more and is not left idle when the coordinator crashes", func() {
		tbd := newTestbed(4)
		tbd.engines[0].SetRate(2)
		ctx, cancel := context.WithTimeout(context.Background(), 16*time.Second)
		defer cancel()
		began := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			tbd.generateLoad(ctx, engineRequest, 20)
		}()
		time.Sleep(5 * time.Second)
		coordinator := tbd.nodes[0].ctl.View().Coordinators("engines")[0]
		killed := time.Now()
		for _, nod := range tbd.nodes {
			if nod.ctl.Self() == coordinator {
				nod.Kill()
			}
		}
		<-done
		ended := time.Now()
		var arrivals []time.Duration
		for _, at := range tbd.engines[0].Arrivals() {
			arrivals = append(arrivals, at.Sub(began))
		}
		story := fmt.Sprintf("arrivals: %v; coordinator crashed after %v", arrivals, killed.Sub(began))
		expect(maxArrivals(tbd.engines[0], began.Add(spreadTime))).To(gomega.BeNumerically("<=", allowedArrivals(2)), story)
		last := killed
		for _, at := range tbd.engines[0].Arrivals() {
			if at.After(killed) {
				expect(at.Sub(last)).To(gomega.BeNumerically("<", 6*time.Second), story)
				last = at
			}
		}
		expect(ended.Sub(last)).To(gomega.BeNumerically("<", 6*time.Second), story)
	})

	// Guards against a rate that stays in force after the endpoint has stopped declaring it, and
	// against one that is dropped while no requests are sent.
	ginkgo.It("gets more requests only once it declares no rate any longer", func() {
		tbd := newTestbed(2)
		tbd.plain[0].SetRate(1)
		short, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		tbd.generateLoad(short, plainRequest, 20)
		time.Sleep(3 * time.Second)
		from := time.Now()
		short, cancel = context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		statuses := tbd.generateLoad(short, plainRequest, 20)
		expect(maxArrivals(tbd.plain[0], from)).To(gomega.BeNumerically("<=", allowedArrivals(1)))
		expect(statuses).To(gomega.HaveLen(1))
		tbd.plain[0].ClearRate()
		short, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		from = time.Now()
		tbd.generateLoad(short, plainRequest, 20)
		expect(maxArrivals(tbd.plain[0], from)).To(gomega.BeNumerically(">", 15))
	})

	// Guards against requests that wait in vain or exceed the rates where all endpoints of a pool
	// declare one.
	ginkgo.It("has excess requests refused with a retry-after delay if there is no other endpoint", func() {
		tbd := newTestbed(2)
		for _, ep := range tbd.engines {
			ep.SetRate(1)
		}
		short, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		began := time.Now()
		statuses := tbd.generateLoad(short, engineRequest, 10)
		for _, ep := range tbd.engines {
			expect(maxArrivals(ep, began.Add(spreadTime))).To(gomega.BeNumerically("<=", allowedArrivals(1)))
		}
		expect(statuses).To(gomega.HaveKey(http.StatusServiceUnavailable))
		expect(statuses).To(gomega.HaveLen(2))
		sent := time.Now()
		for rsp := tbd.send(0, engineRequest); time.Since(sent) < 2*time.Second; rsp = tbd.send(0, engineRequest) {
			if rsp.status == http.StatusServiceUnavailable {
				expect(rsp.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		}
	})

	// Guards against an instance that is partitioned off and sends without regard to the rate.
	ginkgo.It("gets nothing from an instance that cannot reach the coordinator", func() {
		var partitionedNode atomic.Int32
		tbd := newTestbed(0)
		for i := range int32(3) {
			tbd.startWithLink(func(nod *Node) {
				nod.link.Partitioned = func(addr string) bool {
					cut := partitionedNode.Load() - 1
					return cut >= 0 && (cut == i || addr == tbd.nodes[cut].link.Addr())
				}
			})
		}
		tbd.waitJoined()
		for _, knd := range []struct {
			pool string
			rqt  request
			ep   *fake.Endpoint
		}{{"engines", engineRequest, tbd.engines[0]}, {"bookings", plainRequest, tbd.plain[0]}} {
			knd.ep.SetRate(1)
			for i := range 20 {
				tbd.send(i%3, knd.rqt)
			}
			time.Sleep(500 * time.Millisecond)
			last := tbd.nodes[0].ctl.View().Coordinators(knd.pool)[2]
			partitioned := slices.IndexFunc(tbd.nodes, func(nod *Node) bool { return nod.ctl.Self() == last })
			partitionedNode.Store(int32(partitioned + 1))
			before := len(knd.ep.Arrivals())
			for range 40 {
				expect(tbd.send(partitioned, knd.rqt).status).To(equal(http.StatusOK))
			}
			expect(len(knd.ep.Arrivals())).To(equal(before), knd.pool)
			partitionedNode.Store(0)
		}
	})

	// Guards against ending a request at a slow endpoint for another attempt although the declared
	// rates of all other endpoints are used up.
	ginkgo.It("leaves requests at a slow endpoint if that is the only other one", func() {
		tbd := newTestbed(1)
		tbd.plain[0].SetRate(0.25)
		for range 20 {
			expect(tbd.send(0, plainRequest).status).To(equal(http.StatusOK))
		}
		tbd.plain[1].DelayedDuration = 1500 * time.Millisecond
		for range 3 {
			tbd.plain[1].QueueFaults(fake.Delayed)
			expect(tbd.send(0, plainRequest).status).To(equal(http.StatusOK))
		}
	})
})
