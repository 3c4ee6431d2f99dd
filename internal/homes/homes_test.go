package homes

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/state"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
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
	desk.Sync(pln, []talk.Endpoint{{ID: "e1", Pool: "encode", Addr: "a:1"}}, nil)
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

// TestLearnsWhatEnginesHold: the instance that placed prompts has died, and this one places
// them now. It asks each engine once what it holds, though one of them doesn't answer, and places
// the next question about a document where the document was read.
func TestLearnsWhatEnginesHold(t *testing.T) {
	gom := gomega.NewWithT(t)
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "models", Engine: &plan.DraftEngine{Places: 8}}}})
	var eps []talk.Endpoint
	for i := range 6 {
		eps = append(eps, talk.Endpoint{ID: ident.Process(fmt.Sprint("e", i)), Pool: "models", Addr: "a"})
	}
	vw := state.ViewOf(pln, eps...)
	pls := pools.New(pools.Setup{})
	pls.Sync(vw)
	prm := place.Prompt{Parts: []place.Part{{ID: "doc", Tokens: 4000}, {ID: "own", Tokens: 9}}, In: 4009, Out: 10}
	asked := make(chan ident.Process, 99)
	hms := New(Setup{
		Control: state.New(state.Setup{Self: ident.NewIncarnation("127.0.0.1:1"), Meter: meter.New(), Log: zerolog.Nop()}), Pools: pls, Link: &peer.Link{}, Log: zerolog.Nop(),
		Held: func(_ context.Context, ep talk.Endpoint) ([]place.Part, error) {
			defer func() { asked <- ep.ID }()
			switch ep.ID {
			case "e1":
				return nil, context.DeadlineExceeded
			case "e4":
				return prm.Parts[:1], nil
			}
			return nil, nil
		},
		After: func(_ clock.Milli, work func()) { go work() },
	})
	gom.Eventually(hms.hasJoined, 5*time.Second).Should(gomega.BeTrue())
	for range 3 {
		hms.placer(vw, "models")
	}
	gom.Eventually(func() int { return len(asked) }, 5*time.Second).Should(gomega.Equal(6))
	gom.Eventually(func() string {
		seat, _ := hms.Place(context.Background(), vw, "models", "r/0", place.Ask{Prompt: prm})
		return string(seat.ID)
	}, 5*time.Second).Should(gomega.Equal("e4"))
	gom.Expect(asked).To(gomega.HaveLen(6))
}
