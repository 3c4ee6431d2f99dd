package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
)

// refusal provokes a refusal for one reason.
type refusal struct {
	reason  string
	outcome string
	send    func(tbd *testbed) wire.Answer
	// undo reverts the changes that send made to the testbed.
	undo func(tbd *testbed)
}

func setRateLimit(tbd *testbed, line string) {
	text := strings.Replace(tbd.read("booking"), "requests_per_second = 5000", line, 1)
	tbd.publish(0, "booking", text)
}

func restoreDoc(tbd *testbed) { tbd.publish(0, "booking", tbd.read("booking")) }

// occupy sends n requests that stay in flight for a while, and waits until all of them are in
// flight. A request sent earlier than that could take the slot of one of them.
func occupy(tbd *testbed, n int) {
	tbd.pools["booking"][0].SetFaults(stand.Faults{SlowMs: 1500})
	for i := range n {
		go func() {
			ans := tbd.call(0, "booking", booking(fmt.Sprintf("hold-%d-%d", n, i)))
			ginkgo.GinkgoWriter.Printf("occupying request: %s %s %s\n", ans.Outcome, ans.Reason, ans.Detail)
		}()
	}
	until(3*time.Second, func() bool { return tbd.nodes[0].chn.InFlight() == n })
}

var refusals = []refusal{
	{reason: "unknown_service", send: func(tbd *testbed) wire.Answer { return tbd.call(0, "nothing", wire.Submit{}) }},
	{reason: "unknown_workspace", send: func(tbd *testbed) wire.Answer {
		return tbd.callAs("stranger", 0, "planning", wire.Submit{Input: "x"})
	}},
	{reason: "unknown_request_kind", send: func(tbd *testbed) wire.Answer {
		return tbd.call(0, "planning", wire.Submit{Request: "fly"})
	}},
	{reason: "bad_request", send: func(tbd *testbed) wire.Answer {
		return tbd.call(0, "planning", wire.Submit{DeadlineMs: -1})
	}},
	{reason: "key_missing", send: func(tbd *testbed) wire.Answer { return tbd.call(0, "booking", wire.Submit{Input: "x"}) }},
	{reason: "bad_resume", send: func(tbd *testbed) wire.Answer {
		return tbd.call(0, "planning", wire.Submit{Resume: &wire.Resume{Token: "x"}})
	}},
	{reason: "workspace_rate", send: func(tbd *testbed) wire.Answer {
		setRateLimit(tbd, "requests_per_second = 0.1\nburst = 1")
		tbd.call(0, "booking", wire.Submit{Input: "x", Request: "confirm", Key: "rate-0", ExpiresMs: -1})
		sub := firstBooking("rate-1")
		tbd.call(0, "booking", firstBooking("rate-0"))
		return tbd.call(0, "booking", sub)
	}, undo: restoreDoc},
	{reason: "workspace_busy", send: func(tbd *testbed) wire.Answer {
		text := strings.Replace(tbd.read("booking"), "in_flight = 512", "in_flight = 1", 1)
		tbd.publish(0, "booking", text)
		occupy(tbd, 1)
		return tbd.call(0, "booking", firstBooking("busy"))
	}, undo: func(tbd *testbed) {
		tbd.pools["booking"][0].SetFaults(stand.Faults{})
		until(5*time.Second, func() bool { return tbd.nodes[0].chn.InFlight() == 0 })
		restoreDoc(tbd)
	}},
	{reason: "queue_full", send: func(tbd *testbed) wire.Answer {
		occupy(tbd, 8)
		return tbd.call(0, "booking", firstBooking("full"))
	}, undo: func(tbd *testbed) {
		tbd.pools["booking"][0].SetFaults(stand.Faults{})
		until(5*time.Second, func() bool { return tbd.nodes[0].chn.InFlight() == 0 })
	}},
	{reason: "deadline_too_short", send: func(tbd *testbed) wire.Answer {
		sub := firstBooking("short")
		sub.DeadlineMs = 1
		return tbd.call(0, "booking", sub)
	}},
	{reason: "stage_refused", send: func(tbd *testbed) wire.Answer {
		tbd.pools["booking"][0].SetFaults(stand.Faults{Refuse: 50})
		return tbd.call(0, "booking", firstBooking("refused"))
	}, undo: func(tbd *testbed) { tbd.pools["booking"][0].SetFaults(stand.Faults{}) }},
	{reason: "log_unavailable", send: func(tbd *testbed) wire.Answer {
		tbd.plt.SetFaults(stand.Faults{Outage: true})
		n := 0
		until(5*time.Second, func() bool {
			n++
			return tbd.call(0, "booking", firstBooking(fmt.Sprintf("probe-%d", n))).Reason == "log_unavailable"
		})
		return tbd.call(0, "booking", firstBooking("out"))
	}, undo: func(tbd *testbed) {
		tbd.plt.SetFaults(stand.Faults{})
		until(8*time.Second, func() bool { return tbd.call(0, "booking", booking("mended")).Outcome == "done" })
	}},
	{reason: "no_endpoint", send: func(tbd *testbed) wire.Answer {
		tbd.pools["booking"][0].SetFaults(stand.Faults{Leave: true})
		n := 0
		until(5*time.Second, func() bool {
			n++
			return tbd.call(0, "booking", firstBooking(fmt.Sprintf("gone-%d", n))).Reason == "no_endpoint"
		})
		return tbd.call(0, "booking", firstBooking("gone"))
	}},
	{reason: "stale_view", send: func(tbd *testbed) wire.Answer {
		tbd.setPartitioned(0, true)
		until(10*time.Second, func() bool { return !tbd.nodes[0].isReady() })
		return tbd.call(0, "planning", wire.Submit{Input: "x"})
	}, undo: func(tbd *testbed) {
		tbd.setPartitioned(0, false)
		until(10*time.Second, tbd.nodes[0].isReady)
	}},
	{reason: "stopping", send: func(tbd *testbed) wire.Answer {
		tbd.nodes[0].ctl.RefuseNewWork()
		return tbd.call(0, "planning", wire.Submit{Input: "x"})
	}},
}

var _ = ginkgo.Describe("a refusal", func() {
	// Every reason of refusal is provoked. The caller receives not_run, and the
	// execution records of the test doubles show that nothing ran.
	ginkgo.It("as not_run means that nothing ran, for each reason", func() {
		tbd := newTestbed(2, "max_in_flight = 8")
		for _, rfs := range refusals {
			ginkgo.By(rfs.reason)
			ans := rfs.send(tbd)
			expect(ans.Outcome+" "+ans.Reason).To(equal("not_run "+rfs.reason), ans.Detail)
			for _, epts := range tbd.pools {
				for _, ept := range epts {
					for _, exc := range ept.Executions() {
						expect(exc.RequestID).NotTo(equal(ans.RequestID), rfs.reason)
					}
				}
			}
			if rfs.undo != nil {
				rfs.undo(tbd)
			}
		}
	})

	// A booking was done at one instance. An overloaded second instance refuses a
	// repeat before it has looked up the key: it must not answer not_run.
	ginkgo.It("is never not_run for a repeat whose key the instance has not looked up", func() {
		tbd := newTestbed(2, "max_in_flight = 8")
		expect(tbd.call(1, "booking", booking("done-elsewhere")).Outcome).To(equal("done"))
		occupy(tbd, 8)
		ans := tbd.call(0, "booking", booking("done-elsewhere"))
		expect(ans.Outcome + " " + ans.Reason).To(equal("unknown queue_full"))
		expect(ans.RetryAfterMs).To(gomega.BeNumerically(">", 0))
	})

	// The answer to a malformed request names the position and the reason, as given
	// in docs/PROTOCOL.md, and nothing runs.
	ginkgo.It("names position and reason of a malformed request", func() {
		tbd := newTestbed(1, "")
		for body, want := range map[string]string{
			`{"input": "x", "expires": 3}`: `unknown field "expires"`,
			`{"input": `:                   "unexpected EOF",
			`{"input": 3}`:                 "input: expected string, found number",
			``:                             "the body is empty",
			`{"input": "x"} {`:             "text after the value",
		} {
			res, err := http.Post("http://"+tbd.nodes[0].CallerAddr()+"/v1/services/planning/requests", "application/json", bytes.NewBufferString(body))
			expect(err).NotTo(haveOccurred())
			var text bytes.Buffer
			_, _ = text.ReadFrom(res.Body)
			_ = res.Body.Close()
			expect(res.StatusCode).To(equal(http.StatusBadRequest))
			expect(text.String()).To(gomega.ContainSubstring(strings.ReplaceAll(want, `"`, `\"`)))
			expect(res.Header.Get(wire.HeaderOutcome) + " " + res.Header.Get(wire.HeaderReason)).To(equal("not_run bad_request"))
		}
		expect(tbd.executions()).To(equal(0))
	})
})
