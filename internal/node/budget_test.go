package node

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform/fake"
)

const (
	// budgetShare and budgetReserve are the retry budget of a pool in each budgetWindow.
	budgetShare   = 0.2
	budgetReserve = 56
	budgetWindow  = 5 * time.Second
)

// running are the instances of a testbed that run. It is safe for concurrent use.
type running struct {
	mtx  sync.Mutex
	list []*Node
}

// running returns the instances started so far.
func (tbd *testbed) running() *running { return &running{list: slices.Clone(tbd.nodes)} }

// addrs returns the addresses for callers.
func (rng *running) addrs() []string {
	rng.mtx.Lock()
	defer rng.mtx.Unlock()
	var list []string
	for _, nod := range rng.list {
		list = append(list, nod.set.CallerAddr())
	}
	return list
}

// replaceFirst starts an instance and, once it is ready, kills the one that has run longest.
func (rng *running) replaceFirst(tbd *testbed) {
	nod := tbd.start()
	eventually(func() bool { return nod.ctl.View().Ready(nod.clk.Now()) }, pollTimeout).Should(gomega.BeTrue())
	rng.mtx.Lock()
	first := rng.list[0]
	rng.list = append(rng.list[1:], nod)
	rng.mtx.Unlock()
	first.Kill()
}

// budgetLoad records the requests that callers send.
type budgetLoad struct {
	mtx  sync.Mutex
	sent []time.Time
}

// send sends a request to an instance each 10 ms until the context ends, whichever instances there are.
func (bld *budgetLoad) send(ctx context.Context, path string, addrs func() []string) {
	var grp sync.WaitGroup
	defer grp.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(10 * time.Millisecond)
		list := addrs()
		bld.mtx.Lock()
		bld.sent = append(bld.sent, time.Now())
		bld.mtx.Unlock()
		grp.Go(func() {
			req, err := fake.Request(http.MethodPost, list[i%len(list)], path, host, fmt.Sprint(path, i), deadline, key, fmt.Sprint(i), nil)
			expect(err).NotTo(anything())
			if res, err := client.Do(req.WithContext(ctx)); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		})
	}
}

// count returns the number of requests within a window that ends at a time.
func (bld *budgetLoad) count(end time.Time) int {
	bld.mtx.Lock()
	defer bld.mtx.Unlock()
	count := 0
	for _, at := range bld.sent {
		if !at.After(end) && end.Sub(at) < budgetWindow {
			count++
		}
	}
	return count
}

// repeats returns the times of the arrivals at endpoints beyond the first of each request.
func repeats(eps []*fake.Endpoint) []time.Time {
	byID := map[string][]time.Time{}
	for _, ep := range eps {
		for _, arr := range ep.AllArrivals() {
			if arr.ID != "" {
				byID[arr.ID] = append(byID[arr.ID], arr.At)
			}
		}
	}
	var list []time.Time
	for _, times := range maps.All(byID) {
		slices.SortFunc(times, time.Time.Compare)
		list = append(list, times[1:]...)
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

var _ = ginkgo.Describe("the repeats of all instances together", func() {
	// Guards against instances that each spend a budget of all, when they start, come and go.
	ginkgo.It("stay within the budget of their pool while endpoints fail and instances come and go", func() {
		tbd := newTokenTestbed(0, clock.Minute)
		tbd.moreSettings = fmt.Sprintf("retry_share = %g\nretry_reserve = %d\nretry_window_ms = %d", budgetShare, budgetReserve, budgetWindow.Milliseconds())
		for range 3 {
			tbd.start()
		}
		tbd.waitJoined()
		eps := [][]*fake.Endpoint{tbd.engines, tbd.plain}
		for _, pool := range eps {
			for i, ep := range pool {
				ep.SetRest(restSlack)
				for range 5000 {
					ep.QueueFaults([]fake.Fault{fake.Cuts, fake.Shed, fake.Fails, fake.CutsMidway}[i:]...)
				}
			}
		}
		all := tbd.running()
		ctx, cancel := context.WithTimeout(context.Background(), budgetWindow)
		defer cancel()
		loads := []*budgetLoad{{}, {}}
		var grp sync.WaitGroup
		grp.Go(func() { loads[0].send(ctx, "/stream/x", all.addrs) })
		grp.Go(func() { loads[1].send(ctx, "/log/x", all.addrs) })
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			all.replaceFirst(tbd)
		}
		grp.Wait()
		for i, pool := range eps {
			list := repeats(pool)
			expect(list).NotTo(gomega.BeEmpty())
			for _, end := range list {
				count := 0
				for _, at := range list {
					if !at.After(end) && end.Sub(at) < budgetWindow {
						count++
					}
				}
				expect(float64(count)).To(gomega.BeNumerically("<=", budgetShare*float64(loads[i].count(end))+budgetReserve))
			}
			ginkgo.GinkgoLogr.Info(fmt.Sprint(len(list), " repeats of ", len(loads[i].sent)))
		}
	})
})
