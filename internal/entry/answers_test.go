package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
)

var _ = ginkgo.Describe("no result is lost, duplicated or swapped", func() {
	// An encoder answers with another attempt's ID, as a late answer of an
	// abandoned attempt would. The instance drops that answer and retries the
	// stage, which is idempotent, so that the caller receives its own answer.
	ginkgo.It("drops an answer that belongs to another attempt", func() {
		tbd := newTestbed(1, "")
		for _, ept := range tbd.pools["encoders"] {
			ept.SetFaults(stand.Faults{WrongAttempt: 1})
		}
		ans := tbd.call(0, "planning", wire.Submit{Input: "mine", MaxTokens: 3})
		expect(ans.Outcome).To(equal("done"), ans.Detail)
		expect(ans.Output).To(equal(generated("mine", 3)))
		expect(ans.Stages[0].Attempts).To(gomega.BeNumerically(">", 1))
	})

	// The booking service answers with another attempt's ID. The booking may
	// have run and must not run again: the caller and every repeat receive
	// "unknown".
	ginkgo.It("never repeats a booking whose answer was foreign", func() {
		tbd := newTestbed(2, "")
		tbd.pools["booking"][0].SetFaults(stand.Faults{WrongAttempt: 1})
		ans := tbd.call(0, "booking", booking("w1"))
		expect(ans.Outcome).To(equal("unknown"))
		expect(ans.Reason).To(equal("wrong_attempt"))
		again := tbd.call(1, "booking", booking("w1"))
		expect(again.Outcome).To(equal("unknown"))
		expect(tbd.ran(workspace, "w1")).To(equal(1))
	})

	// 100 concurrent requests while encoders cut connections, lose replies and
	// answer with foreign attempt IDs. Each caller receives the answer to its own
	// input or a failure, never another request's answer.
	ginkgo.It("never returns an answer to another request", func() {
		tbd := newTestbed(2, "")
		for _, ept := range tbd.pools["encoders"] {
			ept.SetFaults(stand.Faults{WrongAttempt: 10, LoseReplies: 10, Cut: 10})
		}
		done := 0
		var mtx sync.Mutex
		var wgr sync.WaitGroup
		for i := range 100 {
			wgr.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wgr.Done()
				input := fmt.Sprintf("request %d", i)
				ans := tbd.call(i%2, "planning", wire.Submit{Input: input, MaxTokens: 2})
				mtx.Lock()
				defer mtx.Unlock()
				if ans.Outcome == "done" {
					done++
					expect(ans.Output).To(equal(generated(input, 2)))
				}
			}()
		}
		wgr.Wait()
		expect(done).To(gomega.BeNumerically(">", 30))
	})

	// Two workspaces use the same idempotency key. Each booking runs once and each
	// caller receives its own answer. Another body under a used key is refused and
	// does not run.
	ginkgo.It("separates two workspaces with one key", func() {
		tbd := newTestbed(1, "")
		text := tbd.read("booking") + "\n[[workspace]]\nname = \"downs-civil\"\n"
		tbd.publish(0, "booking", text)
		mine, theirs := booking("k"), booking("k")
		theirs.Input = "their possession"
		expect(tbd.call(0, "booking", mine).Output).To(equal("confirm(possession k)"))
		expect(tbd.callAs("downs-civil", 0, "booking", theirs).Output).To(equal("confirm(their possession)"))
		other := booking("k")
		other.Input = "something else"
		ans := tbd.call(0, "booking", other)
		expect(ans.Outcome + " " + ans.Reason).To(equal("not_run key_conflict"))
		expect(tbd.ran(workspace, "k")).To(equal(1))
		expect(tbd.ran("downs-civil", "k")).To(equal(1))
	})
})

var _ = ginkgo.Describe("a caller receives its whole answer", func() {
	stream := func(tbd *testbed, seeds []string, tokens int, each func(int)) (wire.Answer, string) {
		text := ""
		n := 0
		cli := caller.New(seeds, workspace, "", "dc1")
		ctx, cancel := context.WithTimeout(tbd.ctx, 20*time.Second)
		defer cancel()
		ans := cli.Call(ctx, "planning", wire.Submit{Input: "plan", Stream: true, MaxTokens: tokens}, func(tok wire.Token) {
			text += tok.Text
			n++
			if each != nil {
				each(n)
			}
		})
		return ans, text
	}

	// The first stream of each of the two engines is cut, after every possible number
	// of tokens. The caller receives every token once and in order.
	ginkgo.It("continues after a cut at every token boundary", func() {
		tbd := newTestbed(1, "")
		const tokens = 6
		for after := range tokens + 1 {
			for _, ept := range tbd.pools["planners"] {
				ept.SetFaults(stand.Faults{CutAfter: after, CutStreams: 1})
			}
			ans, text := stream(tbd, []string{tbd.nodes[0].CallerAddr()}, tokens, nil)
			expect(ans.Outcome).To(equal("done"), "cut after %d: %s", after, ans.Detail)
			expect(text).To(equal(generated("plan", tokens)), "cut after %d", after)
		}
	})

	// The engine crashes in the middle of a stream: its connections break and its
	// port is closed. Another engine resumes at the next token index.
	ginkgo.It("continues at another engine when one crashes", func() {
		tbd := newTestbed(1, "")
		var once sync.Once
		ans, text := stream(tbd, []string{tbd.nodes[0].CallerAddr()}, 40, func(n int) {
			if n == 5 {
				once.Do(func() {
					for i, ept := range tbd.pools["planners"] {
						if len(ept.Executions()) > 0 {
							tbd.servers[tbd.pools["planners"][i].ID()].Close()
							break
						}
					}
				})
			}
		})
		expect(ans.Outcome).To(equal("done"), ans.Detail)
		expect(text).To(equal(generated("plan", 40)))
	})

	// The streaming instance is killed. The caller's connection ends without the
	// end event, which marks the answer as incomplete. The client resumes at
	// another instance with its resume token and the tokens received so far.
	ginkgo.It("is resumed at another instance when the first is killed", func() {
		tbd := newTestbed(2, "")
		var once sync.Once
		ans, text := stream(tbd, []string{tbd.nodes[0].CallerAddr(), tbd.nodes[1].CallerAddr()}, 40, func(n int) {
			if n != 5 {
				return
			}
			once.Do(func() {
				for _, nod := range tbd.nodes {
					if nod.hasInFlight() {
						go nod.Kill()
						break
					}
				}
			})
		})
		expect(ans.Outcome).To(equal("done"), ans.Detail)
		expect(text).To(equal(generated("plan", 40)))
	})

	// A workspace sends the resume token of another workspace, a forged one, or one
	// for a different input. It receives nothing of the stream, and nothing runs.
	ginkgo.It("is not revealed for a guessed or foreign token", func() {
		tbd := newTestbed(1, "")
		tbd.publish(0, "planning", tbd.read("planning")+"\n[[workspace]]\nname = \"downs-civil\"\n")
		nod := tbd.nodes[0]
		tkn := ""
		cli := caller.New([]string{nod.CallerAddr()}, workspace, "", "")
		cli.OnOpen = func(opn wire.Open) { tkn = opn.Resume }
		ans := cli.Call(tbd.ctx, "planning", wire.Submit{Input: "secret", Stream: true, MaxTokens: 2}, nil)
		expect(ans.Outcome).To(equal("done"))
		before := tbd.executions()
		for _, sub := range []wire.Submit{
			{Input: "secret", MaxTokens: 2, Resume: &wire.Resume{Token: tkn}},
			{Input: "secret", MaxTokens: 2, Resume: &wire.Resume{Token: "AAAA" + tkn[4:]}},
			{Input: "other", MaxTokens: 2, Resume: &wire.Resume{Token: tkn}},
		} {
			ans := tbd.callAs("downs-civil", 0, "planning", sub)
			expect(ans.Outcome + " " + ans.Reason).To(equal("not_run bad_resume"))
		}
		expect(tbd.executions()).To(equal(before))
	})
})

// hasInFlight reports whether the instance has requests in flight at an endpoint.
func (nod *Node) hasInFlight() bool {
	for _, ept := range nod.ctl.Status(context.Background()).Endpoints {
		if ept.InFlight > 0 {
			return true
		}
	}
	return false
}
