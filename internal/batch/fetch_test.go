package batch

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/plan"
)

// fixture is a batcher with one pool of one endpoint whose answers are scripted.
type fixture struct {
	btr *Batcher
	// calls receives the calls that the endpoint gets, errs supplies their errors, and failure is
	// the failure reported for each item.
	calls   chan []proto.Item
	errs    chan error
	failure atomic.Int64
	// released receives the sets of results that are released.
	released chan ResultSet
}

func newFixture(most int) *fixture { return newFixtureWith(most, nil) }

// newFixtureWith uses the given timers.
func newFixtureWith(most int, after func(clock.Milli, func())) *fixture {
	fxt := &fixture{calls: make(chan []proto.Item, 9), errs: make(chan error, 9), released: make(chan ResultSet, 9)}
	dia := &proto.Dialect{
		RunBatch: func(_ context.Context, _ *http.Client, _ proto.Endpoint, items []proto.Item) ([]proto.ItemResult, proto.ReplyMeta, error) {
			fxt.calls <- items
			err := <-fxt.errs
			made := make([]proto.ItemResult, len(items))
			for i := range made {
				if made[i].Failure = proto.Failure(fxt.failure.Load()); made[i].Failure == proto.NoFailure {
					made[i].Handle = items[i].Request
				}
			}
			return made, proto.ReplyMeta{}, err
		},
		Free: func(context.Context, *http.Client, string, []string) error { return nil },
	}
	fxt.btr = New(Setup{
		Dialect: dia, After: after, Meter: meter.New(), Log: zerolog.Nop(), Share: 0.1, Reserve: 10, Window: 10 * clock.Second,
		OnInputsFetched: func(sets []ResultSet) {
			for _, set := range sets {
				fxt.released <- set
			}
		},
	})
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{
		Name: "ranks", Batch: &plan.DraftBatch{Slots: 1, MaxItems: most, BatchMs: 1000, ItemMs: 1, LinkMbps: 1000},
	}}})
	fxt.btr.Sync(pln, []proto.Endpoint{{ID: "rank-1", Pool: "ranks", Addr: "a:1"}}, nil, nil)
	return fxt
}

// order places an order of two items that share one set of inputs.
func (fxt *fixture) order() chan OrderResult {
	out := make(chan OrderResult, 1)
	set := ResultSet{Coordinator: "here:1", Release: ReleaseRequest{Pool: "notes", Results: []Handle{{Name: "note-1"}}}}
	go func() {
		out <- fxt.btr.Fill(context.Background(), Order{
			Pool: "ranks", Request: "r1", Stage: 1, Count: 2, Inputs: []string{"note-1"}, InputBytes: 1000,
			LastInputs: []ResultSet{set}, Due: 20 * clock.Second, Expires: 30 * clock.Second,
		})
	}()
	return out
}

const soon = 5 * time.Second

// TestInputsAreReleasedOnceFetched guards against holding inputs until the end of a call: they are
// released while the endpoint, which fetched them at the beginning, still works. Held to the end
// they took the storage for the next requests' inputs, and the pool that makes these was idle.
func TestInputsAreReleasedOnceFetched(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	filled := fxt.order()
	gom.Eventually(fxt.calls, soon).Should(gomega.Receive(gomega.HaveLen(2)))
	gom.Eventually(fxt.released, soon).Should(gomega.Receive(gomega.HaveField("Coordinator", "here:1")))
	gom.Expect(filled).To(gomega.BeEmpty(), "the call has not ended")
	fxt.errs <- nil
	var orr OrderResult
	gom.Eventually(filled, soon).Should(gomega.Receive(&orr))
	gom.Expect(orr.InputsReleased).To(gomega.BeTrue())
	gom.Expect(orr.Results).To(gomega.HaveLen(2))
}

// TestInputsAreHeldForOtherBatches checks that the inputs of a job whose two items go into two
// successive batches are held until the second batch has fetched them too.
func TestInputsAreHeldForOtherBatches(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(1)
	filled := fxt.order()
	gom.Eventually(fxt.calls, soon).Should(gomega.Receive())
	gom.Consistently(fxt.released, 4*minFetchTime.Duration()).ShouldNot(gomega.Receive())
	fxt.errs <- nil
	gom.Eventually(fxt.calls, soon).Should(gomega.Receive())
	gom.Eventually(fxt.released, soon).Should(gomega.Receive())
	fxt.errs <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Failure", proto.NoFailure)))
}

// TestFailureAfterFetchIsNotRetried checks that a call which fails after its inputs were released
// is not retried: a retry would take the time of a call and find no inputs. The caller gets
// InputLost and has the inputs recomputed.
func TestFailureAfterFetchIsNotRetried(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	filled := fxt.order()
	gom.Eventually(fxt.released, soon).Should(gomega.Receive())
	fxt.errs <- errors.New("the endpoint died")
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.And(
		gomega.HaveField("Failure", proto.InputLost), gomega.HaveField("InputsReleased", true))))
	gom.Expect(fxt.calls).To(gomega.HaveLen(1))
}

// TestInputsAreHeldWhileCoordinatorsOverlap covers two instances that coordinate the pool at the
// same time: the other one's call is processed first, and our call finds its inputs released. For a
// while inputs are then held to the end of each call, because each lost input costs the time of two
// stages.
func TestInputsAreHeldWhileCoordinatorsOverlap(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	fxt.failure.Store(int64(proto.InputLost))
	filled := fxt.order()
	gom.Eventually(fxt.released, soon).Should(gomega.Receive())
	fxt.errs <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Failure", proto.InputLost)))

	fxt.failure.Store(int64(proto.NoFailure))
	filled = fxt.order()
	gom.Consistently(fxt.released, 4*minFetchTime.Duration()).ShouldNot(gomega.Receive())
	fxt.errs <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("InputsReleased", false)))
}

// TestFailureBeforeFetchIsRetried checks that the items of a call which fails while its inputs are
// still held are made by another call.
func TestFailureBeforeFetchIsRetried(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	fxt.errs <- errors.New("the connection was refused")
	filled := fxt.order()
	gom.Eventually(fxt.calls, soon).Should(gomega.Receive())
	gom.Eventually(fxt.calls, soon).Should(gomega.Receive())
	fxt.errs <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Failure", proto.NoFailure)))
}

// TestRecomputationIsBounded checks that items whose results were lost are recomputed only within
// the pool's retry budget, since all requests that lost some ask at the same time.
func TestRecomputationIsBounded(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	ask := Order{Pool: "ranks", Request: "r1", Count: 3, Recompute: true, Due: 20 * clock.Second, Expires: 30 * clock.Second}
	for range 4 {
		fxt.errs <- nil
	}
	gom.Expect(fxt.btr.Fill(context.Background(), ask).Failure).To(gomega.Equal(proto.NoFailure))
	gom.Expect(fxt.btr.Fill(context.Background(), ask).Failure).To(gomega.Equal(proto.InputLost))
}

// Guards against a busy pool that refuses requests because a few of its many results were lost.
func TestRecomputationBudgetGrowsWithOrders(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	ask := Order{Pool: "ranks", Request: "r1", Count: 2, Due: 20 * clock.Second, Expires: 30 * clock.Second}
	order := func() proto.Failure {
		fxt.errs <- nil
		orr := fxt.btr.Fill(context.Background(), ask)
		gom.Expect(fxt.calls).To(gomega.Receive())
		return orr.Failure
	}
	for range 60 {
		gom.Expect(order()).To(gomega.Equal(proto.NoFailure))
	}
	// Two recomputations out of the share, and two out of the part of the reserve that may be used
	// in one burst.
	ask.Recompute = true
	for range 4 {
		gom.Expect(order()).To(gomega.Equal(proto.NoFailure))
	}
	fxt.errs <- nil
	gom.Expect(fxt.btr.Fill(context.Background(), ask).Failure).To(gomega.Equal(proto.InputLost), "recomputation stays bounded")
}
