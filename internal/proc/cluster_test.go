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

// TestProcesses runs all specs with separate processes.
func TestProcesses(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, "processes", suite, reporter)
}

const workspace = "corella-track"

// cluster is a deployment with the usual endpoints, documents and instances.
type cluster struct {
	*Deployment
	instances []*Process
	engines   []*Process
	encoder   *Process
	booking   *Process
	bookings  []*Process
}

// newCluster starts a platform, pools, a booking service and the given number of instances, and
// publishes both documents.
func newCluster(count int, lines ...string) *cluster {
	dpl, err := NewDeployment(ginkgo.GinkgoT().TempDir())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(dpl.Close)
	cls := &cluster{Deployment: dpl}
	cls.encoder = cls.endpoint("pool", "encoder-1", "encoders")
	cls.endpoint("pool", "retriever-1", "retrievers")
	cls.endpoint("pool", "reranker-1", "rerankers")
	for i := range 2 {
		cls.engines = append(cls.engines, cls.endpoint("engine", fmt.Sprintf("planner-%d", i+1), "planners", "--checks-fencing"))
	}
	cls.booking = cls.endpoint("service", "booking-1", "booking")
	for i := range count {
		cls.addInstance(fmt.Sprintf("node%d", i+1), fmt.Sprintf("dc%d", i+1), lines...)
	}
	for _, file := range []string{"planning", "booking"} {
		cls.publish(file)
	}
	cls.awaitRouting()
	return cls
}

func (cls *cluster) endpoint(kind, id, pool string, args ...string) *Process {
	prc, err := cls.StartEndpoint(kind, id, pool, args...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return prc
}

func (cls *cluster) addInstance(name, zone string, lines ...string) *Process {
	ins, err := cls.StartInstance(name, zone, append([]string{`keep_ms = 1000`}, lines...)...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(WaitFor(10*time.Second, func() bool { return cls.Ready(ins) })).To(gomega.BeTrue(), ins.Log())
	cls.instances = append(cls.instances, ins)
	return ins
}

func (cls *cluster) publish(service string) {
	out, errs, status := cls.RunAmv("doc", "publish", filepath.Join("..", "demo", service+".toml"), "--node", cls.instances[0].OpsAddr())
	gomega.Expect(status).To(gomega.Equal(0), out+errs)
}

// awaitRouting waits until every instance reaches every pool, since the instance list lags.
func (cls *cluster) awaitRouting() {
	for _, ins := range cls.instances {
		gomega.Expect(WaitFor(10*time.Second, func() bool {
			ans := cls.call(ins, "planning", wire.Submit{Input: "warm up", MaxTokens: 1})
			st, err := cls.Status(ins)
			return ans.Outcome == "done" && err == nil && len(st.Members) == len(cls.instances) && len(st.Endpoints) >= 6
		})).To(gomega.BeTrue(), ins.Log())
	}
}

// call sends a request to one instance and no other.
func (cls *cluster) call(ins *Process, service string, sub wire.Submit) wire.Answer {
	return caller.New([]string{ins.Addr()}, workspace, "", "").CallAt(context.Background(), ins.Addr(), service, sub, nil)
}

func expires() clock.Milli { return clock.Clock{}.Now() + clock.Minute }

func book(key string) wire.Submit {
	return wire.Submit{Request: "confirm", Input: "possession " + key, Key: key, ExpiresMs: expires()}
}

// executionsOf counts the booking endpoint's executions for a key.
func (cls *cluster) executionsOf(key string) int {
	list, err := cls.Executions(cls.booking)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return len(slices.DeleteFunc(list, func(exc stand.Execution) bool {
		return exc.RequestID != workspace+"/booking/"+key
	}))
}

var _ = ginkgo.Describe("the whole path", func() {
	// A request with four stages gets its answer streamed. A booking that is sent
	// with the same key to two instances runs once, and both answer the same.
	ginkgo.It("answers amv call after four stages, and runs a repeated booking once", func() {
		cls := newCluster(2)
		out, errs, status := cls.RunAmv("call", "planning", "--node", cls.instances[1].Addr(), "--workspace", workspace, "--input", "draft", "--stream", "--max-tokens", "4")
		gomega.Expect(status).To(gomega.Equal(0), errs)
		want := ""
		for i := range 4 {
			want += stand.TokenAt("rerank(retrieve(encode(draft)))", i)
		}
		gomega.Expect(out).To(gomega.Equal(want + "\n"))
		for i := range 2 {
			out, errs, status = cls.RunAmv("call", "booking", "--node", cls.instances[i].Addr(), "--workspace", workspace, "--input", "p1", "--key", "k1", "--expires", "10m")
			gomega.Expect(status).To(gomega.Equal(0), errs)
			gomega.Expect(out).To(gomega.Equal("confirm(p1)\n"))
		}
		gomega.Expect(cls.executionsOf("k1")).To(gomega.Equal(1))
	})

	// Overhead of an instance: calls the same stages directly and through the
	// instance, in the same run. Prints figures and asserts only that both work.
	ginkgo.It("is measured against calling the stages directly", func() {
		if os.Getenv("AMV_MEASURE") == "" {
			ginkgo.Skip("a measurement; set AMV_MEASURE=1")
		}
		measureOverhead(newCluster(2))
	})

	// Outcomes, latencies and resource use at Corella's size under a steady load.
	ginkgo.It("is measured under load at the size of Corella", func() {
		if os.Getenv("AMV_MEASURE") == "" {
			ginkgo.Skip("a measurement; set AMV_MEASURE=1")
		}
		measureLoad(newLoadCluster())
	})

	// Resource use of the control loop alone: nine instances without callers.
	ginkgo.It("is measured idle with nine instances", func() {
		if os.Getenv("AMV_MEASURE") == "" {
			ginkgo.Skip("a measurement; set AMV_MEASURE=1")
		}
		measureIdle(newCluster(9))
	})
})

func isDone(ans wire.Answer) bool { return ans.Outcome == outcm.Done.String() }
