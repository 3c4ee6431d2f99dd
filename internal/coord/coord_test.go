package coord

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
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
)

// starting returns the [Coordinator] of an instance that has just started, its timers, which the
// test fires, and the calls that its batcher makes.
func starting() (*Coordinator, chan func(), chan []proto.Item) {
	calls, timers := make(chan []proto.Item, 9), make(chan func(), 9)
	dia := &proto.Dialect{RunBatch: func(_ context.Context, _ *http.Client, _ proto.Endpoint, items []proto.Item) ([]proto.ItemResult, proto.ReplyMeta, error) {
		calls <- items
		return []proto.ItemResult{{Handle: "h"}}, proto.ReplyMeta{}, nil
	}}
	btr := batch.New(batch.Setup{Dialect: dia, Meter: meter.New(), Log: zerolog.Nop(), Reserve: 10, Window: 10 * clock.Second})
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "encode", Batch: &plan.DraftBatch{Slots: 1, MaxItems: 9, BatchMs: 20}}}})
	btr.Sync(pln, []proto.Endpoint{{ID: "e1", Pool: "encode", Addr: "a:1"}}, nil, nil)
	self := ident.NewIncarnation("127.0.0.1:1")
	crd := New(Setup{
		Control: state.New(state.Setup{Self: self, Meter: meter.New(), Log: zerolog.Nop()}), Batcher: btr, Link: &peer.Link{},
		Log: zerolog.Nop(), After: func(_ clock.Milli, work func()) { timers <- work },
	})
	return crd, timers, calls
}

// TestOrdersWaitForMembership: all instances have restarted, and requests arrive before the
// instances know each other. An order waits until this instance has had the time to learn the
// coordinator. Otherwise each instance would send its items to the endpoints in small batches of
// its own and fill their queues.
func TestOrdersWaitForMembership(t *testing.T) {
	gom := gomega.NewWithT(t)
	crd, timers, calls := starting()
	ends := make(chan batch.OrderResult, 1)
	go func() {
		orr, _ := crd.Fill(context.Background(), batch.Order{Pool: "encode", Request: "r", Count: 1, Key: "k"}, func() (due, until clock.Milli) {
			return 5 * clock.Second, 9 * clock.Second
		})
		ends <- orr
	}()
	join := <-timers
	gom.Consistently(calls, 60*time.Millisecond).ShouldNot(gomega.Receive())
	join()
	gom.Eventually(ends, 5*time.Second).Should(gomega.Receive(gomega.HaveField("Results", gomega.HaveLen(1))))
}

// TestCallerLeavesBeforeMembership checks that Fill returns when the caller disconnects while it
// waits for the membership.
func TestCallerLeavesBeforeMembership(t *testing.T) {
	crd, _, _ := starting()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	orr, _ := crd.Fill(ctx, batch.Order{Pool: "encode", Count: 1}, nil)
	gomega.NewWithT(t).Expect(orr.Results).To(gomega.BeEmpty())
}

// Guards against queries of prompt caches that reach engines in an evacuated data centre.
func TestCachesOfEvacuatedEnginesAreNotQueried(t *testing.T) {
	gom := gomega.NewWithT(t)
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "models", Engine: &plan.DraftEngine{Slots: 8}}}})
	vw := state.ViewOf(pln, proto.Endpoint{ID: "e1", Pool: "models", Zone: "z1"}, proto.Endpoint{ID: "e2", Pool: "models", Zone: "z2"}).WithEvacuated("z1")
	queried := make(chan ident.Process, 9)
	crd := New(Setup{
		Control: state.New(state.Setup{Self: ident.NewIncarnation("127.0.0.1:1"), Meter: meter.New(), Log: zerolog.Nop()}), Pools: pools.New(pools.Setup{}), Link: &peer.Link{}, Log: zerolog.Nop(),
		CachedParts: func(_ context.Context, ep proto.Endpoint) ([]place.Part, error) {
			queried <- ep.ID
			return nil, nil
		},
	})
	crd.queryCaches(vw, "models")
	gom.Expect(queried).To(gomega.HaveLen(1))
	gom.Expect(queried).To(gomega.Receive(gomega.BeEquivalentTo("e2")))
}

// TestNewCoordinatorQueriesCaches: the instance that placed prompts has died, and this one takes
// over. It queries the cache of each engine once, though one of them doesn't answer, and places the
// next prompt about a document at the engine that has prefilled the document.
func TestNewCoordinatorQueriesCaches(t *testing.T) {
	gom := gomega.NewWithT(t)
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "models", Engine: &plan.DraftEngine{Slots: 8}}}})
	var eps []proto.Endpoint
	for i := range 6 {
		eps = append(eps, proto.Endpoint{ID: ident.Process(fmt.Sprint("e", i)), Pool: "models", Addr: "a"})
	}
	vw := state.ViewOf(pln, eps...)
	pls := pools.New(pools.Setup{})
	pls.Sync(vw)
	prm := place.Prompt{Parts: []place.Part{{ID: "doc", Tokens: 4000}, {ID: "own", Tokens: 9}}, InTokens: 4009, MaxOutTokens: 10}
	queried := make(chan ident.Process, 99)
	crd := New(Setup{
		Control: state.New(state.Setup{Self: ident.NewIncarnation("127.0.0.1:1"), Meter: meter.New(), Log: zerolog.Nop()}), Pools: pls, Link: &peer.Link{}, Log: zerolog.Nop(),
		CachedParts: func(_ context.Context, ep proto.Endpoint) ([]place.Part, error) {
			defer func() { queried <- ep.ID }()
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
	gom.Eventually(crd.hasJoined, 5*time.Second).Should(gomega.BeTrue())
	for range 3 {
		crd.promptCoordinator(vw, "models")
	}
	gom.Eventually(func() int { return len(queried) }, 5*time.Second).Should(gomega.Equal(6))
	gom.Eventually(func() string {
		plc, _ := crd.Place(context.Background(), vw, "models", "r/0", place.Ask{Prompt: prm})
		return string(plc.ID)
	}, 5*time.Second).Should(gomega.Equal("e4"))
	gom.Expect(queried).To(gomega.HaveLen(6))
}
