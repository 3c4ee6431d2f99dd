package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
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
	most, came := 0, ep.Came()
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
	toMakers  = ask{path: "/stream-staged/x", header: map[string]string{fake.HeaderPieces: "2,1", fake.HeaderPieceKey: "k"}}
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
			expect(len(knd.eps[0].Came())).To(gomega.BeNumerically(">", 4), "%s left idle", knd.ask.path)
		}
	})
})
