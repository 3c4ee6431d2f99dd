package entry

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/claim"
	"amaranthvalve/pkg/clock"
)

// ticketBooking is a booking under a ticket and the address of the ticket's instance.
type ticketBooking struct {
	sub  wire.Submit
	addr string
}

func (tbd *testbed) ticket(node int, input string) ticketBooking {
	boot := tbd.nodes[node].ctl.Self().Boot()
	sub := booking(claim.TicketKey(boot))
	sub.Input, sub.First = input, true
	sub.ExpiresMs = clock.Clock{}.Now() + clock.Minute
	return ticketBooking{sub: sub, addr: tbd.nodes[node].CallerAddr()}
}

func (tbd *testbed) send(tck ticketBooking, addr string) wire.Answer {
	return caller.New([]string{addr}, workspace, "", "").CallAt(tbd.ctx, addr, "booking", tck.sub, nil)
}

var _ = ginkgo.Describe("tickets during an outage of the log", func() {
	// The log is out. A booking under a ticket runs once, at the ticket's instance.
	// Repeats there receive the recorded answer; another instance runs nothing. After
	// the outage the other instance has the answer too, even once the first is killed.
	ginkgo.It("run once, at their instance only, and are known after the outage", func() {
		tbd := newTestbed(2, "")
		tbd.plt.SetFaults(stand.Faults{Outage: true})
		tck := tbd.ticket(0, "in the outage")
		ans := tbd.send(tck, tck.addr)
		expect(ans.Outcome).To(equal("done"), ans.Detail)
		tck.sub.First = false
		expect(tbd.send(tck, tck.addr).Reason).To(equal("recorded"))
		other := tbd.send(tck, tbd.nodes[1].CallerAddr())
		expect(other.Outcome + " " + other.Reason).To(equal("unknown ticket_elsewhere"))
		conflict := tck
		conflict.sub.Input = "something else"
		expect(tbd.send(conflict, tck.addr).Reason).To(equal("key_conflict"))
		expect(tbd.ran(workspace, tck.sub.Key)).To(equal(1))

		tbd.plt.SetFaults(stand.Faults{})
		until(8*time.Second, func() bool { return tbd.send(tck, tbd.nodes[1].CallerAddr()).Outcome == "done" })
		tbd.nodes[0].Kill()
		expect(tbd.send(tck, tbd.nodes[1].CallerAddr()).Output).To(equal("confirm(in the outage)"))
		expect(tbd.ran(workspace, tck.sub.Key)).To(equal(1))
	})

	// The ticket's instance is killed during the outage. Its tickets stay unknown: no
	// other instance runs them. The maximum log age of 20 s lets the other instance
	// declare the killed one dead before its own view is stale; with the default of
	// 5 s the two times are half a second apart.
	ginkgo.It("are unknown when their instance has crashed", func() {
		tbd := newTestbed(2, "fresh_ms = 20000")
		tbd.plt.SetFaults(stand.Faults{Outage: true})
		tck := tbd.ticket(0, "lost")
		expect(tbd.send(tck, tck.addr).Outcome).To(equal("done"))
		tbd.nodes[0].Kill()
		until(10*time.Second, func() bool { return tbd.send(tck, tbd.nodes[1].CallerAddr()).Reason == "key_holder_gone" })
		expect(tbd.ran(workspace, tck.sub.Key)).To(equal(1))
	})

	// Compares bookings under keys and under tickets in an outage of the log. One of
	// three instances is killed half way and its callers move to another one. It
	// prints the outcomes of the bookings; no ticket's booking may run twice.
	ginkgo.It("complete bookings that are refused under keys", func() {
		tbd := newTestbed(3, "")
		tbd.plt.SetFaults(stand.Faults{Outage: true})
		until(6*time.Second, func() bool {
			return tbd.call(0, "booking", firstBooking(fmt.Sprint(time.Now().UnixNano()))).Reason == "log_unavailable"
		})
		keys, tickets := map[string]int{}, map[string]int{}
		for i := range 120 {
			node := i % 3
			if i == 60 {
				tbd.nodes[2].Kill()
			}
			if i >= 60 && node == 2 {
				node = 0
			}
			keys[tbd.call(node, "booking", firstBooking(fmt.Sprintf("outage-%d", i))).Outcome]++
			tck := tbd.ticket(node, fmt.Sprintf("booking %d", i))
			tickets[tbd.send(tck, tck.addr).Outcome]++
		}
		for _, exc := range tbd.pools["booking"][0].Executions() {
			expect(tbd.ran(workspace, exc.RequestID[len(workspace+"/booking/"):])).To(equal(1))
		}
		fmt.Printf("measured: 120 bookings in an outage, under keys %v, under tickets %v\n", keys, tickets)
		expect(keys["done"]).To(equal(0))
		expect(tickets["done"]).To(gomega.BeNumerically(">=", 118))
	})
})
