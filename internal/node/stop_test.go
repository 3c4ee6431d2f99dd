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

// holding is a log that holds up whoever writes a line with a certain word, once.
type holding struct {
	word []byte
	held chan struct{}
	once sync.Once
	let  chan struct{}
}

func (hld *holding) Write(line []byte) (int, error) {
	if bytes.Contains(line, hld.word) {
		hld.once.Do(func() {
			close(hld.held)
			<-hld.let
		})
	}
	return len(line), nil
}

var _ = ginkgo.Describe("a planned stop", func() {
	// Guards against requests that are let in unseen while the control thread is busy.
	ginkgo.It("begins for callers though the control thread is busy", func() {
		hld := &holding{word: []byte("members changed"), held: make(chan struct{}), let: make(chan struct{})}
		wld := newWorld(1)
		nodeLog = zerolog.New(hld)
		ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
		nod := wld.start()
		free := sync.OnceFunc(func() { close(hld.let) })
		ginkgo.DeferCleanup(free)
		eventually(hld.held, soon).Should(gomega.BeClosed())
		done := make(chan struct{})
		go func() {
			nod.Stop(context.Background())
			close(done)
		}()
		time.Sleep(200 * time.Millisecond)
		ans := wld.send(1, ask{path: "/no-such-path"})
		expect(ans.err).NotTo(anything())
		expect(ans.closes).To(gomega.BeTrue(), "%d %s", ans.status, ans.body)
		free()
		eventually(done, 2*soon).Should(gomega.BeClosed())
	})

	// Guards against orders of other instances that are dropped once own callers are served.
	ginkgo.It("fills the orders that it took from others", func() {
		wld := newWorld(2)
		gatherer := wld.nodes[0].ctl.View().Coordinators("rosters")[0]
		home := slices.IndexFunc(wld.nodes, func(nod *Node) bool { return nod.ctl.Self() == gatherer })
		expect(home).To(gomega.BeNumerically(">=", 0))
		for _, mkr := range wld.makers {
			mkr.Duration = 300 * time.Millisecond
		}
		done := make(chan got, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			// Fifteen calls, two at once.
			done <- wld.send(1-home, ask{path: "/stream-staged/x", header: map[string]string{fake.HeaderItems: "60,1", fake.HeaderItemKey: "pk"}})
		}()
		eventually(func() int { return len(wld.makers[0].Batches()) + len(wld.makers[1].Batches()) }, soon).Should(gomega.BeNumerically(">=", 1))
		began := time.Now()
		wld.nodes[home].Stop(context.Background())
		expect(time.Since(began)).To(gomega.BeNumerically("<", 5*time.Second))
		var ans got
		eventually(done, soon).Should(gomega.Receive(&ans))
		expect(ans.status).To(equal(http.StatusOK), ans.body)
		made := map[string]int{}
		for _, mkr := range wld.makers {
			for _, call := range mkr.Batches() {
				for _, piece := range call {
					made[piece]++
				}
			}
		}
		expect(made).To(gomega.HaveLen(61))
		expect(made).To(gomega.HaveEach(1))
	})

	// Guards against a closed connection in place of "not run" for a body that comes slowly.
	ginkgo.It("answers those whose requests it has not read whole", func() {
		wld := newWorld(1)
		nod := wld.nodes[0]
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

	// Guards against a closed connection in place of "may have run" at the stop's end.
	ginkgo.It("tells those that it gives up at its end whether they ran", func() {
		wld := newWorld(1)
		wld.publish(func(doc *fake.Document) { doc.Timeouts = map[string]int{"booking": 20000} })
		nod := wld.nodes[0]
		eventually(func() int64 { return nod.ctl.View().Plan().Version() }, soon).Should(equal(int64(wld.version)))
		fault(wld.plain, fake.Hangs)
		done := make(chan got, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			done <- wld.send(0, ask{path: "/booking/x", header: map[string]string{fake.HeaderDeadline: "20000"}})
		}()
		eventually(func() int { return len(runs(wld.plain)) }, soon).Should(equal(1))
		nod.Stop(context.Background())
		var ans got
		eventually(done, soon).Should(gomega.Receive(&ans))
		expect(ans.err).NotTo(anything())
		expect(ans.status).To(equal(http.StatusBadGateway), ans.body)
	})
})
