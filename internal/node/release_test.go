package node

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/platform/fake"
)

var _ = ginkgo.Describe("engines of a data centre that is released", func() {
	// Guards against engines that get the load of warm ones when their data centre is released: neither their
	// entries nor their answers say that they are cold, and the requests that wait in the queue, or the next
	// coordinator, must not exceed the rate either.
	ginkgo.It("get no more than their rate while requests wait and the coordinator changes", func() {
		tbd := newTestbed(0)
		for _, ep := range tbd.engines {
			tbd.store.PutEndpoint(ep.ID(), fake.EntryIn(evacuatedZone, "engines", tbd.servers[ep.ID()].Addr()))
		}
		tbd.publishCold()
		for range 4 {
			tbd.start()
		}
		for _, nod := range tbd.nodes {
			eventually(func() int {
				count := 0
				for _, ep := range nod.ctl.View().Endpoints() {
					if ep.Zone == evacuatedZone {
						count++
					}
				}
				return count
			}, pollTimeout).Should(equal(len(tbd.engines)))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
		defer cancel()
		ended := make(chan map[int]int, 1)
		go func() { ended <- tbd.generateLoad(ctx, engineRequest, 60) }()
		var longest atomic.Int64
		go func() {
			for ctx.Err() == nil {
				for _, nod := range tbd.nodes {
					for _, qst := range nod.coord.QueueStates() {
						longest.Store(max(longest.Load(), int64(qst.Waiting)))
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second)
		tbd.store.Evacuate(evacuatedZone)
		waitEvacuated(true, tbd.nodes...)
		time.Sleep(time.Second)
		for _, ep := range tbd.engines {
			ep.SetCold(coldTime, 0, coldRate, true, tbd.servers[ep.ID()].Close)
		}
		tbd.store.Release(evacuatedZone)
		waitEvacuated(false, tbd.nodes...)
		time.Sleep(time.Second)
		coordinator := tbd.nodes[0].ctl.View().Coordinators("engines")[0]
		for _, nod := range tbd.nodes {
			if nod.ctl.Self() == coordinator {
				nod.Kill()
			}
		}
		statuses := <-ended
		for _, ep := range tbd.engines {
			expectStands(ep, 2)
		}
		expect(longest.Load()).To(gomega.BeNumerically(">", 0), "no request waited in a queue")
		expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">", 100), fmt.Sprint(statuses))
	})
})
