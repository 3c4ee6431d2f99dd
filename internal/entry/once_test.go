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

// shortMs is a deadline that passes while a claim waits for the log, in milliseconds.
const shortMs = 300

// claimHeld books at the first instance until the claim of an attempt that was given up
// waits at a log that holds appends, and gives its key and its answer. An attempt whose
// time runs out before its claim is sent leaves none.
func (wld *world) claimHeld(name string) (key string, ans wire.Answer) {
	answers := map[string]wire.Answer{}
	until(10*time.Second, func() bool {
		sub := firstBook(fmt.Sprintf("%s-%d", name, len(answers)))
		sub.DeadlineMs = shortMs
		answers[sub.Key] = wld.call(0, "booking", sub)
		expect(answers[sub.Key].Outcome).To(equal("not_run"), answers[sub.Key].Reason)
		for _, body := range wld.plt.PendingAppends("claims") {
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
	// Forty bookings are each sent to both instances at once. Each runs once;
	// the second caller is joined to the first attempt and gets its answer.
	ginkgo.It("with one key at two instances at once", func() {
		wld := newWorld(2, "")
		outcomes := map[string]int{}
		var mtx sync.Mutex
		var wgr sync.WaitGroup
		for i := range 80 {
			wgr.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wgr.Done()
				ans := wld.call(i%2, "booking", book(fmt.Sprintf("both-%d", i/2)))
				mtx.Lock()
				defer mtx.Unlock()
				outcomes[ans.Outcome]++
				expect(ans.Output).To(equal(fmt.Sprintf("confirm(possession both-%d)", i/2)), "%s %s", ans.Outcome, ans.Reason)
			}()
		}
		wgr.Wait()
		for i := range 40 {
			expect(wld.ran(workspace, fmt.Sprintf("both-%d", i))).To(equal(1))
		}
		expect(outcomes["done"]).To(equal(80))
	})

	// The log takes the claim and its reply is lost. The instance appends the
	// same claim again, finds its own record, and the booking runs once; it
	// does get done.
	ginkgo.It("when replies to appends are lost after the effect", func() {
		wld := newWorld(2, "")
		for i := range 10 {
			wld.plt.SetFaults(stand.Faults{LoseReplies: 2})
			key := fmt.Sprintf("lost-%d", i)
			ans := wld.call(i%2, "booking", book(key))
			expect(ans.Outcome).To(equal("done"), ans.Detail)
			expect(wld.call((i+1)%2, "booking", book(key)).Outcome).To(equal("done"))
			expect(wld.ran(workspace, key)).To(equal(1))
		}
	})

	// The instance dies while the booking service works. Nobody can tell what
	// became of the booking: a repeat elsewhere is told "unknown" and it is
	// not run again.
	ginkgo.It("when the instance is killed after the dispatch", func() {
		wld := newWorld(2, "")
		wld.pools["booking"][0].SetFaults(stand.Faults{SlowMs: 1500})
		go wld.call(0, "booking", book("killed"))
		until(3*time.Second, func() bool { return len(wld.plt.Records("claims")) > 0 })
		until(3*time.Second, wld.nodes[0].busy)
		wld.nodes[0].Kill()
		wld.pools["booking"][0].SetFaults(stand.Faults{})
		ans := wld.call(1, "booking", book("killed"))
		expect(ans.Outcome).To(gomega.Or(equal("unknown")), ans.Reason)
		expect(wld.ran(workspace, "killed")).To(gomega.BeNumerically("<=", 1))
	})

	// The connection breaks after the request was written. It may have run, so
	// that it is not sent again, and every repeat is told "unknown".
	ginkgo.It("when the endpoint is cut after the request was written", func() {
		wld := newWorld(2, "")
		wld.pools["booking"][0].SetFaults(stand.Faults{LoseReplies: 1})
		ans := wld.call(0, "booking", book("cut"))
		expect(ans.Outcome + " " + ans.Reason).To(equal("unknown connection_cut"))
		expect(wld.call(1, "booking", book("cut")).Outcome).To(equal("unknown"))
		expect(wld.ran(workspace, "cut")).To(equal(1))
	})

	// The endpoint refuses with its word that nothing ran, then takes the
	// request: it is sent again, runs once and gets done.
	ginkgo.It("and gets done when the endpoint had refused first", func() {
		wld := newWorld(1, "")
		wld.pools["booking"][0].SetFaults(stand.Faults{Refuse: 1})
		expect(wld.call(0, "booking", book("refused")).Outcome).To(equal("done"))
		expect(wld.ran(workspace, "refused")).To(equal(1))
	})

	// A reused connection breaks as the endpoint runs the request. Go's HTTP
	// transport would send a POST again by itself if it had a header named
	// Idempotency-Key; ours has none, and the booking runs once.
	ginkgo.It("over a reused connection that breaks", func() {
		wld := newWorld(1, "")
		expect(wld.call(0, "booking", book("warm")).Outcome).To(equal("done"))
		wld.pools["booking"][0].SetFaults(stand.Faults{LoseReplies: 1})
		expect(wld.call(0, "booking", book("reused")).Outcome).To(equal("unknown"))
		expect(wld.ran(workspace, "reused")).To(equal(1))
	})

	// The log is out. A booking that its caller never sent before is refused
	// as not run, at once, with a time to come back; a repeat is told that
	// nobody knows. After the outage the same key runs, once.
	ginkgo.It("in an outage of the log", func() {
		wld := newWorld(2, "")
		wld.plt.SetFaults(stand.Faults{Outage: true})
		until(5*time.Second, func() bool { return wld.call(0, "booking", firstBook("probe")).Reason == "log_unavailable" })
		began := time.Now()
		ans := wld.call(0, "booking", firstBook("out"))
		expect(ans.Outcome + " " + ans.Reason).To(equal("not_run log_unavailable"))
		expect(ans.RetryAfterMs).To(gomega.BeNumerically(">", 0))
		expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		expect(wld.call(1, "booking", book("out")).Outcome).To(equal("unknown"))
		expect(wld.ran(workspace, "out")).To(equal(0))
		expect(wld.call(0, "planning", wire.Submit{Input: "x", MaxTokens: 1}).Outcome).To(equal("done"))
		wld.plt.SetFaults(stand.Faults{})
		until(8*time.Second, func() bool { return wld.call(0, "booking", book("out")).Outcome == "done" })
		expect(wld.ran(workspace, "out")).To(equal(1))
	})

	// Guards against a key that stays held by an attempt that was given up: its claim comes
	// into the log only after its caller was answered.
	ginkgo.It("when a claim comes into the log after its attempt was given up", func() {
		wld := newWorld(2, "")
		wld.plt.SetFaults(stand.Faults{HoldAppends: true})
		key, ans := wld.claimHeld("slow")
		expect(ans.Outcome + " " + ans.Reason).To(equal("not_run log_unavailable"))
		expect(wld.ran(workspace, key)).To(equal(0))
		expect(wld.plt.Records("claims")).To(gomega.BeEmpty())
		wld.plt.SetFaults(stand.Faults{})
		until(5*time.Second, func() bool { return len(wld.plt.Records("claims")) > 0 })
		until(10*time.Second, func() bool { return wld.call(1, "booking", book(key)).Outcome == "done" })
		expect(wld.ran(workspace, key)).To(equal(1))
	})

	// Guards against a key that stays held by an attempt that was given up before its claim
	// was sent to the log.
	ginkgo.It("when an attempt was given up before its claim was sent", func() {
		wld := newWorld(2, "")
		wld.plt.SetFaults(stand.Faults{HoldAppends: true})
		wld.claimHeld("ahead")
		sub := firstBook("behind")
		sub.DeadlineMs = shortMs
		expect(wld.call(0, "booking", sub).Outcome).To(equal("not_run"))
		wld.plt.SetFaults(stand.Faults{})
		until(10*time.Second, func() bool { return wld.call(1, "booking", book("behind")).Outcome == "done" })
		expect(wld.ran(workspace, "behind")).To(equal(1))
	})

	// A key is repeated after its expiry, with a new one. It is refused as
	// expired, which does not claim that it did not run.
	ginkgo.It("when a key is repeated after its expiry", func() {
		wld := newWorld(1, "")
		wld.pools["booking"][0].SetFaults(stand.Faults{Refuse: 100})
		sub := firstBook("old")
		sub.ExpiresMs = clock.Clock{}.Now() + 1500
		expect(wld.call(0, "booking", sub).Outcome).To(equal("not_run"))
		wld.pools["booking"][0].SetFaults(stand.Faults{})
		until(4*time.Second, func() bool { return clock.Clock{}.Now() > sub.ExpiresMs })
		ans := wld.call(0, "booking", book("old"))
		expect(ans.Outcome + " " + ans.Reason).To(equal("unknown key_expired"))
		expect(wld.ran(workspace, "old")).To(equal(0))
	})
})
