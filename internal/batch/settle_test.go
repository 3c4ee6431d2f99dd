package batch

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// waitingNow gives how many pieces wait.
func (pol *pool) waitingNow() int {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.book.Waiting()
}

// TestOrdersOfAMomentGoTogether: a call of the stage before has ended, and the three
// requests that it served go on at once. Their orders come one after the other, from
// several instances. One call takes them all: called for as they came, the first went
// alone, and the others waited for another endpoint.
func TestOrdersOfAMomentGoTogether(t *testing.T) {
	gom := gomega.NewWithT(t)
	timers := make(chan func(), 9)
	bnc := newBenchWith(20, func(_ clock.Milli, work func()) { timers <- work })
	ends := make(chan Filled, 3)
	for i := range 3 {
		go func() {
			ends <- bnc.desk.Make(context.Background(), Order{
				Pool: "ranks", Request: fmt.Sprint(i), Count: 2, Key: "k", Due: 20 * clock.Second, Until: 30 * clock.Second,
			})
		}()
	}
	gom.Eventually(bnc.desk.pool("ranks").waitingNow, soon).Should(gomega.Equal(6))
	gom.Expect(bnc.begun).To(gomega.BeEmpty())
	(<-timers)()
	gom.Eventually(bnc.begun, soon).Should(gomega.Receive(gomega.HaveLen(6)))
	bnc.ends <- nil
	for range 3 {
		gom.Eventually(ends, soon).Should(gomega.Receive())
	}
}
