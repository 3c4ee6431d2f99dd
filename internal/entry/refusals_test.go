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

// refusal is a way to be refused with one reason.
type refusal struct {
	reason  string
	outcome string
	send    func(wld *world) wire.Answer
	// mend takes back what send did to the world.
	mend func(wld *world)
}

func limited(wld *world, line string) {
	text := strings.Replace(wld.read("booking"), "requests_per_second = 5000", line, 1)
	wld.publish(0, "booking", text)
}

func restore(wld *world) { wld.publish(0, "booking", wld.read("booking")) }

// hold sends requests that stay under way for a while, and waits until all of them are:
// whoever came before the last of them would have its place.
func hold(wld *world, n int) {
	wld.pools["booking"][0].SetFaults(stand.Faults{SlowMs: 1500})
	for i := range n {
		go func() {
			ans := wld.call(0, "booking", book(fmt.Sprintf("hold-%d-%d", n, i)))
			ginkgo.GinkgoWriter.Printf("held: %s %s %s\n", ans.Outcome, ans.Reason, ans.Detail)
		}()
	}
	until(3*time.Second, func() bool { return wld.nodes[0].chn.InFlight() == n })
}

var refusals = []refusal{
	{reason: "unknown_service", send: func(wld *world) wire.Answer { return wld.call(0, "nothing", wire.Submit{}) }},
	{reason: "unknown_workspace", send: func(wld *world) wire.Answer {
		return wld.callAs("stranger", 0, "planning", wire.Submit{Input: "x"})
	}},
	{reason: "unknown_request_kind", send: func(wld *world) wire.Answer {
		return wld.call(0, "planning", wire.Submit{Request: "fly"})
	}},
	{reason: "bad_request", send: func(wld *world) wire.Answer {
		return wld.call(0, "planning", wire.Submit{DeadlineMs: -1})
	}},
	{reason: "key_missing", send: func(wld *world) wire.Answer { return wld.call(0, "booking", wire.Submit{Input: "x"}) }},
	{reason: "bad_resume", send: func(wld *world) wire.Answer {
		return wld.call(0, "planning", wire.Submit{Resume: &wire.Resume{Token: "x"}})
	}},
	{reason: "workspace_rate", send: func(wld *world) wire.Answer {
		limited(wld, "requests_per_second = 0.1\nburst = 1")
		wld.call(0, "booking", wire.Submit{Input: "x", Request: "confirm", Key: "rate-0", ExpiresMs: -1})
		sub := firstBook("rate-1")
		wld.call(0, "booking", firstBook("rate-0"))
		return wld.call(0, "booking", sub)
	}, mend: restore},
	{reason: "workspace_busy", send: func(wld *world) wire.Answer {
		text := strings.Replace(wld.read("booking"), "in_flight = 512", "in_flight = 1", 1)
		wld.publish(0, "booking", text)
		hold(wld, 1)
		return wld.call(0, "booking", firstBook("busy"))
	}, mend: func(wld *world) {
		wld.pools["booking"][0].SetFaults(stand.Faults{})
		until(5*time.Second, func() bool { return wld.nodes[0].chn.InFlight() == 0 })
		restore(wld)
	}},
	{reason: "queue_full", send: func(wld *world) wire.Answer {
		hold(wld, 8)
		return wld.call(0, "booking", firstBook("full"))
	}, mend: func(wld *world) {
		wld.pools["booking"][0].SetFaults(stand.Faults{})
		until(5*time.Second, func() bool { return wld.nodes[0].chn.InFlight() == 0 })
	}},
	{reason: "deadline_too_short", send: func(wld *world) wire.Answer {
		sub := firstBook("short")
		sub.DeadlineMs = 1
		return wld.call(0, "booking", sub)
	}},
	{reason: "stage_refused", send: func(wld *world) wire.Answer {
		wld.pools["booking"][0].SetFaults(stand.Faults{Refuse: 50})
		return wld.call(0, "booking", firstBook("refused"))
	}, mend: func(wld *world) { wld.pools["booking"][0].SetFaults(stand.Faults{}) }},
	{reason: "log_unavailable", send: func(wld *world) wire.Answer {
		wld.plt.SetFaults(stand.Faults{Outage: true})
		n := 0
		until(5*time.Second, func() bool {
			n++
			return wld.call(0, "booking", firstBook(fmt.Sprintf("probe-%d", n))).Reason == "log_unavailable"
		})
		return wld.call(0, "booking", firstBook("out"))
	}, mend: func(wld *world) {
		wld.plt.SetFaults(stand.Faults{})
		until(8*time.Second, func() bool { return wld.call(0, "booking", book("mended")).Outcome == "done" })
	}},
	{reason: "no_endpoint", send: func(wld *world) wire.Answer {
		wld.pools["booking"][0].SetFaults(stand.Faults{Leave: true})
		n := 0
		until(5*time.Second, func() bool {
			n++
			return wld.call(0, "booking", firstBook(fmt.Sprintf("gone-%d", n))).Reason == "no_endpoint"
		})
		return wld.call(0, "booking", firstBook("gone"))
	}},
	{reason: "stale_view", send: func(wld *world) wire.Answer {
		wld.cutOff(0, true)
		until(10*time.Second, func() bool { return !wld.nodes[0].isReady() })
		return wld.call(0, "planning", wire.Submit{Input: "x"})
	}, mend: func(wld *world) {
		wld.cutOff(0, false)
		until(10*time.Second, wld.nodes[0].isReady)
	}},
	{reason: "stopping", send: func(wld *world) wire.Answer {
		wld.nodes[0].ctl.Refuse()
		return wld.call(0, "planning", wire.Submit{Input: "x"})
	}},
}

var _ = ginkgo.Describe("a refusal is honest", func() {
	// Every reason for which a request can be refused is provoked. The caller
	// is told "not run", and the stand-ins' own record shows that nothing ran.
	ginkgo.It("for each reason: not run means that nothing ran", func() {
		wld := newWorld(2, "max_in_flight = 8")
		for _, rfs := range refusals {
			ginkgo.By(rfs.reason)
			ans := rfs.send(wld)
			expect(ans.Outcome+" "+ans.Reason).To(equal("not_run "+rfs.reason), ans.Detail)
			for _, epts := range wld.pools {
				for _, ept := range epts {
					for _, exc := range ept.Executions() {
						expect(exc.RequestID).NotTo(equal(ans.RequestID), rfs.reason)
					}
				}
			}
			if rfs.mend != nil {
				rfs.mend(wld)
			}
		}
	})

	// A booking was done at one instance. An overloaded second instance that has
	// not looked the key up refuses a repeat of it: it may not say "not run".
	ginkgo.It("does not say not run of a repeat that it has not looked up", func() {
		wld := newWorld(2, "max_in_flight = 8")
		expect(wld.call(1, "booking", book("done-elsewhere")).Outcome).To(equal("done"))
		hold(wld, 8)
		ans := wld.call(0, "booking", book("done-elsewhere"))
		expect(ans.Outcome + " " + ans.Reason).To(equal("unknown queue_full"))
		expect(ans.RetryAfterMs).To(gomega.BeNumerically(">", 0))
	})

	// A caller sends what is no request. The answer names place and reason, in
	// the words of docs/PROTOCOL.md, and changes nothing.
	ginkgo.It("tells place and reason of a malformed request", func() {
		wld := newWorld(1, "")
		for body, want := range map[string]string{
			`{"input": "x", "expires": 3}`: `unknown field "expires"`,
			`{"input": `:                   "unexpected EOF",
			`{"input": 3}`:                 "input: expected string, found number",
			``:                             "the body is empty",
			`{"input": "x"} {`:             "text after the value",
		} {
			res, err := http.Post("http://"+wld.nodes[0].CallerAddr()+"/v1/services/planning/requests", "application/json", bytes.NewBufferString(body))
			expect(err).NotTo(anything())
			var text bytes.Buffer
			_, _ = text.ReadFrom(res.Body)
			_ = res.Body.Close()
			expect(res.StatusCode).To(equal(http.StatusBadRequest))
			expect(text.String()).To(gomega.ContainSubstring(strings.ReplaceAll(want, `"`, `\"`)))
			expect(res.Header.Get(wire.HeaderOutcome) + " " + res.Header.Get(wire.HeaderReason)).To(equal("not_run bad_request"))
		}
		expect(wld.executions()).To(equal(0))
	})
})
