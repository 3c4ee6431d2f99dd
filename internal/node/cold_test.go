package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/stand"
	"amaranthvalve/platform/fake"
)

const (
	// coldTime is how long engines are cold, coldRate the requests a second that each tolerates
	// meanwhile. Above coldBound requests within a second it crashes.
	coldTime  = 3 * time.Second
	coldRate  = 4.0
	coldBound = 1.5*coldRate + 5
	// entryInterval is the time between two entries that an engine writes.
	entryInterval = 1200 * time.Millisecond
)

// publishCold writes a document by which engines are cold after their start, and waits for it.
func (tbd *testbed) publishCold() {
	tbd.publish(func(doc *fake.Document) { doc.ColdStartS, doc.ColdPerS = coldTime.Seconds(), coldRate })
	for _, nod := range tbd.nodes {
		eventually(func() bool { return nod.ctl.View().Plan().HasCold() }, pollTimeout).Should(gomega.BeTrue())
	}
}

// writeEntries writes the entry of an engine, with its remaining cold time, until it is warm.
func (tbd *testbed) writeEntries(ep *fake.Endpoint, addr string) {
	entry := func() fake.Obj {
		obj := fake.Entry("engines", addr, false)
		obj["coldLeftMs"] = ep.ColdLeft().Milliseconds()
		return obj
	}
	tbd.store.PutEndpoint(ep.ID(), entry())
	done := make(chan struct{})
	tbd.cleanup(func() { close(done) })
	go func() {
		tkr := time.NewTicker(entryInterval)
		defer tkr.Stop()
		for ep.ColdLeft() > 0 {
			select {
			case <-tkr.C:
				tbd.store.PutEndpoint(ep.ID(), entry())
			case <-done:
				return
			}
		}
	}()
}

// startCold starts an engine that is cold, whose answers do not say so.
func (tbd *testbed) startCold(id string) *fake.Endpoint {
	ep := fake.NewEndpoint(id)
	srv, err := stand.Serve(anyAddress, ep.Handler())
	expect(err).NotTo(anything())
	ep.SetAddr(srv.Addr())
	ep.SetCold(coldTime, 0, coldRate, true, srv.Close)
	tbd.servers[id] = srv
	tbd.writeEntries(ep, srv.Addr())
	return ep
}

// expectStands expects that a cold engine did not crash, was used, and gets more once it is warm.
func expectStands(ep *fake.Endpoint, least int) {
	all, peak, crashed := ep.ColdLoad()
	expect(crashed).To(gomega.BeFalse(), "%s crashed: %d requests within a second", ep.ID(), peak)
	expect(float64(peak)).To(gomega.BeNumerically("<=", coldBound), ep.ID())
	expect(all).To(gomega.BeNumerically(">=", least), "%s left idle", ep.ID())
}

var _ = ginkgo.Describe("a cold engine", func() {
	// Guards against an engine that starts under load and crashes, because its share of the load is
	// more than it tolerates while it is cold, and against one that stays limited when it is warm.
	ginkgo.It("that starts under load gets no more than its rate until it is warm", func() {
		tbd := newTestbed(4)
		tbd.publishCold()
		ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
		defer cancel()
		ended := make(chan map[int]int, 1)
		go func() { ended <- tbd.generateLoad(ctx, engineRequest, 60) }()
		time.Sleep(2 * time.Second)
		tbd.servers["engine-1"].Close()
		tbd.store.RemoveEndpoint("engine-1")
		time.Sleep(time.Second)
		ep := tbd.startCold("engine-again")
		eventually(func() []string {
			var states []string
			for _, ste := range tbd.nodes[0].status(tbd.nodes[0].clk.Now()).Endpoints {
				if ste.ID == ep.ID() {
					states = append(states, ste.State)
				}
			}
			return states
		}, pollTimeout).Should(equal([]string{"cold"}))
		statuses := <-ended
		expectStands(ep, 4)
		warmAt := time.Now().Add(-3 * time.Second)
		warm := 0
		for _, at := range ep.Arrivals() {
			if at.After(warmAt) {
				warm++
			}
		}
		expect(warm).To(gomega.BeNumerically(">", 3*int(coldBound)), "%v", statuses)
		expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">", 500), "%v", statuses)
	})

	// Guards against engines that become cold together, at a moment at which they have the load of warm
	// ones, and crash because each instance or the next coordinator goes on as before. The requests
	// under way when they become cold do not count, nor those of the first second.
	ginkgo.It("stands if all become cold together and the coordinator crashes", func() {
		tbd := newTestbed(4)
		tbd.publishCold()
		ctx, cancel := context.WithTimeout(context.Background(), 11*time.Second)
		defer cancel()
		ended := make(chan map[int]int, 1)
		go func() { ended <- tbd.generateLoad(ctx, engineRequest, 60) }()
		time.Sleep(3 * time.Second)
		for _, ep := range tbd.engines {
			srv := tbd.servers[ep.ID()]
			ep.SetCold(2*coldTime, time.Second, coldRate, false, srv.Close)
			tbd.writeEntries(ep, srv.Addr())
		}
		time.Sleep(1500 * time.Millisecond)
		coordinator := tbd.nodes[0].ctl.View().Coordinators("engines")[0]
		for _, nod := range tbd.nodes {
			if nod.ctl.Self() == coordinator {
				nod.Kill()
			}
		}
		statuses := <-ended
		for _, ep := range tbd.engines {
			expectStands(ep, 4)
		}
		expect(statuses).To(gomega.HaveKey(http.StatusOK), fmt.Sprint(statuses))
	})
})
