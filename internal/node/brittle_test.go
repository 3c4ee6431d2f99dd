package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/stand"
	"amaranthvalve/platform/fake"
)

// fallsAllowed is the number of falls that the users' rule allows for a number of brittle endpoints.
func fallsAllowed(endpoints int) int { return 2 + endpoints/10 }

const (
	// fallenFor is the time from the fall of an endpoint to the start of its successor.
	fallenFor = 2 * time.Second
)

// brittleTest makes the endpoints of a pool brittle and counts their falls.
type brittleTest struct {
	tbd  *testbed
	pool string
	// slots is the number of requests that an endpoint runs at a time, most the number of rejections
	// within a second that it survives.
	slots, most int

	mtx   sync.Mutex
	falls int
	next  int
	done  bool
	// queue is the number of requests that endpoints let wait.
	queue int
	all   []*fake.Endpoint
}

// makeBrittle makes endpoints brittle that run a number of requests at a time: more than most
// rejections within a second fell one.
func (tbd *testbed) makeBrittle(pool string, list []*fake.Endpoint, slots, most int) *brittleTest {
	brt := &brittleTest{tbd: tbd, pool: pool, slots: slots, most: most, queue: 2 * slots}
	tbd.cleanup(func() {
		brt.mtx.Lock()
		defer brt.mtx.Unlock()
		brt.done = true
	})
	for _, ep := range list {
		brt.arm(ep, tbd.servers[ep.ID()])
	}
	return brt
}

func (brt *brittleTest) arm(ep *fake.Endpoint, srv *stand.Server) {
	brt.mtx.Lock()
	defer brt.mtx.Unlock()
	brt.all = append(brt.all, ep)
	ep.SetRoom(brt.slots, brt.queue)
	ep.SetBrittle(brt.most, func() {
		srv.Close()
		brt.mtx.Lock()
		brt.falls++
		brt.mtx.Unlock()
		time.AfterFunc(fallenFor, func() { brt.replace(ep) })
	})
}

// replace starts the successor of an endpoint that has fallen.
func (brt *brittleTest) replace(ep *fake.Endpoint) {
	brt.mtx.Lock()
	if brt.done {
		brt.mtx.Unlock()
		return
	}
	brt.next++
	id := fmt.Sprintf("%s-again-%d", brt.pool, brt.next)
	brt.mtx.Unlock()
	brt.tbd.store.RemoveEndpoint(ep.ID())
	next := brt.tbd.add(brt.pool, id)
	next.Duration = ep.Duration
	brt.arm(next, brt.tbd.servers[id])
}

// shrink makes the endpoints let fewer requests wait.
func (brt *brittleTest) shrink(queue int) {
	brt.mtx.Lock()
	defer brt.mtx.Unlock()
	brt.queue = queue
	for _, ep := range brt.all {
		ep.SetRoom(brt.slots, queue)
	}
}

// fallCount returns the number of falls so far.
func (brt *brittleTest) fallCount() int {
	brt.mtx.Lock()
	defer brt.mtx.Unlock()
	return brt.falls
}

// sendBursts sends bursts of requests to all instances in turn until the context ends, and counts the
// responses by status.
func (tbd *testbed) sendBursts(ctx context.Context, rqt request, size int, pause time.Duration) map[int]int {
	statuses := map[int]int{}
	var mtx sync.Mutex
	var grp sync.WaitGroup
	for burst := 0; ctx.Err() == nil; burst++ {
		for i := range size {
			grp.Go(func() {
				req := rqt
				req.id = fmt.Sprintf("%s-%d-%d", rqt.path, burst, i)
				rsp := tbd.send(i%len(tbd.nodes), req)
				mtx.Lock()
				defer mtx.Unlock()
				statuses[rsp.status]++
			})
		}
		time.Sleep(pause)
	}
	grp.Wait()
	return statuses
}

var _ = ginkgo.Describe("a pool of brittle endpoints", func() {
	// burst and pause are the size of bursts of requests and the time between them.
	const burst, pause = 24, 250 * time.Millisecond

	// Guards against endpoints that fall since each instance sends them what it thinks they have room
	// for, while they let fewer requests wait than before.
	ginkgo.It("is sent no more by all instances together than it has room for", func() {
		tbd := newTestbed(4)
		for _, ep := range tbd.plain {
			ep.Duration = 60 * time.Millisecond
		}
		brt := tbd.makeBrittle("bookings", tbd.plain, 8, 1)
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		tbd.sendBursts(ctx, plainRequest, burst, pause)
		brt.shrink(0)
		ctx, cancel = context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		statuses := tbd.sendBursts(ctx, plainRequest, burst, pause)
		ginkgo.GinkgoLogr.Info(fmt.Sprint(brt.fallCount(), " falls, ", statuses))
		expect(brt.fallCount()).To(gomega.BeNumerically("<=", fallsAllowed(len(tbd.plain))))
		sum := 0
		for _, count := range statuses {
			sum += count
		}
		expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">=", 9*sum/10), "%v", statuses)
	})

	// Guards against slots that go to the callers of the coordinator, which asks without a round trip, while
	// there are twice as many requests as slots.
	ginkgo.It("serves the requests of all instances alike", alone, func() {
		tbd := newTestbed(4)
		for _, ep := range tbd.plain {
			ep.Duration = 60 * time.Millisecond
		}
		tbd.makeBrittle("bookings", tbd.plain, 8, 1)
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		tbd.sendBursts(ctx, plainRequest, burst, pause)
		var mtx sync.Mutex
		var grp sync.WaitGroup
		served := map[int]int{}
		for round := range 60 {
			for i := range 64 {
				grp.Go(func() {
					rqt := plainRequest
					rqt.id = fmt.Sprintf("alike-%d-%d", round, i)
					if tbd.send(i%len(tbd.nodes), rqt).status == http.StatusOK {
						mtx.Lock()
						defer mtx.Unlock()
						served[i%len(tbd.nodes)]++
					}
				})
			}
			time.Sleep(60 * time.Millisecond)
		}
		grp.Wait()
		ginkgo.GinkgoLogr.Info(fmt.Sprint("served by instance ", served))
		least, most := served[0], served[0]
		for node := range tbd.nodes {
			least, most = min(least, served[node]), max(most, served[node])
		}
		expect(least).To(gomega.BeNumerically(">", 6*most/10), "%v", served)
	})

	// Guards against the same where prompts are placed and items are batched.
	ginkgo.It("is sent no more prompts and batches than it has room for", func() {
		tbd := newTestbed(4)
		for _, ep := range tbd.engines {
			ep.Duration = 30 * time.Millisecond
		}
		engines, stages := tbd.makeBrittle("engines", tbd.engines, 8, 1), tbd.makeBrittle("rosters", tbd.stages, 1, 1)
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		tbd.sendBursts(ctx, stageRequest, burst/3, pause)
		engines.shrink(0)
		stages.shrink(0)
		ctx, cancel = context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		var grp sync.WaitGroup
		for _, rqt := range []request{engineRequest, stageRequest} {
			grp.Go(func() { tbd.sendBursts(ctx, rqt, burst/2, pause) })
		}
		grp.Wait()
		expect(engines.fallCount()).To(gomega.BeNumerically("<=", fallsAllowed(len(tbd.engines))))
		expect(stages.fallCount()).To(gomega.BeNumerically("<=", fallsAllowed(len(tbd.stages))))
	})

	// Guards against a new coordinator that grants what its predecessor has granted already, and against
	// instances that send what they like while there is none.
	ginkgo.It("is sent no more when its coordinator crashes", func() {
		tbd := newTestbed(4)
		for _, ep := range tbd.plain {
			ep.Duration = 60 * time.Millisecond
		}
		brt := tbd.makeBrittle("bookings", tbd.plain, 8, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		time.AfterFunc(settleTime, func() {
			brt.shrink(0)
			coordinator := tbd.nodes[0].ctl.View().Coordinators("bookings")[0]
			for _, nod := range tbd.nodes {
				if nod.ctl.Self() == coordinator {
					nod.Kill()
				}
			}
		})
		statuses := tbd.sendBursts(ctx, plainRequest, burst, pause)
		ginkgo.GinkgoLogr.Info(fmt.Sprint(brt.fallCount(), " falls, ", statuses))
		expect(brt.fallCount()).To(gomega.BeNumerically("<=", fallsAllowed(len(tbd.plain))))
		expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">", 300), "%v", statuses)
	})
})
