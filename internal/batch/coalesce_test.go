package batch

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// numWaiting returns the number of waiting items.
func (pol *pool) numWaiting() int {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.sched.Waiting()
}

// TestConcurrentOrdersAreCoalesced checks that the orders of three requests, which were served by
// one batch of the previous stage and arrive one after the other from several instances, share one
// batch. Without coalesceDelay the first order got a batch of its own, and the others waited for
// another endpoint.
func TestConcurrentOrdersAreCoalesced(t *testing.T) {
	gom := gomega.NewWithT(t)
	timers := make(chan func(), 9)
	fxt := newFixtureWith(20, func(_ clock.Milli, work func()) { timers <- work })
	ends := make(chan OrderResult, 3)
	for i := range 3 {
		go func() {
			ends <- fxt.btr.Fill(context.Background(), Order{
				Pool: "ranks", Request: fmt.Sprint(i), Count: 2, Key: "k", Due: 20 * clock.Second, Expires: 30 * clock.Second,
			})
		}()
	}
	gom.Eventually(fxt.btr.pool("ranks").numWaiting, soon).Should(gomega.Equal(6))
	gom.Expect(fxt.calls).To(gomega.BeEmpty())
	(<-timers)()
	gom.Eventually(fxt.calls, soon).Should(gomega.Receive(gomega.HaveLen(6)))
	fxt.errs <- nil
	for range 3 {
		gom.Eventually(ends, soon).Should(gomega.Receive())
	}
}
