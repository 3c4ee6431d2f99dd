package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform/fake"
)

const (
	// drainTime is the time after an instance has passed on an answer that announces the endpoint's
	// end, after which it must send the endpoint nothing.
	drainTime = 2 * time.Second
	// restTime is the rest that an endpoint asks for. Between restSlack after it has turned an instance
	// away and the end of that time the instance may send it restAllowed requests.
	restTime    = 3 * time.Second
	restSlack   = 500 * time.Millisecond
	restAllowed = 2
)

// senderOf returns the address from which an instance of a testbed connects to endpoints.
func senderOf(node int) string { return fmt.Sprintf("127.0.1.%d", node+1) }

// newSenderTestbed is newTestbed whose instances connect to endpoints from addresses of their own, and
// accept tokens while the store does not answer.
func newSenderTestbed(nodes int) *testbed {
	tbd := newTokenTestbed(0, clock.Minute)
	for i := range nodes {
		tbd.startWithLink(func(nod *Node) {
			dlr := dial.Direct(dial.EndpointSilence)
			dlr.LocalAddr = &net.TCPAddr{IP: net.ParseIP(senderOf(i))}
			nod.SetDial(dlr.DialContext)
		})
	}
	tbd.waitJoined()
	return tbd
}

// sendMixed sends all kinds of requests to all instances in turn until the context ends.
func (tbd *testbed) sendMixed(ctx context.Context, perSecond int) {
	var grp sync.WaitGroup
	for _, rqt := range partitionRequests {
		grp.Go(func() { tbd.generateLoad(ctx, rqt, perSecond) })
	}
	grp.Wait()
}

// isRelease reports whether a request releases results, which no caller sent.
func isRelease(arr fake.Arrival) bool { return arr.Path == fake.PathRelease }

var _ = ginkgo.Describe("an endpoint that announces its end in its answers", func() {
	// Guards against requests, prompts and batches that reach an endpoint after it has said that it
	// leaves, while the store doesn't answer.
	ginkgo.It("gets no new work from any instance although the store is silent", func() {
		tbd := newSenderTestbed(4)
		tbd.store.SetMode(fake.Silent)
		leaving := []*fake.Endpoint{tbd.engines[0], tbd.plain[0], tbd.stages[0]}
		for _, ep := range leaving {
			ep.SetLeaving()
		}
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		began := time.Now()
		tbd.sendMixed(ctx, 20)
		for _, ep := range leaving {
			late := 0
			for _, arr := range ep.AllArrivals() {
				if arr.At.Sub(began) > drainTime && !isRelease(arr) {
					late++
				}
			}
			expect(late).To(gomega.BeZero(), "%s got %d requests", ep.ID(), late)
		}
	})
})

var _ = ginkgo.Describe("a request whose endpoint announces its end", func() {
	// Guards against a request that is sent to an endpoint which was chosen before it was known to leave.
	ginkgo.It("while the connection is opened is sent to another endpoint", func() {
		tbd := newTestbed(0)
		var mtx sync.Mutex
		dialled, proceed := "", make(chan struct{})
		nod := tbd.startWithLink(func(nod *Node) {
			direct := dial.Direct(dial.EndpointSilence)
			nod.SetDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
				mtx.Lock()
				first := dialled == "" && (addr == tbd.servers["booking-0"].Addr() || addr == tbd.servers["booking-1"].Addr())
				if first {
					dialled = addr
				}
				mtx.Unlock()
				if first {
					<-proceed
				}
				return direct.DialContext(ctx, network, addr)
			})
		})
		tbd.waitJoined()
		done := make(chan response, 1)
		go func() { done <- tbd.send(0, request{path: "/booking/x", body: "a booking"}) }()
		chosen := func() string {
			mtx.Lock()
			defer mtx.Unlock()
			return dialled
		}
		eventually(chosen, pollTimeout).ShouldNot(gomega.BeEmpty())
		for _, ep := range nod.ctl.View().Endpoints() {
			if ep.Addr == chosen() {
				nod.ctl.EndpointLeaving(ep.ID, "test")
				eventually(func() bool { return nod.ctl.View().IsLeaving(ep.ID) }, pollTimeout).Should(gomega.BeTrue())
			}
		}
		close(proceed)
		var rsp response
		eventually(done, pollTimeout).Should(gomega.Receive(&rsp))
		expect(rsp.status).To(equal(http.StatusOK))
		for _, ep := range tbd.plain {
			expect(len(ep.Runs()) > 0).To(equal(tbd.servers[ep.ID()].Addr() != chosen()), ep.ID())
		}
	})
})

var _ = ginkgo.Describe("a batch whose endpoint announces its end", func() {
	// Guards against a batch that is sent over a connection which was being opened when its endpoint became known to
	// leave.
	ginkgo.It("while the connection is opened goes to another endpoint", func() {
		tbd := newTestbed(0)
		first := tbd.stages[0]
		var held atomic.Bool
		dialling, proceed := make(chan string, 99), make(chan struct{})
		nod := tbd.startWithLink(func(nod *Node) {
			direct := dial.Direct(dial.EndpointSilence)
			nod.SetDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
				con, err := direct.DialContext(ctx, network, addr)
				if held.Load() && addr == tbd.servers[first.ID()].Addr() {
					dialling <- addr
					<-proceed
				}
				return con, err
			})
		})
		tbd.waitJoined()
		eventually(func() bool {
			return slices.ContainsFunc(nod.ctl.View().Endpoints(), func(ep proto.Endpoint) bool { return ep.ID.Name() == first.ID() })
		}, pollTimeout).Should(gomega.BeTrue())
		began := time.Now()
		held.Store(true)
		answers := make(chan response, 12)
		for i := range 12 {
			go func() {
				rqt := stageRequest
				rqt.id, rqt.body = fmt.Sprint("batched-", i), fmt.Sprint("body ", i)
				answers <- tbd.send(0, rqt)
			}()
		}
		eventually(dialling, pollTimeout).Should(gomega.Receive())
		for _, ep := range nod.ctl.View().Endpoints() {
			if ep.ID.Name() == first.ID() {
				nod.ctl.EndpointLeaving(ep.ID, "test")
				eventually(func() bool { return nod.ctl.View().IsLeaving(ep.ID) }, pollTimeout).Should(gomega.BeTrue())
			}
		}
		held.Store(false)
		close(proceed)
		for range 12 {
			var rsp response
			eventually(answers, pollTimeout).Should(gomega.Receive(&rsp))
			expect(rsp.status).To(equal(http.StatusOK), rsp.body)
		}
		expect(slices.DeleteFunc(arrivedAfter(began, first), func(text string) bool { return strings.Contains(text, fake.PathRelease) })).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("an endpoint that asks an instance for rest", func() {
	// Guards against requests that an endpoint gets from an instance to which it has given a time to come
	// back.
	ginkgo.It("gets no more than two requests from it in that time", func() {
		tbd := newSenderTestbed(4)
		resting := []*fake.Endpoint{tbd.engines[0], tbd.plain[0], tbd.stages[0]}
		for _, ep := range resting {
			ep.SetRest(restTime)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				time.Sleep(200 * time.Millisecond)
				for _, ep := range resting {
					ep.ClearFaults()
					ep.QueueFaults(fake.Shed)
				}
			}
		}()
		tbd.sendMixed(ctx, 20)
		for _, ep := range resting {
			shed := 0
			for _, arr := range ep.AllArrivals() {
				if !arr.Shed {
					continue
				}
				shed++
				count := 0
				for _, oth := range ep.AllArrivals() {
					if since := oth.At.Sub(arr.At); oth.From == arr.From && since > restSlack && since < restTime {
						count++
					}
				}
				expect(count).To(gomega.BeNumerically("<=", restAllowed), "%s, from %s", ep.ID(), arr.From)
			}
			expect(shed).To(gomega.BeNumerically(">", 0))
		}
	})
})

var _ = ginkgo.Describe("calls of an instance", func() {
	// Guards against batches that are sent by a list of endpoints from before a pause of the process.
	ginkgo.It("wait for a list of endpoints after a pause", func() {
		blg := &blockingLog{match: []byte("leaves in the test"), blocked: make(chan struct{}), release: make(chan struct{})}
		tbd := newTestbed(0)
		nodeLog = zerolog.New(blg)
		ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
		nod, addr := tbd.start(), tbd.servers[tbd.stages[0].ID()].Addr()
		eventually(func() bool { return nod.ctl.View().HasLeft(addr) }, pollTimeout).Should(gomega.BeFalse())
		dialled := func() time.Duration {
			began := time.Now()
			con, err := nod.dialAllowed(context.Background(), "tcp", addr)
			expect(err).NotTo(anything())
			_ = con.Close()
			return time.Since(began)
		}
		expect(dialled()).To(gomega.BeNumerically("<", 250*time.Millisecond))
		nod.ctl.EndpointLeaving("gone", "leaves in the test")
		eventually(blg.blocked, pollTimeout).Should(gomega.BeClosed())
		unblock := sync.OnceFunc(func() { close(blg.release) })
		ginkgo.DeferCleanup(unblock)
		gomega.Eventually(func() clock.Milli { return nod.ctl.View().ListAge(nod.clk.Now()) }, pollTimeout, 5*time.Millisecond).Should(gomega.BeNumerically(">", 1900))
		expect(dialled()).To(gomega.BeNumerically(">", 250*time.Millisecond))
		unblock()
		eventually(func() clock.Milli { return nod.ctl.View().ListAge(nod.clk.Now()) }, pollTimeout).Should(gomega.BeNumerically("<", 1900))
		expect(dialled()).To(gomega.BeNumerically("<", 250*time.Millisecond))
	})
})
