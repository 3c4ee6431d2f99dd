package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/platform/fake"
)

const (
	// badPart is a part of prompts under which engines crash, soundPart and rarePart are shared by sound prompts.
	badPart   = "bad0"
	soundPart = "5c1e"
	rarePart  = "91bd"
	// crashesToLearn is the number of crashes after which, stableTime later, badPart must be known to all
	// instances; latePrompts is how many prompts with it may reach engines from then on.
	crashesToLearn = 5
	stableTime     = 3 * time.Second
	latePrompts    = 3
)

// promptTest sends prompts to all instances, no two of them alike.
type promptTest struct {
	tbd  *testbed
	crt  *crashTest
	next atomic.Int64
	wgr  sync.WaitGroup
	stop chan struct{}
	mtx  sync.Mutex
	// answers are the responses to sound prompts.
	answers []promptAnswer
	refused []response
}

type promptAnswer struct {
	at time.Time
	ok bool
}

// newPromptTest adds engines, of which each crashes when it begins to answer a prompt with badPart.
func newPromptTest(tbd *testbed, shp fake.Shape) *promptTest {
	crt := tbd.crashEngines(6)
	crt.part, crt.partShape = badPart, shp
	crt.rearm()
	pts := &promptTest{tbd: tbd, crt: crt, stop: make(chan struct{})}
	tbd.cleanup(pts.end)
	return pts
}

// send sends a prompt with the given parts and one of its own to the instances in turn.
func (pts *promptTest) send(parts string) response {
	n := int(pts.next.Add(1))
	return pts.tbd.send(n%len(pts.tbd.nodes), request{path: "/stream-once/plan", id: fmt.Sprintf("prompt-%d", n), body: fmt.Sprintf("draft %d", n), header: map[string]string{
		fake.HeaderTokens: "30,4", fake.HeaderPrefix: fmt.Sprintf("%s,%x:10", parts, 1<<20+n),
	}})
}

// repeat calls one function at intervals, each time on its own, until the test ends.
func (pts *promptTest) repeat(interval time.Duration, send func()) {
	pts.wgr.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-pts.stop:
				return
			case <-tick.C:
				pts.wgr.Go(send)
			}
		}
	})
}

func (pts *promptTest) sendSound() {
	at := time.Now()
	rsp := pts.send(soundPart + ":10," + rarePart + ":10")
	pts.mtx.Lock()
	defer pts.mtx.Unlock()
	pts.answers = append(pts.answers, promptAnswer{at, rsp.status == http.StatusOK})
}

func (pts *promptTest) sendBad(parts string) func() {
	return func() {
		rsp := pts.send(parts)
		pts.mtx.Lock()
		defer pts.mtx.Unlock()
		if rsp.status == http.StatusServiceUnavailable {
			pts.refused = append(pts.refused, rsp)
		}
	}
}

// end stops sending and waits for the answers.
func (pts *promptTest) end() {
	select {
	case <-pts.stop:
	default:
		close(pts.stop)
	}
	pts.wgr.Wait()
}

// share returns the share of sound prompts that were answered of those sent in a span.
func (pts *promptTest) share(from, until time.Time) float64 {
	pts.mtx.Lock()
	defer pts.mtx.Unlock()
	sent, ok := 0, 0
	for _, ans := range pts.answers {
		if ans.at.Before(from) || !ans.at.Before(until) {
			continue
		}
		sent++
		if ans.ok {
			ok++
		}
	}
	expect(sent).To(gomega.BeNumerically(">=", 20))
	return float64(ok) / float64(sent)
}

// crashCount returns the number of engines that have crashed.
func (crt *crashTest) crashCount() int {
	crt.mtx.Lock()
	defer crt.mtx.Unlock()
	return len(crt.crashes)
}

// crashTime returns when the crash with an index came.
func (crt *crashTest) crashTime(index int) time.Time {
	crt.mtx.Lock()
	defer crt.mtx.Unlock()
	return crt.crashes[index]
}

// arrivalsAfter counts the prompts with badPart that reached engines after a time.
func (crt *crashTest) arrivalsAfter(at time.Time) int {
	crt.mtx.Lock()
	defer crt.mtx.Unlock()
	count := 0
	for _, arrived := range crt.arrivals {
		if arrived.After(at) {
			count++
		}
	}
	return count
}

var _ = ginkgo.Describe("a part of prompts under which engines end", func() {
	// Guards against a part that ends engines without bound because no two requests with it are alike, and against
	// refusing sound requests of the same caller, route and other parts for it.
	ginkgo.DescribeTable("reaches at most three more engines while sound prompts are served", func(parts string, shp fake.Shape) {
		tbd := newTestbed(4)
		pts := newPromptTest(tbd, shp)
		pts.repeat(25*time.Millisecond, pts.sendSound)
		time.Sleep(time.Second)
		began := time.Now()
		pts.repeat(120*time.Millisecond, pts.sendBad(parts))
		eventually(pts.crt.crashCount, 4*pollTimeout).Should(gomega.BeNumerically(">=", crashesToLearn), "crashes")
		time.Sleep(2 * stableTime)
		known, late := time.Now(), pts.crt.arrivalsAfter(pts.crt.crashTime(crashesToLearn-1).Add(stableTime))
		time.Sleep(stableTime)
		until := time.Now()
		pts.end()
		expect(pts.crt.arrivalsAfter(pts.crt.crashTime(crashesToLearn-1).Add(stableTime))).To(gomega.BeNumerically("<=", latePrompts), "%d of them in the first seconds", late)
		expect(pts.share(known, until)).To(gomega.BeNumerically(">=", pts.share(began.Add(-time.Second), began)/2))
		expect(pts.refused).NotTo(gomega.BeEmpty())
		expect(pts.refused[len(pts.refused)-1].body).To(gomega.And(gomega.ContainSubstring(`"quarantined"`), gomega.ContainSubstring(badPart)))
	},
		ginkgo.Entry("behind a shared part and ending answers in their heads", soundPart+":10,"+badPart+":10", fake.Shape{Framing: fake.Chunked, Cut: fake.InHead}),
		ginkgo.Entry("as the first part and ending unframed answers between events", badPart+":10,"+rarePart+":10", fake.Shape{Framing: fake.CloseDelimited, Cut: fake.BetweenEvents}),
		ginkgo.Entry("among shared parts and ending unframed answers inside an event", soundPart+":10,"+badPart+":10,"+rarePart+":10", fake.Shape{Framing: fake.CloseDelimited, Cut: fake.InsideEvent}),
	)

	// Guards against successors that admit a part again after all instances have ended at the same time.
	ginkgo.It("is refused after all instances have ended at once", func() {
		tbd := newTestbed(3)
		pts := newPromptTest(tbd, fake.Shape{Framing: fake.Chunked, Cut: fake.AfterHead})
		for range 100 {
			if pts.crt.crashCount() >= crashesToLearn {
				break
			}
			pts.send(soundPart + ":10," + badPart + ":10")
			pts.sendSound()
		}
		time.Sleep(stableTime)
		for _, nod := range tbd.nodes {
			nod.Kill()
		}
		tbd.nodes = nil
		for range 3 {
			tbd.start()
		}
		ended := pts.crt.arrivalsAfter(time.Time{})
		for range 2 * len(tbd.nodes) {
			expect(pts.send(soundPart + ":10," + badPart + ":10").body).To(gomega.ContainSubstring(`"quarantined"`))
			expect(pts.send(soundPart + ":10," + rarePart + ":10").status).To(equal(http.StatusOK))
		}
		expect(pts.crt.arrivalsAfter(time.Time{})).To(equal(ended))
	})

	// Guards against refusing for long a sound part that had been in no other prompts than those that end engines.
	ginkgo.It("doesn't take parts along that came with it alone", func() {
		tbd := newTestbed(3)
		pts := newPromptTest(tbd, fake.Shape{Framing: fake.Chunked, Cut: fake.AfterHead})
		for range 100 {
			if pts.crt.crashCount() >= crashesToLearn {
				break
			}
			pts.send(soundPart + ":10," + badPart + ":10")
		}
		eventually(func() int { return pts.send(soundPart + ":10," + rarePart + ":10").status }, 2*stableTime, 100*time.Millisecond).Should(equal(http.StatusOK))
		ended := pts.crt.arrivalsAfter(time.Time{})
		time.Sleep(300 * time.Millisecond)
		refused := 0
		for range 2 * len(tbd.nodes) {
			rsp := pts.send(soundPart + ":10," + rarePart + ":10")
			expect(rsp.status).To(equal(http.StatusOK), "%s", rsp.body)
			if strings.Contains(pts.send(soundPart+":10,"+badPart+":10").body, `"quarantined"`) {
				refused++
			}
		}
		// The bad part may be due for trials of its own.
		expect(refused).To(gomega.BeNumerically(">=", 2*len(tbd.nodes)-latePrompts))
		expect(pts.crt.arrivalsAfter(time.Time{}) - ended).To(gomega.BeNumerically("<=", latePrompts))
	})

	// Guards against holding the crashes against the engines' addresses: successors that listen there would get no prompts
	// for a while.
	ginkgo.It("leaves no mark on engines that come back at their addresses", func() {
		tbd := newTestbed(3)
		pts := newPromptTest(tbd, fake.Shape{Framing: fake.Chunked, Cut: fake.AfterHead})
		pts.crt.keepsAddress = true
		first := len(pts.crt.allEngines())
		convict := func() string {
			pts.sendSound()
			return pts.send(soundPart + ":10," + badPart + ":10").body
		}
		eventually(convict, 4*pollTimeout, crashPause).Should(gomega.ContainSubstring(`"quarantined"`))
		time.Sleep(2 * restartDelay)
		hasCrashed := func(ep *fake.Endpoint) bool {
			return slices.ContainsFunc(ep.Runs(), func(run fake.Run) bool { return run.Fault == fake.Crashes })
		}
		// The part may have reached a successor as well.
		successors := slices.DeleteFunc(pts.crt.allEngines()[first:], hasCrashed)
		expect(successors).NotTo(gomega.BeEmpty())
		for _, ep := range pts.crt.allEngines()[:first] {
			if hasCrashed(ep) {
				continue
			}
			tbd.putEntry("engines", ep.ID(), tbd.servers[ep.ID()].Addr(), true)
		}
		for _, nod := range tbd.nodes {
			eventually(func() int {
				return len(slices.DeleteFunc(slices.Clone(nod.ctl.View().Endpoints()), func(ep proto.Endpoint) bool { return ep.Pool != "engines" || ep.Leaving }))
			}, pollTimeout).Should(equal(len(successors)))
		}
		for range 12 * len(tbd.nodes) {
			expect(pts.send(soundPart + ":10," + rarePart + ":10").status).To(equal(http.StatusOK))
		}
	})

	// Guards against sound prompts that are lost because another one crashed their engine before it answered them.
	ginkgo.It("doesn't keep prompts that waited at the engine from being answered", func() {
		tbd := newTestbed(2)
		pts := newPromptTest(tbd, fake.Shape{Framing: fake.Chunked, Cut: fake.InHead})
		for _, ep := range pts.crt.allEngines() {
			ep.Duration, ep.PromptDuration = 100*time.Millisecond, 300*time.Millisecond
		}
		var wgr sync.WaitGroup
		answers := make([]response, 32)
		for i := range answers {
			wgr.Go(func() {
				answers[i] = tbd.send(i%2, request{path: "/stream/plan", id: fmt.Sprintf("sound-%d", i), body: fmt.Sprintf("plan %d", i), header: map[string]string{
					fake.HeaderTokens: "30,4", fake.HeaderPrefix: fmt.Sprintf("%s:10,%x:10", soundPart, 1<<20+i),
				}})
			})
		}
		time.Sleep(50 * time.Millisecond)
		pts.send(soundPart + ":10," + badPart + ":10")
		wgr.Wait()
		runs := map[string]int{}
		for _, ep := range pts.crt.allEngines() {
			for _, run := range ep.Runs() {
				runs[run.ID]++
			}
		}
		repeated := 0
		for i, rsp := range answers {
			expect(rsp.status).To(equal(http.StatusOK), rsp.body)
			if n := runs[fmt.Sprintf("sound-%d", i)]; n > 1 {
				expect(n).To(equal(2))
				repeated++
			}
		}
		expect(repeated).To(gomega.BeNumerically(">", 0))
	})

	// Guards against trials that each instance grants itself.
	ginkgo.It("is tried once by all instances together", func() {
		tbd := newTestbed(4)
		pts := newPromptTest(tbd, fake.Shape{Framing: fake.Chunked, Cut: fake.AfterHead})
		tbd.waitGranter()
		tbd.spreadPartCrashes(crashesToLearn, clock.Minute)
		var wgr sync.WaitGroup
		for range 6 * len(tbd.nodes) {
			wgr.Go(func() { pts.send(soundPart + ":10," + badPart + ":10") })
		}
		wgr.Wait()
		expect(pts.crt.arrivalsAfter(time.Time{})).To(equal(1))
		eventually(func() int { return tbd.nodes[0].partCrashes(badPart) }, pollTimeout).Should(equal(crashesToLearn + 1))
	})

	// Guards against a prompt that was admitted before its part was found and is sent to an engine all the same.
	ginkgo.It("isn't sent with a request that was admitted before", func() {
		tbd := newTestbed(1)
		pts := newPromptTest(tbd, fake.Shape{Framing: fake.Chunked, Cut: fake.AfterHead})
		for _, ep := range tbd.stages {
			ep.DelayedDuration = 300 * time.Millisecond
			ep.QueueFaults(fake.Delayed)
		}
		stageCount := func() int { return len(tbd.stages[0].Arrivals()) + len(tbd.stages[1].Arrivals()) }
		before := stageCount()
		answer := make(chan response, 1)
		go func() {
			answer <- tbd.send(0, request{path: stagedPath, body: "draft", header: map[string]string{
				fake.HeaderItems: "1,1", fake.HeaderItemKey: "pk", fake.HeaderTokens: "30,4", fake.HeaderPrefix: badPart + ":10,e0:10",
			}})
		}()
		eventually(stageCount, pollTimeout).Should(gomega.BeNumerically(">", before))
		for i := range crashesToLearn {
			tbd.nodes[0].ctl.RecordCrash(poison.FingerprintOf(host, fmt.Sprint(i), "", nil), ident.Process(fmt.Sprintf("i-%d", i)), poison.PartOf("engines", badPart))
		}
		var rsp response
		eventually(answer, pollTimeout).Should(gomega.Receive(&rsp))
		expect(rsp.body).To(gomega.ContainSubstring(`"quarantined"`))
		expect(pts.crt.arrivalsAfter(time.Time{})).To(equal(0))
	})
})

// spreadPartCrashes gives all instances facts about past crashes with badPart in flight, a second apart.
func (tbd *testbed) spreadPartCrashes(count int, ago clock.Milli) {
	fpr := poison.PartOf("engines", badPart)
	var facts []gossip.Fact
	for i := range count {
		facts = append(facts, gossip.Fact{
			Kind: gossip.CrashedUnder, Key: poison.PartKey(fpr, ident.Process(fmt.Sprintf("before-%d", i))), Value: "127.0.0.1:1", Version: 1, Age: ago + clock.Milli(i)*clock.Second,
		})
	}
	for _, nod := range tbd.nodes {
		nod.ctl.Handle(context.Background(), peer.Message{Kind: peer.PushFacts, From: tbd.nodes[0].ctl.Self(), To: nod.ctl.Self(), Facts: facts})
		eventually(func() int { return len(nod.ctl.View().Suspects().Convicted([]poison.Fingerprint{fpr})) }, pollTimeout).Should(equal(1))
	}
}

// partCrashes returns the number of crashes that an instance knows of a convicted part.
func (nod *Node) partCrashes(id string) int {
	list := nod.ctl.View().Suspects().Convicted([]poison.Fingerprint{poison.PartOf("engines", id)})
	if len(list) == 0 {
		return 0
	}
	return len(list[0].Crashes())
}
