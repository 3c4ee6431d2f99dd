package node

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/talk"
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

// morgue has engines end under requests, and counts.
type morgue struct {
	wld *world
	mtx sync.Mutex
	// reached are the instants at which requests with the deadly body reached engines.
	reached []time.Time
	next    int
	sent    int
}

// endsEngines adds engines, and has all of them end on requests with the deadly body.
func (wld *world) endsEngines(more int) *morgue {
	mrg := &morgue{wld: wld, next: len(wld.engines)}
	for _, ep := range wld.engines {
		mrg.arm(ep)
	}
	for range more {
		mrg.add()
	}
	for _, nod := range wld.nodes {
		eventually(func() int {
			return len(slices.DeleteFunc(slices.Clone(nod.ctl.View().Endpoints()), func(ep talk.Endpoint) bool { return ep.Pool != "engines" }))
		}, soon).Should(equal(len(wld.engines)))
	}
	return mrg
}

func (mrg *morgue) add() {
	mrg.mtx.Lock()
	id := fmt.Sprintf("engine-%d", mrg.next)
	mrg.next++
	ep := mrg.wld.add("engines", id)
	mrg.wld.engines = append(mrg.wld.engines, ep)
	mrg.mtx.Unlock()
	mrg.arm(ep)
}

// arm has an engine end, its entry go and another one come.
func (mrg *morgue) arm(ep *fake.Endpoint) {
	srv := mrg.wld.servers[ep.ID()]
	ep.EndsOn(deadly, func() {
		mrg.mtx.Lock()
		mrg.reached = append(mrg.reached, time.Now())
		mrg.mtx.Unlock()
		srv.Close()
		time.AfterFunc(backAfterEnd, func() {
			mrg.wld.store.RemoveEndpoint(ep.ID())
			mrg.add()
		})
	})
}

// count gives how many deadly requests reached engines so far.
func (mrg *morgue) count() int {
	mrg.mtx.Lock()
	defer mrg.mtx.Unlock()
	return len(mrg.reached)
}

// repeat has the deadly request come again for a span, to one instance after the other.
func (mrg *morgue) repeat(span time.Duration) []got {
	var list []got
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		mrg.sent++
		list = append(list, mrg.wld.send(mrg.sent%len(mrg.wld.nodes), ask{path: "/stream-once/plan", body: deadly}))
	}
	return list
}

var _ = ginkgo.Describe("a request under which engines end", func() {
	// Guards against repeats of it that reach engines without bound, since each instance has
	// seen but some of the ends.
	ginkgo.It("reaches no more than three once all could know of three ends", func() {
		wld := newWorld(4)
		mrg := wld.endsEngines(4)
		for mrg.count() < 3 {
			mrg.repeat(time.Millisecond)
		}
		mrg.repeat(spreadWithin)
		before := mrg.count()
		mrg.repeat(3 * time.Second)
		expect(mrg.count() - before).To(gomega.BeNumerically("<=", 3))
		expect(wld.send(0, ask{path: "/stream-once/plan", body: "another plan"}).status).To(equal(http.StatusOK))
	})
})
