package proc

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
	"amaranthvalve/internal/zlog"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

// TestProcesses is the entry of all tests with separate processes.
func TestProcesses(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, "processes", suite, reporter)
}

const workspace = "corella-track"

// world is a bench with the usual endpoints, documents and instances.
type world struct {
	*Bench
	nodes    []*Process
	engines  []*Process
	encoder  *Process
	booking  *Process
	bookings []*Process
}

// newWorld starts a platform, pools, a booking service and so many instances,
// and publishes both documents.
func newWorld(nodes int, lines ...string) *world {
	bch, err := NewBench(ginkgo.GinkgoT().TempDir())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(bch.Close)
	wld := &world{Bench: bch}
	wld.encoder = wld.endpoint("pool", "encoder-1", "encoders")
	wld.endpoint("pool", "retriever-1", "retrievers")
	wld.endpoint("pool", "reranker-1", "rerankers")
	for i := range 2 {
		wld.engines = append(wld.engines, wld.endpoint("engine", fmt.Sprintf("planner-%d", i+1), "planners", "--checks-fencing"))
	}
	wld.booking = wld.endpoint("service", "booking-1", "booking")
	for i := range nodes {
		wld.addNode(fmt.Sprintf("node%d", i+1), fmt.Sprintf("dc%d", i+1), lines...)
	}
	for _, file := range []string{"planning", "booking"} {
		wld.publish(file)
	}
	wld.awaitPath()
	return wld
}

func (wld *world) endpoint(kind, id, pool string, args ...string) *Process {
	prc, err := wld.Endpoint(kind, id, pool, args...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return prc
}

func (wld *world) addNode(name, zone string, lines ...string) *Process {
	nod, err := wld.Node(name, zone, append([]string{`keep_ms = 1000`}, lines...)...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(Until(10*time.Second, func() bool { return wld.Ready(nod) })).To(gomega.BeTrue(), nod.Log())
	wld.nodes = append(wld.nodes, nod)
	return nod
}

func (wld *world) publish(service string) {
	out, errs, status := wld.Amv("doc", "publish", filepath.Join("..", "demo", service+".toml"), "--node", wld.nodes[0].Ops())
	gomega.Expect(status).To(gomega.Equal(0), out+errs)
}

// awaitPath waits until every instance reaches every pool, for the instance
// list lags.
func (wld *world) awaitPath() {
	for _, nod := range wld.nodes {
		gomega.Expect(Until(10*time.Second, func() bool {
			ans := wld.call(nod, "planning", wire.Submit{Input: "warm up", MaxTokens: 1})
			st, err := wld.Status(nod)
			return ans.Outcome == "done" && err == nil && len(st.Members) == len(wld.nodes) && len(st.Endpoints) >= 6
		})).To(gomega.BeTrue(), nod.Log())
	}
}

// call sends a request to one instance and no other.
func (wld *world) call(nod *Process, service string, sub wire.Submit) wire.Answer {
	return caller.New([]string{nod.Addr()}, workspace, "", "").CallAt(context.Background(), nod.Addr(), service, sub, nil)
}

func expires() clock.Milli { return clock.Clock{}.Now() + clock.Minute }

func book(key string) wire.Submit {
	return wire.Submit{Request: "confirm", Input: "possession " + key, Key: key, ExpiresMs: expires()}
}

// ran counts an endpoint's executions for a key.
func (wld *world) ran(key string) int {
	list, err := wld.Executions(wld.booking)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return len(slices.DeleteFunc(list, func(exc stand.Execution) bool {
		return exc.RequestID != workspace+"/booking/"+key
	}))
}

var _ = ginkgo.Describe("the whole path", func() {
	// A caller asks for an address, sends a request with four stages and gets
	// the streamed answer; a booking sent twice with one key at two instances
	// runs once and is answered alike.
	ginkgo.It("goes from amv call through four stages and back", func() {
		wld := newWorld(2)
		out, errs, status := wld.Amv("call", "planning", "--node", wld.nodes[1].Addr(), "--workspace", workspace, "--input", "draft", "--stream", "--max-tokens", "4")
		gomega.Expect(status).To(gomega.Equal(0), errs)
		want := ""
		for i := range 4 {
			want += stand.TokenAt("rerank(retrieve(encode(draft)))", i)
		}
		gomega.Expect(out).To(gomega.Equal(want + "\n"))
		for i := range 2 {
			out, errs, status = wld.Amv("call", "booking", "--node", wld.nodes[i].Addr(), "--workspace", workspace, "--input", "p1", "--key", "k1", "--expires", "10m")
			gomega.Expect(status).To(gomega.Equal(0), errs)
			gomega.Expect(out).To(gomega.Equal("confirm(p1)\n"))
		}
		gomega.Expect(wld.ran("k1")).To(gomega.Equal(1))
	})

	// Overhead of the instance: the same stages called directly and through
	// it, in the same run. It prints figures and asserts only that both work.
	ginkgo.It("is measured against calling the stages directly", func() {
		if os.Getenv("AMV_MEASURE") == "" {
			ginkgo.Skip("a measurement; set AMV_MEASURE=1")
		}
		measureOverhead(newWorld(2))
	})

	// Corella's size under a steady load: answers, times, and what it costs.
	ginkgo.It("is measured under load at today's size", func() {
		if os.Getenv("AMV_MEASURE") == "" {
			ginkgo.Skip("a measurement; set AMV_MEASURE=1")
		}
		measureLoad(loadWorld())
	})

	// What control alone takes: nine instances without callers.
	ginkgo.It("is measured idle with nine instances", func() {
		if os.Getenv("AMV_MEASURE") == "" {
			ginkgo.Skip("a measurement; set AMV_MEASURE=1")
		}
		measureIdle(newWorld(9))
	})
})

func isDone(ans wire.Answer) bool { return ans.Outcome == outcm.Done.String() }
