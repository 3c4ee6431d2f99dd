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
	// rateWindow is the time over which an endpoint's requests are counted, rateTimes the
	// rate is what it may get then, and rateMore requests.
	rateWindow = 4 * time.Second
	rateTimes  = 1.5
	rateMore   = 5
)

// mostCame gives the most requests that came to an endpoint within the window, from an instant
// on.
func mostCame(ep *fake.Endpoint, from time.Time) int {
	most, came := 0, ep.Arrivals()
	for i, first := range came {
		count := 0
		for _, at := range came[i:] {
			if !first.Before(from) && at.Sub(first) < rateWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// allowedCame is what may come to an endpoint within the window.
func allowedCame(rate float64) int { return int(rateTimes*rate*rateWindow.Seconds()) + rateMore }

// load has callers send requests of a kind to all instances until the context ends, so many a
// second, and counts the answers by status.
func (wld *world) load(ctx context.Context, ak ask, perSecond int) map[int]int {
	ends := map[int]int{}
	var mtx sync.Mutex
	var grp sync.WaitGroup
	tkr := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tkr.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		<-tkr.C
		grp.Go(func() {
			one := ak
			one.id = fmt.Sprintf("%s-%d", ak.path, i)
			ans := wld.send(i%len(wld.nodes), one)
			mtx.Lock()
			defer mtx.Unlock()
			ends[ans.status]++
		})
	}
	grp.Wait()
	return ends
}

var (
	toEngines = ask{path: "/stream-once/x", body: "plan"}
	toPlain   = ask{path: "/log/x", method: http.MethodGet}
	toMakers  = ask{path: "/stream-staged/x", header: map[string]string{fake.HeaderItems: "2,1", fake.HeaderItemKey: "k"}}
)

var _ = ginkgo.Describe("an endpoint that names a rate", func() {
	// Guards against a rate that holds at each instance and not for all together, for each way
	// to an endpoint.
	ginkgo.It("gets no more from all instances together", func() {
		wld := newWorld(4)
		kinds := []struct {
			ask  ask
			eps  []*fake.Endpoint
			rate float64
		}{{toEngines, wld.engines, 1}, {toPlain, wld.plain, 1}, {toMakers, wld.makers, 2}}
		for _, ep := range wld.makers {
			// One maker by itself is too slow for what is asked.
			ep.Duration = 200 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		began := time.Now()
		var grp sync.WaitGroup
		for _, knd := range kinds {
			knd.eps[0].SetRate(knd.rate)
			grp.Go(func() { wld.load(ctx, knd.ask, 20) })
		}
		grp.Wait()
		for _, knd := range kinds {
			expect(mostCame(knd.eps[0], began.Add(spreadWithin))).To(gomega.BeNumerically("<=", allowedCame(knd.rate)), knd.ask.path)
			expect(len(knd.eps[0].Arrivals())).To(gomega.BeNumerically(">", 4), "%s left idle", knd.ask.path)
		}
	})

	// Guards against a rate that is exceeded, or not used for long, when the instance that kept it
	// ends.
	ginkgo.It("gets no more, and isn't left idle, when the instance that keeps its rate ends", func() {
		wld := newWorld(4)
		wld.engines[0].SetRate(2)
		ctx, cancel := context.WithTimeout(context.Background(), 16*time.Second)
		defer cancel()
		began := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			wld.load(ctx, toEngines, 20)
		}()
		time.Sleep(5 * time.Second)
		keeper := wld.nodes[0].ctl.View().Coordinators("engines")[0]
		killed := time.Now()
		for _, nod := range wld.nodes {
			if nod.ctl.Self() == keeper {
				nod.Kill()
			}
		}
		<-done
		expect(mostCame(wld.engines[0], began.Add(spreadWithin))).To(gomega.BeNumerically("<=", allowedCame(2)))
		last := killed
		for _, at := range wld.engines[0].Arrivals() {
			if at.After(killed) {
				expect(at.Sub(last)).To(gomega.BeNumerically("<", 6*time.Second))
				last = at
			}
		}
		expect(time.Since(last)).To(gomega.BeNumerically("<", 6*time.Second))
	})

	// Guards against a rate that holds on after the endpoint names it no more, and against one that
	// is forgotten while nothing is sent.
	ginkgo.It("gets as many as before once it names none, and not before", func() {
		wld := newWorld(2)
		wld.plain[0].SetRate(1)
		short, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		wld.load(short, toPlain, 20)
		time.Sleep(3 * time.Second)
		from := time.Now()
		short, cancel = context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		ends := wld.load(short, toPlain, 20)
		expect(mostCame(wld.plain[0], from)).To(gomega.BeNumerically("<=", allowedCame(1)))
		expect(ends).To(gomega.HaveLen(1))
		wld.plain[0].ClearRate()
		short, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		from = time.Now()
		wld.load(short, toPlain, 20)
		expect(mostCame(wld.plain[0], from)).To(gomega.BeNumerically(">", 15))
	})

	// Guards against requests that wait in vain, or are sent beyond the rates, where all endpoints
	// of a pool name one.
	ginkgo.It("has what goes beyond it refused with when to come back, where there is no other endpoint", func() {
		wld := newWorld(2)
		for _, ep := range wld.engines {
			ep.SetRate(1)
		}
		short, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		began := time.Now()
		ends := wld.load(short, toEngines, 10)
		for _, ep := range wld.engines {
			expect(mostCame(ep, began.Add(spreadWithin))).To(gomega.BeNumerically("<=", allowedCame(1)))
		}
		expect(ends).To(gomega.HaveKey(http.StatusServiceUnavailable))
		expect(ends).To(gomega.HaveLen(2))
		sent := time.Now()
		for ans := wld.send(0, toEngines); time.Since(sent) < 2*time.Second; ans = wld.send(0, toEngines) {
			if ans.status == http.StatusServiceUnavailable {
				expect(ans.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		}
	})

	// Guards against an instance that is cut off from the others and sends what it likes.
	ginkgo.It("gets nothing from an instance that can't ask who keeps its rate", func() {
		var off atomic.Int32
		wld := newWorld(0)
		for i := range int32(3) {
			wld.startLinked(func(nod *Node) {
				nod.link.Partitioned = func(addr string) bool {
					cut := off.Load() - 1
					return cut >= 0 && (cut == i || addr == wld.nodes[cut].link.Addr())
				}
			})
		}
		wld.meet()
		for _, knd := range []struct {
			pool string
			ask  ask
			ep   *fake.Endpoint
		}{{"engines", toEngines, wld.engines[0]}, {"bookings", toPlain, wld.plain[0]}} {
			knd.ep.SetRate(1)
			for i := range 20 {
				wld.send(i%3, knd.ask)
			}
			time.Sleep(500 * time.Millisecond)
			last := wld.nodes[0].ctl.View().Coordinators(knd.pool)[2]
			asker := slices.IndexFunc(wld.nodes, func(nod *Node) bool { return nod.ctl.Self() == last })
			off.Store(int32(asker + 1))
			before := len(knd.ep.Arrivals())
			for range 40 {
				expect(wld.send(asker, knd.ask).status).To(equal(http.StatusOK))
			}
			expect(len(knd.ep.Arrivals())).To(equal(before), knd.pool)
			off.Store(0)
		}
	})

	// Guards against a request that is ended at a slow endpoint, for another attempt, though all
	// other endpoints name a rate and take none.
	ginkgo.It("leaves requests at a slow endpoint where it is the only other one", func() {
		wld := newWorld(1)
		wld.plain[0].SetRate(0.25)
		for range 20 {
			expect(wld.send(0, toPlain).status).To(equal(http.StatusOK))
		}
		wld.plain[1].DelayedDuration = 1500 * time.Millisecond
		for range 3 {
			wld.plain[1].QueueFaults(fake.Delayed)
			expect(wld.send(0, toPlain).status).To(equal(http.StatusOK))
		}
	})
})
