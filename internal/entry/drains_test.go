package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
)

var _ = ginkgo.Describe("leaving and stopping", func() {
	// An encoder states in its answers and in its load reports that it is leaving,
	// while the instance list is unavailable. After a few seconds neither instance
	// sends it new requests.
	ginkgo.It("a leaving endpoint receives no new requests, although the instance list is unavailable", func() {
		tbd := newTestbed(2, "")
		tbd.plt.SetListFaults(stand.Faults{Outage: true})
		leaving := tbd.pools["encoders"][0]
		leaving.SetFaults(stand.Faults{Leave: true})
		left := time.Now()
		last := time.Now()
		before := len(leaving.Executions())
		for time.Since(left) < 4*time.Second {
			expect(tbd.call(int(time.Since(left)/time.Millisecond)%2, "planning", wire.Submit{Input: "x", MaxTokens: 1}).Outcome).To(equal("done"))
			if now := len(leaving.Executions()); now != before {
				before, last = now, time.Now()
			}
		}
		took := last.Sub(left)
		ginkgo.GinkgoWriter.Printf("last new work %v after the declaration\n", took)
		fmt.Printf("measured: leaving endpoint, list down: last new work after %v\n", took)
		expect(took).To(gomega.BeNumerically("<", 3*time.Second))
	})

	// An instance is shut down while a slow booking and a long stream are in flight
	// and callers still use their cached address. No request is interrupted; once
	// cached addresses have expired the instance refuses new requests, finishes those
	// in flight and exits.
	ginkgo.It("a planned shutdown interrupts no request", func() {
		tbd := newTestbed(2, "")
		tbd.pools["booking"][0].SetFaults(stand.Faults{SlowMs: 4000})
		var wgr sync.WaitGroup
		var slow, streamed wire.Answer
		text := ""
		wgr.Add(2)
		go func() {
			defer wgr.Done()
			slow = tbd.call(0, "booking", booking("slow"))
		}()
		go func() {
			defer wgr.Done()
			cli := caller.New([]string{tbd.nodes[0].CallerAddr()}, workspace, "", "")
			streamed = cli.CallAt(tbd.ctx, tbd.nodes[0].CallerAddr(), "planning", wire.Submit{Input: "long", Stream: true, MaxTokens: 900}, func(tok wire.Token) { text += tok.Text })
		}()
		until(3*time.Second, tbd.nodes[0].hasInFlight)
		var stopped atomic.Bool
		began := time.Now()
		go func() { tbd.nodes[0].Stop(context.Background()); stopped.Store(true) }()
		served := 0
		for time.Since(began) < 400*time.Millisecond {
			expect(tbd.call(0, "planning", wire.Submit{Input: "kept", MaxTokens: 1}).Outcome).To(equal("done"))
			served++
		}
		expect(served).To(gomega.BeNumerically(">", 3))
		until(2*time.Second, func() bool {
			ent, err := caller.New([]string{tbd.nodes[1].CallerAddr()}, workspace, "", "").Entries(tbd.ctx, "planning")
			return err == nil && len(ent.Entries) == 1 && ent.Entries[0].Addr == tbd.nodes[1].CallerAddr()
		})
		wgr.Wait()
		expect(slow.Outcome).To(equal("done"), slow.Reason)
		expect(streamed.Outcome).To(equal("done"), streamed.Reason)
		expect(text).To(equal(generated("long", 900)))
		until(5*time.Second, stopped.Load)
		expect(tbd.call(1, "booking", booking("slow")).Outcome).To(equal("done"))
		expect(tbd.ran(workspace, "slow")).To(equal(1))
	})
})
