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

var _ = ginkgo.Describe("no result is lost, doubled or crossed", func() {
	// An encoder answers a request under another attempt's id, as a late answer
	// of an abandoned attempt would. The caller sees its own answer: the
	// foreign one is dropped and the stage, which is idempotent, runs again.
	ginkgo.It("drops an answer that belongs to another attempt", func() {
		wld := newWorld(1, "")
		for _, ept := range wld.pools["encoders"] {
			ept.SetFaults(stand.Faults{WrongAttempt: 1})
		}
		ans := wld.call(0, "planning", wire.Submit{Input: "mine", MaxTokens: 3})
		expect(ans.Outcome).To(equal("done"), ans.Detail)
		expect(ans.Output).To(equal(generated("mine", 3)))
		expect(ans.Stages[0].Attempts).To(gomega.BeNumerically(">", 1))
	})

	// The booking service answers under another attempt's id. The booking may
	// have run, so that it must not run again: the caller is told "unknown",
	// and so is every repeat.
	ginkgo.It("never repeats a booking whose answer was foreign", func() {
		wld := newWorld(2, "")
		wld.pools["booking"][0].SetFaults(stand.Faults{WrongAttempt: 1})
		ans := wld.call(0, "booking", book("w1"))
		expect(ans.Outcome).To(equal("unknown"))
		expect(ans.Reason).To(equal("wrong_attempt"))
		again := wld.call(1, "booking", book("w1"))
		expect(again.Outcome).To(equal("unknown"))
		expect(wld.ran(workspace, "w1")).To(equal(1))
	})

	// A hundred callers ask at once while encoders cut connections, lose
	// replies and answer under foreign ids. Each caller gets the answer to its
	// own input or an honest failure, never another's.
	ginkgo.It("never hands an answer to another request", func() {
		wld := newWorld(2, "")
		for _, ept := range wld.pools["encoders"] {
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
				ans := wld.call(i%2, "planning", wire.Submit{Input: input, MaxTokens: 2})
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

	// Two workspaces name their bookings alike. Each runs once and each gets
	// its own answer; a third body under a used key is refused and does not run.
	ginkgo.It("keeps two workspaces with one key apart", func() {
		wld := newWorld(1, "")
		text := wld.read("booking") + "\n[[workspace]]\nname = \"downs-civil\"\n"
		wld.publish(0, "booking", text)
		mine, theirs := book("k"), book("k")
		theirs.Input = "their possession"
		expect(wld.call(0, "booking", mine).Output).To(equal("confirm(possession k)"))
		expect(wld.callAs("downs-civil", 0, "booking", theirs).Output).To(equal("confirm(their possession)"))
		other := book("k")
		other.Input = "something else"
		ans := wld.call(0, "booking", other)
		expect(ans.Outcome + " " + ans.Reason).To(equal("not_run key_conflict"))
		expect(wld.ran(workspace, "k")).To(equal(1))
		expect(wld.ran("downs-civil", "k")).To(equal(1))
	})
})

var _ = ginkgo.Describe("a caller receives its whole answer", func() {
	stream := func(wld *world, seeds []string, tokens int, each func(int)) (wire.Answer, string) {
		text := ""
		n := 0
		cli := caller.New(seeds, workspace, "", "dc1")
		ctx, cancel := context.WithTimeout(wld.ctx, 20*time.Second)
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

	// The engine's stream is cut after each possible number of tokens, twice
	// in a row. The caller sees every token once and in order.
	ginkgo.It("goes on after a cut at every token boundary", func() {
		wld := newWorld(1, "")
		const tokens = 6
		for after := range tokens + 1 {
			for _, ept := range wld.pools["planners"] {
				ept.SetFaults(stand.Faults{CutAfter: after, CutStreams: 1})
			}
			ans, text := stream(wld, []string{wld.nodes[0].CallerAddr()}, tokens, nil)
			expect(ans.Outcome).To(equal("done"), "cut after %d: %s", after, ans.Detail)
			expect(text).To(equal(generated("plan", tokens)), "cut after %d", after)
		}
	})

	// The engine dies in the middle of a stream: its connections break and
	// nothing listens there any more. Another engine goes on at the next index.
	ginkgo.It("goes on at another engine when one dies", func() {
		wld := newWorld(1, "")
		var once sync.Once
		ans, text := stream(wld, []string{wld.nodes[0].CallerAddr()}, 40, func(n int) {
			if n == 5 {
				once.Do(func() {
					for i, ept := range wld.pools["planners"] {
						if len(ept.Executions()) > 0 {
							wld.servers[wld.pools["planners"][i].ID()].Close()
							break
						}
					}
				})
			}
		})
		expect(ans.Outcome).To(equal("done"), ans.Detail)
		expect(text).To(equal(generated("plan", 40)))
	})

	// The instance that streams is killed. The caller's connection ends without
	// the closing event, so that it knows the answer is not whole; it goes on
	// at another instance with its token and the texts it has.
	ginkgo.It("is taken up at another instance when the first is killed", func() {
		wld := newWorld(2, "")
		var once sync.Once
		ans, text := stream(wld, []string{wld.nodes[0].CallerAddr(), wld.nodes[1].CallerAddr()}, 40, func(n int) {
			if n != 5 {
				return
			}
			once.Do(func() {
				for _, nod := range wld.nodes {
					if nod.busy() {
						go nod.Kill()
						break
					}
				}
			})
		})
		expect(ans.Outcome).To(equal("done"), ans.Detail)
		expect(text).To(equal(generated("plan", 40)))
	})

	// A workspace sends another's token, or one it made up, or its own for
	// another input. It gets nothing of the stream, and nothing runs.
	ginkgo.It("gives a guessed or foreign token nothing", func() {
		wld := newWorld(1, "")
		wld.publish(0, "planning", wld.read("planning")+"\n[[workspace]]\nname = \"downs-civil\"\n")
		nod := wld.nodes[0]
		tkn := ""
		cli := caller.New([]string{nod.CallerAddr()}, workspace, "", "")
		cli.OnOpen = func(opn wire.Open) { tkn = opn.Resume }
		ans := cli.Call(wld.ctx, "planning", wire.Submit{Input: "secret", Stream: true, MaxTokens: 2}, nil)
		expect(ans.Outcome).To(equal("done"))
		before := wld.executions()
		for _, sub := range []wire.Submit{
			{Input: "secret", MaxTokens: 2, Resume: &wire.Resume{Token: tkn}},
			{Input: "secret", MaxTokens: 2, Resume: &wire.Resume{Token: "AAAA" + tkn[4:]}},
			{Input: "other", MaxTokens: 2, Resume: &wire.Resume{Token: tkn}},
		} {
			ans := wld.callAs("downs-civil", 0, "planning", sub)
			expect(ans.Outcome + " " + ans.Reason).To(equal("not_run bad_resume"))
		}
		expect(wld.executions()).To(equal(before))
	})
})

// busy tells whether requests are under way at the instance.
func (nod *Node) busy() bool {
	for _, ept := range nod.ctl.Status(context.Background()).Endpoints {
		if ept.InFlight > 0 {
			return true
		}
	}
	return false
}
