package homes

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// started is the homes of an instance that has just started, whose timers run when they
// are told to, and the calls that its desk makes.
func started() (*Homes, chan func(), chan []talk.Item) {
	calls, timers := make(chan []talk.Item, 9), make(chan func(), 9)
	dia := &talk.Dialect{Run: func(_ context.Context, _ *http.Client, _ talk.Endpoint, items []talk.Item) ([]talk.Made, talk.Reply, error) {
		calls <- items
		return []talk.Made{{Handle: "h"}}, talk.Reply{}, nil
	}}
	desk := batch.New(batch.Setup{Dialect: dia, Meter: meter.New(), Log: zerolog.Nop(), Reserve: 10, Window: 10 * clock.Second})
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "encode", Batch: &plan.DraftBatch{Places: 1, Most: 9, Call: 20}}}})
	desk.Sync(pln, []talk.Endpoint{{ID: "e1", Pool: "encode", Addr: "a:1"}})
	self := ident.NewIncarnation("127.0.0.1:1")
	hms := New(Setup{
		Control: state.New(state.Setup{Self: self, Meter: meter.New(), Log: zerolog.Nop()}), Desk: desk, Link: &peer.Link{},
		Log: zerolog.Nop(), After: func(_ clock.Milli, work func()) { timers <- work },
	})
	return hms, timers, calls
}

// TestNothingIsMadeBeforeTheOthersAreKnown: all instances have started anew, and callers
// come before the instances know of each other. A request waits until this one has had the
// time to learn who gathers. Made at once, the pieces of each instance would go to the
// endpoints by themselves and fill their queues.
func TestNothingIsMadeBeforeTheOthersAreKnown(t *testing.T) {
	gom := gomega.NewWithT(t)
	hms, timers, calls := started()
	ends := make(chan batch.Filled, 1)
	go func() {
		fld, _ := hms.Fill(context.Background(), batch.Order{Pool: "encode", Request: "r", Count: 1, Key: "k"}, func() (due, until clock.Milli) {
			return 5 * clock.Second, 9 * clock.Second
		})
		ends <- fld
	}()
	join := <-timers
	gom.Consistently(calls, 60*time.Millisecond).ShouldNot(gomega.Receive())
	join()
	gom.Eventually(ends, 5*time.Second).Should(gomega.Receive(gomega.HaveField("Results", gomega.HaveLen(1))))
}

// TestCallerLeavesBeforeTheOthersAreKnown: a caller that leaves meanwhile is not held.
func TestCallerLeavesBeforeTheOthersAreKnown(t *testing.T) {
	hms, _, _ := started()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	fld, _ := hms.Fill(ctx, batch.Order{Pool: "encode", Count: 1}, nil)
	gomega.NewWithT(t).Expect(fld.Results).To(gomega.BeEmpty())
}
