package entry

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/claim"
	"amaranthvalve/pkg/clock"
)

// shortDeadlineMs is a deadline, in milliseconds, that passes while a claim waits for the log.
const shortDeadlineMs = 300

// claimPending sends bookings to the first instance until the log, which delays appends, has
// the claim of an abandoned attempt pending, and returns its key and its answer. An attempt
// whose deadline passes before its claim is sent leaves no claim.
func (tbd *testbed) claimPending(name string) (key string, ans wire.Answer) {
	answers := map[string]wire.Answer{}
	until(10*time.Second, func() bool {
		sub := firstBooking(fmt.Sprintf("%s-%d", name, len(answers)))
		sub.DeadlineMs = shortDeadlineMs
		answers[sub.Key] = tbd.call(0, "booking", sub)
		expect(answers[sub.Key].Outcome).To(equal("not_run"), answers[sub.Key].Reason)
		for _, body := range tbd.plt.PendingAppends("claims") {
			var ent claim.Entry
			expect(json.Unmarshal(body, &ent)).To(gomega.Succeed())
			key = strings.TrimPrefix(ent.Key, claim.FullKey(workspace, "booking", ""))
		}
		ans = answers[key]
		return key != ""
	})
	return key, ans
}

var _ = ginkgo.Describe("a non-idempotent request runs at most once", func() {
	// 40 bookings are each sent to both instances at once. Each runs once; the
	// second request joins the first attempt and receives its answer.
	ginkgo.It("with one key at two instances at once", func() {
		tbd := newTestbed(2, "")
		outcomes := map[string]int{}
		var mtx sync.Mutex
		var wgr sync.WaitGroup
		for i := range 80 {
			wgr.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wgr.Done()
				ans := tbd.call(i%2, "booking", booking(fmt.Sprintf("both-%d", i/2)))
				mtx.Lock()
				defer mtx.Unlock()
				outcomes[ans.Outcome]++
				expect(ans.Output).To(equal(fmt.Sprintf("confirm(possession both-%d)", i/2)), "%s %s", ans.Outcome, ans.Reason)
			}()
		}
		wgr.Wait()
		for i := range 40 {
			expect(tbd.ran(workspace, fmt.Sprintf("both-%d", i))).To(equal(1))
		}
		expect(outcomes["done"]).To(equal(80))
	})

	// The log appends the claim, but its reply is lost. The instance appends the
	// claim again, finds its own record, and the booking runs exactly once.
	ginkgo.It("when replies to appends are lost after the effect", func() {
		tbd := newTestbed(2, "")
		for i := range 10 {
			tbd.plt.SetFaults(stand.Faults{LoseReplies: 2})
			key := fmt.Sprintf("lost-%d", i)
			ans := tbd.call(i%2, "booking", booking(key))
			expect(ans.Outcome).To(equal("done"), ans.Detail)
			expect(tbd.call((i+1)%2, "booking", booking(key)).Outcome).To(equal("done"))
			expect(tbd.ran(workspace, key)).To(equal(1))
		}
	})

	// The instance is killed while the booking service executes the request. The
	// outcome of the request is not known: a repeat at another instance receives "unknown", and
	// the booking does not run again.
	ginkgo.It("when the instance is killed after the dispatch", func() {
		tbd := newTestbed(2, "")
		tbd.pools["booking"][0].SetFaults(stand.Faults{SlowMs: 1500})
		go tbd.call(0, "booking", booking("killed"))
		until(3*time.Second, func() bool { return len(tbd.plt.Records("claims")) > 0 })
		until(3*time.Second, tbd.nodes[0].hasInFlight)
		tbd.nodes[0].Kill()
		tbd.pools["booking"][0].SetFaults(stand.Faults{})
		ans := tbd.call(1, "booking", booking("killed"))
		expect(ans.Outcome).To(gomega.Or(equal("unknown")), ans.Reason)
		expect(tbd.ran(workspace, "killed")).To(gomega.BeNumerically("<=", 1))
	})

	// The connection breaks after the request was written. The request may have run,
	// so that it is not retried, and every repeat receives "unknown".
	ginkgo.It("when the endpoint is cut after the request was written", func() {
		tbd := newTestbed(2, "")
		tbd.pools["booking"][0].SetFaults(stand.Faults{LoseReplies: 1})
		ans := tbd.call(0, "booking", booking("cut"))
		expect(ans.Outcome + " " + ans.Reason).To(equal("unknown connection_cut"))
		expect(tbd.call(1, "booking", booking("cut")).Outcome).To(equal("unknown"))
		expect(tbd.ran(workspace, "cut")).To(equal(1))
	})

	// The endpoint first refuses and confirms that nothing ran, then accepts: the
	// request is retried, runs once and is done.
	ginkgo.It("and is done when the endpoint refused it first", func() {
		tbd := newTestbed(1, "")
		tbd.pools["booking"][0].SetFaults(stand.Faults{Refuse: 1})
		expect(tbd.call(0, "booking", booking("refused")).Outcome).To(equal("done"))
		expect(tbd.ran(workspace, "refused")).To(equal(1))
	})

	// A reused connection breaks while the endpoint executes the request. Go's HTTP
	// transport retries a POST by itself if it has a header Idempotency-Key; requests
	// to endpoints have none, and the booking runs once.
	ginkgo.It("over a reused connection that breaks", func() {
		tbd := newTestbed(1, "")
		expect(tbd.call(0, "booking", booking("warm")).Outcome).To(equal("done"))
		tbd.pools["booking"][0].SetFaults(stand.Faults{LoseReplies: 1})
		expect(tbd.call(0, "booking", booking("reused")).Outcome).To(equal("unknown"))
		expect(tbd.ran(workspace, "reused")).To(equal(1))
	})

	// The log is out. A booking that its caller sends for the first time is refused
	// at once as not_run, with a retry-after delay; a repeat receives "unknown".
	// After the outage a booking under the same key runs once.
	ginkgo.It("in an outage of the log", func() {
		tbd := newTestbed(2, "")
		tbd.plt.SetFaults(stand.Faults{Outage: true})
		until(5*time.Second, func() bool { return tbd.call(0, "booking", firstBooking("probe")).Reason == "log_unavailable" })
		began := time.Now()
		ans := tbd.call(0, "booking", firstBooking("out"))
		expect(ans.Outcome + " " + ans.Reason).To(equal("not_run log_unavailable"))
		expect(ans.RetryAfterMs).To(gomega.BeNumerically(">", 0))
		expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		expect(tbd.call(1, "booking", booking("out")).Outcome).To(equal("unknown"))
		expect(tbd.ran(workspace, "out")).To(equal(0))
		expect(tbd.call(0, "planning", wire.Submit{Input: "x", MaxTokens: 1}).Outcome).To(equal("done"))
		tbd.plt.SetFaults(stand.Faults{})
		until(8*time.Second, func() bool { return tbd.call(0, "booking", booking("out")).Outcome == "done" })
		expect(tbd.ran(workspace, "out")).To(equal(1))
	})

	// Guards against a key that stays claimed by an abandoned attempt whose claim reaches the
	// log only after the caller was answered.
	ginkgo.It("when a claim reaches the log after its attempt was abandoned", func() {
		tbd := newTestbed(2, "")
		tbd.plt.SetFaults(stand.Faults{HoldAppends: true})
		key, ans := tbd.claimPending("slow")
		expect(ans.Outcome + " " + ans.Reason).To(equal("not_run log_unavailable"))
		expect(tbd.ran(workspace, key)).To(equal(0))
		expect(tbd.plt.Records("claims")).To(gomega.BeEmpty())
		tbd.plt.SetFaults(stand.Faults{})
		until(5*time.Second, func() bool { return len(tbd.plt.Records("claims")) > 0 })
		until(10*time.Second, func() bool { return tbd.call(1, "booking", booking(key)).Outcome == "done" })
		expect(tbd.ran(workspace, key)).To(equal(1))
	})

	// Guards against a key that stays claimed by an attempt that was abandoned before its
	// claim was sent to the log.
	ginkgo.It("when an attempt was abandoned before its claim was sent", func() {
		tbd := newTestbed(2, "")
		tbd.plt.SetFaults(stand.Faults{HoldAppends: true})
		tbd.claimPending("ahead")
		sub := firstBooking("behind")
		sub.DeadlineMs = shortDeadlineMs
		expect(tbd.call(0, "booking", sub).Outcome).To(equal("not_run"))
		tbd.plt.SetFaults(stand.Faults{})
		until(10*time.Second, func() bool { return tbd.call(1, "booking", booking("behind")).Outcome == "done" })
		expect(tbd.ran(workspace, "behind")).To(equal(1))
	})

	// A key is repeated after its expiry, with a new expiry time. It is refused as
	// expired with the outcome unknown, since the first request may have run.
	ginkgo.It("when a key is repeated after its expiry", func() {
		tbd := newTestbed(1, "")
		tbd.pools["booking"][0].SetFaults(stand.Faults{Refuse: 100})
		sub := firstBooking("old")
		sub.ExpiresMs = clock.Clock{}.Now() + 1500
		expect(tbd.call(0, "booking", sub).Outcome).To(equal("not_run"))
		tbd.pools["booking"][0].SetFaults(stand.Faults{})
		until(4*time.Second, func() bool { return clock.Clock{}.Now() > sub.ExpiresMs })
		ans := tbd.call(0, "booking", booking("old"))
		expect(ans.Outcome + " " + ans.Reason).To(equal("unknown key_expired"))
		expect(tbd.ran(workspace, "old")).To(equal(0))
	})
})
