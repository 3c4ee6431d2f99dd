package node

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform/fake"
)

// outOfStep is a testbed whose last instance can be put out of step with the others.
type outOfStep struct {
	*testbed
	// last is the index of that instance, cut is set while it reaches neither the others nor the store; mute is set while the
	// first instance tells the others nothing.
	last      int
	cut, mute atomic.Bool
	// stop makes its control loop stand still at its next log line, until release is called.
	stop    atomic.Bool
	stopped chan struct{}
	release func()
}

// Write is the log of the last instance.
func (oos *outOfStep) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"endpoint changed"`)) && oos.stop.CompareAndSwap(true, false) {
		<-oos.stopped
	}
	return len(line), nil
}

func newOutOfStep(nodes int) *outOfStep {
	oos := &outOfStep{last: nodes - 1, stopped: make(chan struct{})}
	oos.release = sync.OnceFunc(func() { close(oos.stopped) })
	oos.testbed = newTokenTestbed(0, clock.Minute)
	ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
	for i := range nodes {
		if i == oos.last {
			nodeLog = zerolog.New(oos)
		}
		oos.startWithLink(func(nod *Node) {
			nod.link.Partitioned = func(addr string) bool {
				return i == 0 && oos.mute.Load() || oos.cut.Load() && (i == oos.last || addr == oos.nodes[oos.last].link.Addr())
			}
		})
	}
	ginkgo.DeferCleanup(oos.release)
	oos.waitJoined()
	oos.useBuilds("v1", "v1")
	for _, ep := range oos.engines {
		ep.Duration = 20 * time.Millisecond
	}
	return oos
}

// cutOff cuts the last instance off from the others and from the store.
func (oos *outOfStep) cutOff() {
	oos.proxies[oos.last].cut.Store(true)
	oos.cut.Store(true)
}

// replaceEngines has the engines of v1 leave, and others of v2 join, at all instances but the last.
func (oos *outOfStep) replaceEngines() {
	old := oos.engines
	for _, id := range []string{"newer-0", "newer-1"} {
		ep := oos.addBuild(id, "v2")
		ep.Duration = 20 * time.Millisecond
		oos.engines = append(oos.engines, ep)
	}
	for _, ep := range old {
		oos.store.RemoveEndpoint(ep.ID())
	}
	for node := range oos.last {
		eventually(func() bool { return oos.lists(node, "engines", "newer-0", "newer-1") }, pollTimeout).Should(gomega.BeTrue())
	}
	expect(oos.nodes[oos.last].pools.HasBuild("engines", "v2")).To(gomega.BeFalse())
}

// expectRefused expects the last instance not to resume the stream of v2 by its request alone.
func (oos *outOfStep) expectRefused() {
	rsp := oos.resume(oos.last, "joined")
	expect(rsp.status).To(equal(http.StatusServiceUnavailable), "%v", fake.Builds(rsp.body))
	expect(rsp.body).To(gomega.ContainSubstring("build_unknown"))
	expect(oos.hasRun("joined")).To(gomega.BeFalse())
}

var _ = ginkgo.Describe("an instance that is out of step while engines of another build join", func() {
	for name, leave := range map[string]func(oos *outOfStep){
		"cut off from the others": (*outOfStep).cutOff,
		"standing still":          func(oos *outOfStep) { oos.stop.Store(true) },
	} {
		// Guards against a stream of the new build that goes on at the old one, because the instance knows an earlier
		// stream of the same request, and of no other build.
		ginkgo.It("resumes no stream that began again at the new build; "+name, func() {
			oos := newOutOfStep(3)
			expect(oos.begin(oos.last, "first")).To(equal("v1"))
			leave(oos)
			oos.replaceEngines()
			expect(oos.begin(0, "again")).To(equal("v2"))
			oos.expectRefused()
		})

		// Guards against the same after the instance that began the stream of the new build has ended before anybody
		// learnt of it: that there is another build is known nevertheless.
		ginkgo.It("resumes no stream whose beginning was lost; "+name, func() {
			oos := newOutOfStep(3)
			oos.mute.Store(true)
			expect(oos.begin(oos.last, "first")).To(equal("v1"))
			leave(oos)
			oos.replaceEngines()
			expect(oos.begin(0, "again")).To(equal("v2"))
			oos.nodes[0].Kill()
			oos.expectRefused()
		})
	}

	// Guards against streams that are refused although the instance is in step, and against a reader of the store alone that
	// refuses all of them.
	ginkgo.It("resumes streams again once it is in step, and alone while it reads the store", func() {
		oos := newOutOfStep(3)
		expect(oos.begin(oos.last, "first")).To(equal("v1"))
		for node := range oos.nodes {
			for i := range 10 {
				id := fmt.Sprint("in-step-", node, "-", i)
				expect(oos.resume(node, id).status).To(equal(http.StatusOK), id)
			}
		}
		oos.cutOff()
		expect(oos.resume(oos.last, "cut-off").status).To(equal(http.StatusServiceUnavailable))
		oos.cut.Store(false)
		oos.proxies[oos.last].cut.Store(false)
		eventually(func() int { return oos.resume(oos.last, "again").status }, pollTimeout).Should(equal(http.StatusOK))
		for _, nod := range oos.nodes[:oos.last] {
			nod.Kill()
		}
		eventually(func() int { return oos.resume(oos.last, "alone").status }, 2*pollTimeout).Should(equal(http.StatusOK))
	})
})
