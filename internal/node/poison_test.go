package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/stand"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/platform/fake"
)

const (
	// crashBody is a request body that makes engines crash.
	crashBody = "this prompt ends engines"
	// restartDelay is the time from the crash of an engine to the start of its successor, which
	// has another name.
	restartDelay = 300 * time.Millisecond
	// spreadTime is the time within which gossip must reach all instances.
	spreadTime = 3 * time.Second
	// crashPause is the pause between requests whose crashes count as those of different moments.
	crashPause = 300 * time.Millisecond
)

// crashTest makes engines crash under requests and counts these requests.
type crashTest struct {
	tbd *testbed
	mtx sync.Mutex
	// arrivals are the times at which requests with crashBody reached engines.
	arrivals []time.Time
	nextID   int
	sent     int
	// crashes are the times at which engines crashed.
	crashes []time.Time
	// part is a part of prompts that makes engines crash too, empty for none; partShape is the shape of their
	// answers to such prompts.
	part      string
	partShape fake.Shape
	// shapes are the shapes of the engines' answers, nil for the usual ones.
	shapes *fake.Shapes
	// keepsAddress is set if successors listen on the address of the engine that crashed.
	keepsAddress bool
	// done is set at the end of the test.
	done bool
}

// crashEngines adds engines and makes all of them crash on requests with crashBody.
func (tbd *testbed) crashEngines(more int) *crashTest {
	crt := &crashTest{tbd: tbd, nextID: len(tbd.engines)}
	tbd.cleanup(func() {
		crt.mtx.Lock()
		defer crt.mtx.Unlock()
		crt.done = true
	})
	crt.rearm()
	for range more {
		crt.add(anyAddress)
	}
	for _, nod := range tbd.nodes {
		eventually(func() int {
			return len(slices.DeleteFunc(slices.Clone(nod.ctl.View().Endpoints()), func(ep proto.Endpoint) bool { return ep.Pool != "engines" }))
		}, pollTimeout).Should(equal(len(tbd.engines)))
	}
	return crt
}

// anyAddress has an engine listen on a free port.
const anyAddress = "127.0.0.1:0"

func (crt *crashTest) add(addr string) {
	crt.mtx.Lock()
	defer crt.mtx.Unlock()
	if crt.done {
		return
	}
	ep := crt.tbd.addAt("engines", fmt.Sprintf("engine-%d", crt.nextID), addr)
	crt.nextID++
	crt.tbd.engines = append(crt.tbd.engines, ep)
	crt.arm(ep, crt.tbd.servers[ep.ID()])
}

// rearm makes all engines crash on such requests again.
func (crt *crashTest) rearm() {
	crt.mtx.Lock()
	defer crt.mtx.Unlock()
	for _, ep := range crt.tbd.engines {
		crt.arm(ep, crt.tbd.servers[ep.ID()])
	}
}

// arm makes an engine crash on requests with crashBody, or with the part. restartDelay after the crash its
// entry is removed and a new engine is added.
func (crt *crashTest) arm(ep *fake.Endpoint, srv *stand.Server) {
	ep.UseShapes(crt.shapes)
	var once sync.Once
	crash := func() {
		crt.mtx.Lock()
		crt.arrivals = append(crt.arrivals, time.Now())
		crt.mtx.Unlock()
		once.Do(func() { crt.end(ep, srv) })
	}
	ep.CrashOn(crashBody, crash)
	if crt.part != "" {
		ep.CrashOnPart(crt.part, crt.partShape, crash)
	}
}

func (crt *crashTest) end(ep *fake.Endpoint, srv *stand.Server) {
	crt.mtx.Lock()
	crt.crashes = append(crt.crashes, time.Now())
	crt.mtx.Unlock()
	srv.Close()
	time.AfterFunc(restartDelay, func() {
		crt.tbd.store.RemoveEndpoint(ep.ID())
		if crt.keepsAddress {
			crt.add(srv.Addr())
		} else {
			crt.add(anyAddress)
		}
	})
}

// allEngines lists all engines that have existed so far.
func (crt *crashTest) allEngines() []*fake.Endpoint {
	crt.mtx.Lock()
	defer crt.mtx.Unlock()
	return slices.Clone(crt.tbd.engines)
}

// arrivalCount returns the number of requests with crashBody that have reached engines.
func (crt *crashTest) arrivalCount() int {
	crt.mtx.Lock()
	defer crt.mtx.Unlock()
	return len(crt.arrivals)
}

// sendRepeatedly sends the request with crashBody to the instances in turn for a time.
func (crt *crashTest) sendRepeatedly(span time.Duration) []response {
	var list []response
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		crt.sent++
		list = append(list, crt.tbd.send(crt.sent%len(crt.tbd.nodes), request{path: "/stream-once/plan", body: crashBody}))
	}
	return list
}

var _ = ginkgo.Describe("a request under which engines end", func() {
	// Guards against repeats that reach engines without bound because each instance has seen only
	// some of the crashes.
	ginkgo.It("reaches at most three more engines after gossip has spread three crashes", func() {
		tbd := newTestbed(4)
		crt := tbd.crashEngines(4)
		for crt.arrivalCount() < 3 {
			crt.sendRepeatedly(time.Millisecond)
		}
		crt.sendRepeatedly(spreadTime)
		before := crt.arrivalCount()
		crt.sendRepeatedly(3 * time.Second)
		expect(crt.arrivalCount() - before).To(gomega.BeNumerically("<=", 3))
		expect(tbd.send(0, request{path: "/stream-once/plan", body: "another plan"}).status).To(equal(http.StatusOK))
	})

	// Guards against crashes that are not noticed since they end answers without framing in order.
	ginkgo.It("is refused where the engines' crashes end their answers like complete ones", func() {
		tbd := newTestbed(2)
		shs := &fake.Shapes{}
		shs.SetOthers(fake.Shape{Framing: fake.CloseDelimited, Cut: fake.BetweenEvents})
		crt := tbd.crashEngines(4)
		crt.shapes = shs
		crt.rearm()
		eventually(func() string { return crt.sendRepeatedly(time.Millisecond)[0].body }, pollTimeout).Should(gomega.ContainSubstring(`"quarantined"`))
	})

	// Guards against a crash that is not noticed since it breaks off an answer that is being passed on.
	ginkgo.It("is suspected after a crash that breaks off a large answer", func() {
		tbd := newTestbed(2)
		shs := &fake.Shapes{}
		shs.SetOthers(fake.Shape{Framing: fake.ByLength, Cut: fake.InsideEvent, Padding: largeBody})
		for _, ep := range tbd.plain {
			srv := tbd.servers[ep.ID()]
			ep.UseShapes(shs)
			ep.CrashOn(crashBody, srv.Close)
		}
		expect(tbd.send(0, request{path: "/booking/x", body: crashBody}).err).To(anything())
		eventually(func() bool { return tbd.nodes[0].ctl.View().Suspects().Empty() }, pollTimeout).Should(gomega.BeFalse())
	})

	// Guards against a refusal that makes its caller retry in vain, and against one that does not
	// name the crashes it is based on.
	ginkgo.It("is then refused at once with the crashed endpoints and without a retry-after delay", func() {
		tbd := newTestbed(2)
		crt := tbd.crashEngines(4)
		var last response
		eventually(func() string {
			last = crt.sendRepeatedly(time.Millisecond)[0]
			return last.body
		}, pollTimeout).Should(gomega.ContainSubstring(`"quarantined"`))
		expect(last.status).To(equal(http.StatusServiceUnavailable))
		expect(last.header).NotTo(gomega.HaveKey("Retry-After"))
		expect(last.body).To(gomega.MatchRegexp(`3 endpoints crashed under this request: engine-\d+ .*s ago, reported by 127.*; engine-\d+ .*; engine-\d+`))
	})

	// Guards against a crash that counts only at the instance that saw it.
	ginkgo.It("is refused by all instances once each of three has seen one crash", func() {
		tbd := newTestbed(4)
		crt := tbd.crashEngines(4)
		for crt.arrivalCount() < 3 {
			tbd.send(crt.arrivalCount(), request{path: "/stream-once/plan", body: crashBody})
			time.Sleep(crashPause)
		}
		time.Sleep(200 * time.Millisecond)
		for i := range tbd.nodes {
			expect(tbd.send(i, request{path: "/stream-once/plan", body: crashBody}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
		expect(crt.arrivalCount()).To(equal(3))
	})

	// Guards against counting as crashes the connections that running endpoints cut, and the ends
	// of endpoints that had announced that they were leaving.
	ginkgo.It("is not one whose connections are cut or whose endpoints leave", func() {
		tbd := newTestbed(2)
		for i := range 6 {
			injectFaults(tbd.plain, fake.Cuts, fake.Cuts)
			expect(tbd.send(i%2, request{path: "/booking/x", body: "cut"}).status).To(equal(http.StatusBadGateway))
			for _, ep := range tbd.plain {
				ep.ClearFaults()
			}
		}
		var grp sync.WaitGroup
		for i := range 3 {
			id := fmt.Sprintf("leaving-%d", i)
			ep := tbd.add("bookings", id)
			for _, old := range tbd.plain {
				tbd.putEntry("bookings", old.ID(), tbd.servers[old.ID()].Addr(), true)
			}
			tbd.plain = []*fake.Endpoint{ep}
			eventually(func() bool { return tbd.nodes[0].pools.HasUsable("bookings", 1) }, pollTimeout).Should(gomega.BeTrue())
			ep.QueueFaults(fake.Hangs)
			grp.Go(func() { tbd.send(0, request{path: "/booking/x", body: "left"}) })
			eventually(func() int { return len(ep.Runs()) }, pollTimeout).Should(equal(1))
			tbd.putEntry("bookings", id, tbd.servers[id].Addr(), true)
			eventually(func() bool { return tbd.nodes[0].pools.HasUsable("bookings", 0) }, pollTimeout).Should(gomega.BeTrue())
			tbd.servers[id].Close()
			grp.Wait()
		}
		time.Sleep(200 * time.Millisecond)
		expect(tbd.nodes[0].ctl.View().Suspects().Empty()).To(gomega.BeTrue())
	})

	// Guards against refusing requests with another fingerprint: those of another caller, or with
	// another body or target.
	ginkgo.It("does not cause other requests to be refused", func() {
		tbd := newTestbed(2)
		crt := tbd.crashEngines(4)
		eventually(func() string { return crt.sendRepeatedly(time.Millisecond)[0].body }, pollTimeout).Should(gomega.ContainSubstring(`"quarantined"`))
		ended := crt.arrivalCount()
		for i := range tbd.nodes {
			expect(tbd.send(i, request{path: "/stream-once/plan", body: "another"}).status).To(equal(http.StatusOK))
			expect(tbd.send(i, request{path: "/stream-once/plan?again", body: crashBody}).body).NotTo(gomega.ContainSubstring(`"quarantined"`))
		}
		expect(crt.arrivalCount()).To(equal(ended + 2))
	})

	// Guards against an instance that has just started or was partitioned off and admits a request
	// that all other instances refuse.
	ginkgo.It("is refused by an instance that starts later and by one that was partitioned off", func() {
		var partitioned atomic.Bool
		var cutOff atomic.Value
		tbd := newTestbed(0)
		for range 3 {
			tbd.startWithLink(func(nod *Node) {
				last := len(tbd.nodes) == 2
				nod.link.Partitioned = func(addr string) bool {
					return partitioned.Load() && (last || addr == cutOff.Load())
				}
			})
		}
		cutOff.Store(tbd.nodes[2].link.Addr())
		tbd.waitJoined()
		crt := tbd.crashEngines(4)
		// The facts in the store must not reach the instance that is partitioned off.
		tbd.proxies[2].cut.Store(true)
		partitioned.Store(true)
		for crt.arrivalCount() < 3 {
			tbd.send(crt.arrivalCount()%2, request{path: "/stream-once/plan", body: crashBody})
			time.Sleep(crashPause)
		}
		// Wait until the messages about the crashes have timed out.
		time.Sleep(1500 * time.Millisecond)
		partitioned.Store(false)
		tbd.start()
		time.Sleep(spreadTime)
		ended := crt.arrivalCount()
		for i := range tbd.nodes {
			expect(tbd.send(i, request{path: "/stream-once/plan", body: crashBody}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
		expect(crt.arrivalCount()).To(equal(ended))
	})

	// Guards against successors that admit the request again after all instances have terminated.
	ginkgo.It("is refused after all instances have ended", func() {
		tbd := newTestbed(3)
		crt := tbd.crashEngines(4)
		for crt.arrivalCount() < 3 {
			tbd.send(crt.arrivalCount(), request{path: "/stream-once/plan", body: crashBody})
			time.Sleep(crashPause)
		}
		time.Sleep(spreadTime)
		for _, nod := range tbd.nodes {
			nod.Kill()
		}
		tbd.nodes = nil
		for range 3 {
			tbd.start()
		}
		for i := range tbd.nodes {
			expect(tbd.send(i, request{path: "/stream-once/plan", body: crashBody}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
		expect(crt.arrivalCount()).To(equal(3))
	})

	// Guards against refusing a request that repeatedly was at endpoints which crashed for another
	// reason, although it completed in between.
	ginkgo.It("is cleared once an endpoint has run it", func() {
		tbd := newTestbed(2)
		crt := tbd.crashEngines(4)
		for range 3 {
			ended := crt.arrivalCount()
			eventually(func() int {
				crt.sendRepeatedly(time.Millisecond)
				return crt.arrivalCount()
			}, pollTimeout).Should(gomega.BeNumerically(">=", ended+2))
			time.Sleep(2 * restartDelay)
			for _, ep := range crt.allEngines() {
				ep.CrashOn("", nil)
			}
			expect(crt.sendRepeatedly(time.Millisecond)[0].status).To(equal(http.StatusOK))
			crt.rearm()
		}
	})

	// Guards against a request that is admitted without bound because endpoints sometimes fail it
	// before they run it.
	ginkgo.It("is not cleared by a failure", func() {
		tbd := newTestbed(2)
		crt := tbd.crashEngines(4)
		for crt.arrivalCount() < 2 {
			tbd.send(crt.arrivalCount(), request{path: "/stream-once/plan", body: crashBody})
		}
		time.Sleep(2 * restartDelay)
		for _, ep := range crt.allEngines() {
			ep.CrashOn("", nil)
			ep.QueueFaults(fake.Fails)
		}
		expect(crt.sendRepeatedly(time.Millisecond)[0].status).To(equal(http.StatusInternalServerError))
		for _, ep := range crt.allEngines() {
			ep.ClearFaults()
		}
		crt.rearm()
		tbd.send(0, request{path: "/stream-once/plan", body: crashBody})
		expect(crt.arrivalCount()).To(equal(3))
		time.Sleep(200 * time.Millisecond)
		for i := range tbd.nodes {
			expect(tbd.send(i, request{path: "/stream-once/plan", body: crashBody}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
	})

	// Guards against stage work, which may crash its endpoints, for a request that was quarantined
	// while its first stage ran.
	ginkgo.It("starts no further stage", func() {
		tbd := newTestbed(1)
		for _, ep := range tbd.stages {
			ep.DelayedDuration = 300 * time.Millisecond
			ep.QueueFaults(fake.Delayed)
		}
		arrivalCount := func() int { return len(tbd.stages[0].Arrivals()) + len(tbd.stages[1].Arrivals()) }
		before := arrivalCount()
		answer := make(chan response, 1)
		go func() {
			answer <- tbd.send(0, request{path: stagedPath, body: crashBody, header: map[string]string{fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk"}})
		}()
		eventually(arrivalCount, pollTimeout).Should(gomega.BeNumerically(">", before))
		for i := range 5 {
			tbd.nodes[0].ctl.RecordCrash(poison.FingerprintOf(host, stagedPath, "corella", []byte(crashBody)), ident.Process(fmt.Sprintf("i-%d", i)))
		}
		var rsp response
		eventually(answer, pollTimeout).Should(gomega.Receive(&rsp))
		expect(rsp.body).To(gomega.ContainSubstring(`"quarantined"`))
		for _, call := range slices.Concat(tbd.stages[0].Batches(), tbd.stages[1].Batches()) {
			expect(call).To(gomega.HaveEach(gomega.HaveSuffix("/0/0")))
		}
		eventually(func() int { return resultCount(tbd.stages) }, pollTimeout).Should(gomega.BeZero())
	})

	// Guards against a request that every instance admits when its quarantine is over.
	ginkgo.It("is admitted for one trial after its quarantine and then refused for longer", func() {
		tbd := newTestbed(4)
		crt := tbd.crashEngines(4)
		for _, ep := range tbd.engines {
			ep.Duration = 600 * time.Millisecond
		}
		tbd.waitGranter()
		tbd.spreadCrashes(11 * clock.Minute)
		first := make(chan response, 1)
		go func() { first <- tbd.send(0, request{path: "/stream-once/plan", body: crashBody}) }()
		time.Sleep(300 * time.Millisecond)
		for range 3 {
			for i := range tbd.nodes {
				expect(tbd.send(i, request{path: "/stream-once/plan", body: crashBody}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
			}
		}
		expect((<-first).body).NotTo(gomega.ContainSubstring(`"quarantined"`))
		time.Sleep(2 * restartDelay)
		for i := range tbd.nodes {
			expect(tbd.send(i, request{path: "/stream-once/plan", body: crashBody}).body).To(gomega.ContainSubstring(`"quarantined"`), "instance %d", i)
		}
		expect(crt.arrivalCount()).To(equal(1))
	})

	// Guards against a request that stays refused although the endpoints were repaired meanwhile, or
	// because its trial did not run.
	ginkgo.It("is cleared when it runs after its quarantine and retried when the trial did not run", func() {
		tbd := newTestbed(2)
		tbd.waitGranter()
		tbd.spreadCrashes(11 * clock.Minute)
		injectFaults(tbd.engines, fake.Shed, fake.Shed, fake.Shed, fake.Shed)
		expect(tbd.send(0, request{path: "/stream-once/plan", body: crashBody}).body).NotTo(gomega.ContainSubstring(`"quarantined"`))
		for _, ep := range tbd.engines {
			ep.ClearFaults()
		}
		time.Sleep(300 * time.Millisecond)
		for range 3 {
			for i := range tbd.nodes {
				expect(tbd.send(i, request{path: "/stream-once/plan", body: crashBody}).status).To(equal(http.StatusOK), "instance %d", i)
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
})

// spreadCrashes gives all instances facts about three past crashes under the request with
// crashBody, of a given age.
func (tbd *testbed) spreadCrashes(ago clock.Milli) {
	fpr := poison.FingerprintOf(host, "/stream-once/plan", "corella", []byte(crashBody))
	var facts []gossip.Fact
	for i := range 3 {
		facts = append(facts, gossip.Fact{
			Kind: gossip.CrashedUnder, Key: poison.Key(fpr, ident.Process(fmt.Sprintf("before-%d", i))), Value: "127.0.0.1:1", Version: 1, Age: ago + clock.Milli(i)*clock.Second,
		})
	}
	for _, nod := range tbd.nodes {
		nod.ctl.Handle(context.Background(), peer.Message{Kind: peer.PushFacts, From: tbd.nodes[0].ctl.Self(), To: nod.ctl.Self(), Facts: facts})
		eventually(func() bool { return nod.ctl.View().Suspects().OnTrial(fpr) }, pollTimeout).Should(gomega.BeTrue())
	}
}

// grantTenure is how long the coordinator of a pool waits before it grants trials.
const grantTenure = 2 * clock.Second

// waitGranter waits until an instance has been the coordinator of the engines for long enough to grant trials.
func (tbd *testbed) waitGranter() {
	eventually(func() bool {
		return slices.ContainsFunc(tbd.nodes, func(nod *Node) bool {
			since, is := nod.ctl.View().CoordinatorSince("engines")
			return is && nod.clk.Since(since) > grantTenure
		})
	}, pollTimeout).Should(gomega.BeTrue())
}
