package proc

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
)

var _ = ginkgo.Describe("frozen and killed processes", func() {
	// An instance is frozen while a document changes. amv reports the new one as in
	// force once the frozen instance cannot use the old one any more. After the thaw
	// the instance refuses requests or applies the new document, never the old one.
	ginkgo.It("a frozen instance does not apply its old documents after the thaw", func() {
		cls := newCluster(3, "fresh_ms = 2000")
		victim := cls.instances[2]
		gomega.Expect(cls.call(victim, "planning", wire.Submit{Request: "draft", Input: "x", MaxTokens: 1}).Outcome).To(gomega.Equal("done"))
		victim.Freeze()
		out, errs, status := cls.RunAmv("doc", "publish", writeDoc(cls.dir, "planning", `name = "draft"`, `name = "sketch"`), "--node", cls.instances[0].OpsAddr())
		gomega.Expect(status).To(gomega.Equal(0), out+errs)
		answers := make(chan wire.Answer, 20)
		for range cap(answers) {
			// These requests wait in the socket buffers of the frozen process.
			go func() {
				answers <- cls.call(victim, "planning", wire.Submit{Request: "draft", Input: "x", MaxTokens: 1})
			}()
		}
		gomega.Expect(WaitFor(5*time.Second, func() bool { return unreadConns(victim.Addr()) == cap(answers) })).To(gomega.BeTrue())
		victim.Thaw()
		for range cap(answers) {
			ans := <-answers
			gomega.Expect(ans.Outcome).To(gomega.Equal("not_run"), ans.Reason)
			gomega.Expect(ans.Reason).To(gomega.Or(gomega.Equal("stale_view"), gomega.Equal("unknown_request_kind")))
		}
		gomega.Expect(WaitFor(10*time.Second, func() bool {
			return cls.call(victim, "planning", wire.Submit{Request: "sketch", Input: "x", MaxTokens: 1}).Outcome == "done"
		})).To(gomega.BeTrue())
	})

	// An engine is frozen in the middle of a stream: its connection stays open
	// without data. The stream resumes at another engine, and the caller gets each
	// token once.
	ginkgo.It("the stream of a frozen engine resumes at another engine", func() {
		cls := newCluster(1)
		text, n := "", 0
		cli := caller.New([]string{cls.instances[0].Addr()}, workspace, "", "")
		var frozen *Process
		ans := cli.Call(context.Background(), "planning", wire.Submit{Input: "plan", Stream: true, MaxTokens: 60}, func(tok wire.Token) {
			text += tok.Text
			if n++; n == 5 {
				for _, eng := range cls.engines {
					if list, err := cls.Executions(eng); err == nil && frozen == nil && isStreaming(list) {
						frozen = eng
						eng.Freeze()
					}
				}
			}
		})
		gomega.Expect(frozen).NotTo(gomega.BeNil())
		gomega.Expect(ans.Outcome).To(gomega.Equal("done"), ans.Detail)
		want := ""
		for i := range 60 {
			want += stand.TokenAt("rerank(retrieve(encode(plan)))", i)
		}
		gomega.Expect(text).To(gomega.Equal(want))
	})

	// An instance is killed with a booking in flight. A retry at another instance is
	// answered unknown, at once or when the killed instance has been declared dead,
	// and the booking runs at most once.
	ginkgo.It("a booking of a killed instance never runs again", func() {
		cls := newCluster(2)
		gomega.Expect(cls.SetFaults(cls.booking, "/v1/faults", stand.Faults{SlowMs: 1000})).To(gomega.Succeed())
		go cls.call(cls.instances[0], "booking", book("killed"))
		gomega.Expect(WaitFor(3*time.Second, func() bool {
			st, err := cls.Status(cls.instances[0])
			return err == nil && inFlight(st) > 0
		})).To(gomega.BeTrue())
		cls.instances[0].Kill()
		killed := time.Now()
		gomega.Expect(cls.SetFaults(cls.booking, "/v1/faults", stand.Faults{})).To(gomega.Succeed())
		ans := cls.call(cls.instances[1], "booking", book("killed"))
		fmt.Printf("measured: retry of a killed instance's booking answered %s after %v\n", ans.Outcome, time.Since(killed))
		gomega.Expect(ans.Outcome).To(gomega.Equal("unknown"))
		gomega.Expect(cls.executionsOf("killed")).To(gomega.BeNumerically("<=", 1))
	})

	// SIGTERM arrives with a booking of twelve seconds and a stream in flight.
	// go-zero's own signal handler would end the process after 5.5 s; here both get
	// complete answers, and the process then ends with status 0.
	ginkgo.It("SIGTERM does not cut off a request that takes more than ten seconds", func() {
		cls := newCluster(2)
		path := writeDoc(cls.dir, "booking", "deadline_ms = 5000", "deadline_ms = 30000")
		_, errs, status := cls.RunAmv("doc", "publish", path, "--node", cls.instances[0].OpsAddr())
		gomega.Expect(status).To(gomega.Equal(0), errs)
		gomega.Expect(cls.SetFaults(cls.booking, "/v1/faults", stand.Faults{SlowMs: 12000})).To(gomega.Succeed())
		booked := make(chan wire.Answer, 1)
		streamed := make(chan wire.Answer, 1)
		tokens := 0
		go func() { booked <- cls.call(cls.instances[0], "booking", book("long")) }()
		go func() {
			cli := caller.New([]string{cls.instances[0].Addr()}, workspace, "", "")
			streamed <- cli.CallAt(context.Background(), cls.instances[0].Addr(), "planning", wire.Submit{Input: "x", Stream: true, MaxTokens: 1500}, func(wire.Token) { tokens++ })
		}()
		gomega.Expect(WaitFor(3*time.Second, func() bool {
			st, err := cls.Status(cls.instances[0])
			return err == nil && inFlight(st) >= 2
		})).To(gomega.BeTrue())
		cls.instances[0].Terminate()
		start := time.Now()
		gomega.Expect((<-streamed).Outcome).To(gomega.Equal("done"))
		gomega.Expect(tokens).To(gomega.Equal(1500))
		gomega.Expect((<-booked).Outcome).To(gomega.Equal("done"))
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically(">", 10*time.Second))
		gomega.Eventually(cls.instances[0].Done(), 15*time.Second).Should(gomega.BeClosed())
		gomega.Expect(cls.instances[0].cmd.ProcessState.ExitCode()).To(gomega.Equal(0))
		gomega.Expect(cls.executionsOf("long")).To(gomega.Equal(1))
	})

	// The instance that holds the lease to send orders to engines is frozen until
	// the lease has expired. Another instance acquires it and orders another model.
	// After the thaw the old holder sends no order, since it checks its lease last
	// before each order.
	ginkgo.It("a frozen holder of the lease sends no orders after the thaw", func() {
		cls := newCluster(2, "fresh_ms = 2000")
		st, err := cls.Status(cls.instances[0])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(st.Leases).NotTo(gomega.BeEmpty())
		holder, other := cls.instances[0], cls.instances[1]
		if st.Leases[0].Holder != st.Instance {
			holder, other = other, holder
		}
		holder.Freeze()
		path := writeDoc(cls.dir, "planning", "planner-7b", "planner-9b")
		_, _, _ = cls.RunAmv("doc", "publish", path, "--node", other.OpsAddr(), "--wait", "1s")
		gomega.Expect(WaitFor(30*time.Second, func() bool { return cls.model(0) == "planner-9b" && cls.model(1) == "planner-9b" })).To(gomega.BeTrue())
		holder.Thaw()
		gomega.Consistently(func() string { return cls.model(0) }, 2*time.Second, 50*time.Millisecond).Should(gomega.Equal("planner-9b"))
		gomega.Expect(holder.Log()).NotTo(gomega.ContainSubstring("planner-9b"))
	})
})

// unreadConns counts the connections at an address that hold bytes which their process has not
// read.
func unreadConns(addr string) int {
	_, port, _ := net.SplitHostPort(addr)
	num, _ := strconv.Atoi(port)
	text, err := os.ReadFile("/proc/net/tcp")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	n := 0
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		_, queues, _ := strings.Cut(fields[4], ":")
		if strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", num)) && fields[3] == "01" && strings.Trim(queues, "0") != "" {
			n++
		}
	}
	return n
}

func (cls *cluster) model(i int) string {
	var rep wire.Load
	gomega.Expect(cls.get("http://"+cls.engines[i].Addr()+"/v1/load", &rep)).To(gomega.Succeed())
	return rep.Model
}

func isStreaming(list []stand.Execution) bool {
	return len(list) > 0 && list[len(list)-1].Tokens > 5
}

func inFlight(st wire.Status) int {
	sum := 0
	for _, ept := range st.Endpoints {
		sum += ept.InFlight
	}
	return sum
}
