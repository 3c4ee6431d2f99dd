package node

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/platform/fake"
)

// blockingLog blocks the first write of a line that contains a given text until it is released.
type blockingLog struct {
	match   []byte
	blocked chan struct{}
	once    sync.Once
	release chan struct{}
}

func (blg *blockingLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, blg.match) {
		blg.once.Do(func() {
			close(blg.blocked)
			<-blg.release
		})
	}
	return len(line), nil
}

var _ = ginkgo.Describe("a planned shutdown", func() {
	// Guards against requests that are admitted without regard to the shutdown while the control
	// loop is busy.
	ginkgo.It("begins for callers although the control loop is busy", func() {
		blg := &blockingLog{match: []byte("members changed"), blocked: make(chan struct{}), release: make(chan struct{})}
		tbd := newTestbed(1)
		nodeLog = zerolog.New(blg)
		ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
		nod := tbd.start()
		unblock := sync.OnceFunc(func() { close(blg.release) })
		ginkgo.DeferCleanup(unblock)
		eventually(blg.blocked, pollTimeout).Should(gomega.BeClosed())
		done := make(chan struct{})
		go func() {
			nod.Stop(context.Background())
			close(done)
		}()
		time.Sleep(200 * time.Millisecond)
		rsp := tbd.send(1, request{path: "/no-such-path"})
		expect(rsp.err).NotTo(anything())
		expect(rsp.closes).To(gomega.BeTrue(), "%d %s", rsp.status, rsp.body)
		unblock()
		eventually(done, 2*pollTimeout).Should(gomega.BeClosed())
	})

	// Guards against dropping the orders of other instances once all local callers are served.
	ginkgo.It("fills the orders that it accepted from other instances", func() {
		tbd := newTestbed(2)
		coordinator := tbd.nodes[0].ctl.View().Coordinators("rosters")[0]
		crd := slices.IndexFunc(tbd.nodes, func(nod *Node) bool { return nod.ctl.Self() == coordinator })
		expect(crd).To(gomega.BeNumerically(">=", 0))
		for _, stg := range tbd.stages {
			stg.Duration = 300 * time.Millisecond
		}
		done := make(chan response, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			// Fifteen batches, two at a time.
			done <- tbd.send(1-crd, request{path: "/stream-staged/x", header: map[string]string{fake.HeaderItems: "60,1", fake.HeaderItemKey: "pk"}})
		}()
		eventually(func() int { return len(tbd.stages[0].Batches()) + len(tbd.stages[1].Batches()) }, pollTimeout).Should(gomega.BeNumerically(">=", 1))
		began := time.Now()
		tbd.nodes[crd].Stop(context.Background())
		expect(time.Since(began)).To(gomega.BeNumerically("<", 5*time.Second))
		var rsp response
		eventually(done, pollTimeout).Should(gomega.Receive(&rsp))
		expect(rsp.status).To(equal(http.StatusOK), rsp.body)
		runCounts := map[string]int{}
		for _, stg := range tbd.stages {
			for _, bat := range stg.Batches() {
				for _, item := range bat {
					runCounts[item]++
				}
			}
		}
		expect(runCounts).To(gomega.HaveLen(61))
		expect(runCounts).To(gomega.HaveEach(1))
	})

	// Guards against a closed connection in place of the outcome not_run for a body that arrives
	// slowly.
	ginkgo.It("answers callers whose requests it has not read completely", func() {
		tbd := newTestbed(1)
		nod := tbd.nodes[0]
		con, err := net.Dial("tcp", nod.set.CallerAddr())
		expect(err).NotTo(anything())
		defer func() { _ = con.Close() }()
		req, err := fake.Request(http.MethodPost, nod.set.CallerAddr(), "/booking/x", host, "slow-body", deadline, key, "ten bytes.", nil)
		expect(err).NotTo(anything())
		var raw bytes.Buffer
		expect(req.Write(&raw)).To(gomega.Succeed())
		_, err = con.Write(raw.Bytes()[:raw.Len()-5])
		expect(err).NotTo(anything())
		time.Sleep(50 * time.Millisecond)
		go nod.Stop(context.Background())
		_ = con.SetReadDeadline(time.Now().Add(9 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(con), req)
		expect(err).NotTo(anything())
		expect(res.StatusCode).To(equal(http.StatusServiceUnavailable))
	})

	// Guards against a closed connection in place of the outcome unknown at the end of the shutdown.
	ginkgo.It("answers the requests that it aborts with their outcome", func() {
		tbd := newTestbed(1)
		tbd.publish(func(doc *fake.Document) { doc.Timeouts = map[string]int{"booking": 20000} })
		nod := tbd.nodes[0]
		eventually(func() int64 { return nod.ctl.View().Plan().Version() }, pollTimeout).Should(equal(int64(tbd.version)))
		injectFaults(tbd.plain, fake.Hangs)
		done := make(chan response, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			done <- tbd.send(0, request{path: "/booking/x", header: map[string]string{fake.HeaderDeadline: "20000"}})
		}()
		eventually(func() int { return len(runs(tbd.plain)) }, pollTimeout).Should(equal(1))
		nod.Stop(context.Background())
		var rsp response
		eventually(done, pollTimeout).Should(gomega.Receive(&rsp))
		expect(rsp.err).NotTo(anything())
		expect(rsp.status).To(equal(http.StatusBadGateway), rsp.body)
	})
})
