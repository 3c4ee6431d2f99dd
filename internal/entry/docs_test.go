package entry

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

func (tbd *testbed) publishOwner(node int, base int64, owner string) wire.Published {
	text := strings.Replace(tbd.read("booking"), `owner = "dispatch"`, fmt.Sprintf("owner = %q", owner), 1)
	return tbd.nodes[node].ctl.Publish(tbd.ctx, "booking", wire.Publish{ID: ident.NewID(), Base: base, Text: text, By: owner, WaitMs: 8 * clock.Second})
}

func (nod *Node) owner() string {
	dvr, ok := nod.ctl.View().Doc("booking")
	if !ok {
		return ""
	}
	return dvr.Doc().Owner()
}

func (nod *Node) revision() int64 {
	dvr, _ := nod.ctl.View().Doc("booking")
	return dvr.Revision()
}

var _ = ginkgo.Describe("an accepted document", func() {
	// Three operators publish at three instances concurrently, in ten rounds, each
	// based on the same revision. Exactly one wins in each round, the others receive
	// lost_race, and all instances apply the winner's document.
	ginkgo.It("is the only one accepted from racing operators, at all instances", func() {
		tbd := newTestbed(3, "")
		var worst clock.Milli
		for round := range 10 {
			base := tbd.nodes[0].revision()
			results := make([]wire.Published, 3)
			var wgr sync.WaitGroup
			for i := range results {
				wgr.Add(1)
				go func() {
					defer wgr.Done()
					results[i] = tbd.publishOwner(i, base, fmt.Sprintf("op%d-%d", round, i))
				}()
			}
			wgr.Wait()
			won := ""
			for i, pub := range results {
				if pub.Verdict == "accepted" {
					expect(won).To(equal(""))
					won = fmt.Sprintf("op%d-%d", round, i)
					expect(pub.InForce).To(isTrue())
					worst = max(worst, pub.TookMs)
				} else {
					expect(pub.Verdict).To(equal("lost_race"))
				}
			}
			for _, nod := range tbd.nodes {
				expect(nod.owner()).To(equal(won))
			}
		}
		fmt.Printf("measured: 3 instances, 10 changes, slowest in force everywhere after %d ms\n", worst)
		expect(worst).To(gomega.BeNumerically("<", 8*clock.Second))
	})

	// The log appends the offer, but its reply is lost, so that the offer is
	// appended again. It takes effect once and is accepted.
	ginkgo.It("counts once when the reply to its append is lost", func() {
		tbd := newTestbed(2, "")
		tbd.plt.SetFaults(stand.Faults{LoseReplies: 2})
		pub := tbd.publishOwner(0, tbd.nodes[0].revision(), "lost")
		expect(pub.Verdict).To(equal("accepted"))
		expect(tbd.nodes[1].owner()).To(equal("lost"))
		expect(tbd.nodes[0].ctl.History(tbd.ctx, "booking")).To(gomega.HaveLen(2))
	})

	// An instance is partitioned from the log and from its peers. It refuses new
	// requests after the maximum log age, and the publisher receives "in force" only
	// after that. After the partition it applies the new document before it serves.
	ginkgo.It("is not contradicted by a partitioned instance", func() {
		tbd := newTestbed(3, "")
		tbd.setPartitioned(2, true)
		pub := tbd.publishOwner(0, tbd.nodes[0].revision(), "while away")
		expect(pub.Verdict).To(equal("accepted"))
		expect(pub.InForce).To(isTrue(), "behind %v", pub.Behind)
		ans := tbd.call(2, "planning", wire.Submit{Input: "x", MaxTokens: 1})
		expect(ans.Outcome + " " + ans.Reason).To(equal("not_run stale_view"))
		fmt.Printf("measured: one of 3 partitioned, change in force after %d ms\n", pub.TookMs)
		gomega.Consistently(tbd.nodes[2].isReady, 6*time.Second, 20*time.Millisecond).Should(gomega.BeFalse())
		tbd.setPartitioned(2, false)
		until(10*time.Second, tbd.nodes[2].isReady)
		expect(tbd.nodes[2].owner()).To(equal("while away"))
	})

	// The log is out for longer than the maximum log age. The instances confirm each
	// other's state and serve on, and a new instance fetches the documents from a
	// peer. Then the log answers with an end older than before.
	ginkgo.It("stays in force during an outage, also at new instances", func() {
		tbd := newTestbed(3, "")
		pub := tbd.publishOwner(0, tbd.nodes[0].revision(), "before")
		expect(pub.InForce).To(isTrue())
		tbd.plt.SetFaults(stand.Faults{Outage: true})
		for _, nod := range tbd.nodes {
			until(8*time.Second, func() bool { return nod.ctl.Status(tbd.ctx).LogAgeMs > nod.set.MaxLogAge() })
		}
		nod := tbd.addNode()
		until(10*time.Second, nod.isReady)
		expect(nod.owner()).To(equal("before"))
		for i := range tbd.nodes {
			expect(tbd.call(i, "planning", wire.Submit{Input: "x", MaxTokens: 1}).Outcome).To(equal("done"))
		}
		tbd.plt.SetFaults(stand.Faults{HideNewest: 3})
		for _, nod := range tbd.nodes {
			until(5*time.Second, func() bool {
				_, text := httpGet("http://" + nod.OpsAddr() + "/metrics")
				return !strings.Contains(text, `amv_events_total{kind="log_answered_older_end"} 0`)
			})
			expect(nod.owner()).To(equal("before"))
		}
	})

	// A new instance starts while the log and the instance list are out and knows no
	// peer. It must not take the absence of documents for the current state: it is
	// not ready and refuses requests as not_run.
	ginkgo.It("is not assumed to be missing by a new instance without a state", func() {
		tbd := newTestbed(1, "")
		tbd.plt.SetFaults(stand.Faults{Outage: true})
		tbd.plt.SetListFaults(stand.Faults{Outage: true})
		nod := tbd.addNode()
		gomega.Consistently(nod.isReady, time.Second, 20*time.Millisecond).Should(gomega.BeFalse())
		ans := tbd.call(1, "planning", wire.Submit{Input: "x"})
		expect(ans.Outcome + " " + ans.Reason).To(equal("not_run stale_view"))
	})

	// The instance appends a snapshot of the documents, then all older records are
	// trimmed. An instance that starts afterwards has all documents.
	ginkgo.It("survives the trimming of its records", func() {
		tbd := newTestbed(1, "")
		reg := tbd.nodes[0]
		ents := reg.ctl.SnapshotNow(tbd.ctx)
		expect(ents).To(gomega.BeNumerically(">", 2))
		until(3*time.Second, func() bool { return len(tbd.plt.Records("docs")) >= 2+ents })
		tbd.plt.Trim("docs", ents)
		nod := tbd.addNode()
		until(10*time.Second, nod.isReady)
		expect(nod.owner()).To(equal("dispatch"))
		expect(nod.revision()).To(equal(reg.revision()))
		pub := tbd.publishOwner(1, nod.revision(), "after")
		expect(pub.Verdict).To(equal("accepted"))
	})

	// All instances are replaced, first one by one and then all at once, with the
	// log available. The documents stay in force at the same revisions.
	ginkgo.It("survives the replacement of every instance", func() {
		tbd := newTestbed(2, "")
		want := tbd.publishOwner(0, tbd.nodes[0].revision(), "kept").Revision
		for i := range 2 {
			nod := tbd.addNode()
			until(5*time.Second, nod.isReady)
			tbd.nodes[i].Kill()
			expect(nod.revision()).To(equal(want))
		}
		tbd.nodes[2].Kill()
		tbd.nodes[3].Kill()
		nod := tbd.addNode()
		until(5*time.Second, nod.isReady)
		expect(nod.revision()).To(equal(want))
		expect(nod.owner()).To(equal("kept"))
	})
})

var _ = ginkgo.Describe("after a downtime of all instances", func() {
	// Guards against an instance that never becomes ready after all instances were
	// down for longer than the log's retention: its streams are empty and start at a
	// later offset. The instance must not wait for a manifest that no other instance
	// can write, nor refuse bookings because earlier keys are unknown.
	ginkgo.It("an instance starts with an empty state", func() {
		tbd := newTestbed(1, "")
		expect(tbd.call(0, "booking", booking("before")).Outcome).To(equal("done"))
		tbd.nodes[0].Kill()
		for _, stream := range []string{"docs", "claims", "leases"} {
			tbd.plt.Trim(stream, 0)
		}
		nod := tbd.addNode()
		began := time.Now()
		until(30*time.Second, nod.isReady)
		fmt.Printf("measured: ready %v after a start with an empty state\n", time.Since(began))
		tbd.publish(1, "booking", tbd.read("booking"))
		until(10*time.Second, func() bool { return tbd.call(1, "booking", booking("after")).Outcome == "done" })
		expect(tbd.ran(workspace, "after")).To(equal(1))
		later := tbd.addNode()
		until(30*time.Second, later.isReady)
		expect(later.revision()).To(equal(nod.revision()))
	})
})

var _ = ginkgo.Describe("orders to endpoints", func() {
	// The lease holder orders engines to load the document's model. When it is
	// killed, another instance takes over once the lease has expired and orders in
	// flight have timed out, with a greater fencing token, and corrects the engines.
	ginkgo.It("come from one holder at a time, with increasing fencing tokens", func() {
		tbd := newTestbed(2, "")
		engine := tbd.pools["planners"][0]
		until(5*time.Second, func() bool { return engine.Model() == "planner-7b" })
		holder := tbd.nodes[0].ctl.Status(tbd.ctx).Leases[0].Holder
		survivor := tbd.nodes[0]
		for _, nod := range tbd.nodes {
			if string(nod.ctl.Self()) == holder {
				nod.Kill()
			} else {
				survivor = nod
			}
		}
		killed := time.Now()
		text := strings.Replace(tbd.read("planning"), "planner-7b", "planner-9b", 1)
		go survivor.ctl.Publish(tbd.ctx, "planning", wire.Publish{ID: ident.NewID(), Base: 1, Text: text, WaitMs: 1})
		until(25*time.Second, func() bool { return engine.Model() == "planner-9b" })
		fmt.Printf("measured: orders taken over %v after the holder was killed\n", time.Since(killed))
		orders := engine.Orders()
		expect(orders[len(orders)-1].Fence).To(gomega.BeNumerically(">", orders[0].Fence))
	})
})
