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
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/plan"
)

// fixture is a batcher with one pool of one endpoint whose answers are scripted.
type fixture struct {
	btr *Desk
	// calls receives the calls that the endpoint gets, errs supplies their errors, and flaw is the
	// flaw reported for each item.
	calls chan []talk.Item
	errs  chan error
	flaw  atomic.Int64
	// released receives the lots that are released.
	released chan Lot
}

func newFixture(most int) *fixture { return newFixtureWith(most, nil) }

// newFixtureWith uses the given timers.
func newFixtureWith(most int, after func(clock.Milli, func())) *fixture {
	fxt := &fixture{calls: make(chan []talk.Item, 9), errs: make(chan error, 9), released: make(chan Lot, 9)}
	dia := &talk.Dialect{
		Run: func(_ context.Context, _ *http.Client, _ talk.Endpoint, items []talk.Item) ([]talk.Made, talk.Reply, error) {
			fxt.calls <- items
			err := <-fxt.errs
			made := make([]talk.Made, len(items))
			for i := range made {
				if made[i].Flaw = talk.Flaw(fxt.flaw.Load()); made[i].Flaw == talk.NoFlaw {
					made[i].Handle = items[i].Request
				}
			}
			return made, talk.Reply{}, err
		},
		Free: func(context.Context, *http.Client, string, []string) error { return nil },
	}
	fxt.btr = New(Setup{
		Dialect: dia, After: after, Meter: meter.New(), Log: zerolog.Nop(), Share: 0.1, Reserve: 10, Window: 10 * clock.Second,
		Fetched: func(lots []Lot) {
			for _, lot := range lots {
				fxt.released <- lot
			}
		},
	})
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{
		Name: "ranks", Batch: &plan.DraftBatch{Places: 1, Most: most, Call: 1000, Item: 1, Link: 1000},
	}}})
	fxt.btr.Sync(pln, []talk.Endpoint{{ID: "rank-1", Pool: "ranks", Addr: "a:1"}}, nil)
	return fxt
}

// order places an order of two items that share one lot of inputs.
func (fxt *fixture) order() chan Filled {
	out := make(chan Filled, 1)
	lot := Lot{Home: "here:1", Freed: Freed{Pool: "notes", Results: []Handle{{Name: "note-1"}}}}
	go func() {
		out <- fxt.btr.Make(context.Background(), Order{
			Pool: "ranks", Request: "r1", Stage: 1, Count: 2, Inputs: []string{"note-1"}, InputBytes: 1000,
			Last: []Lot{lot}, Due: 20 * clock.Second, Until: 30 * clock.Second,
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
	gom.Eventually(fxt.released, soon).Should(gomega.Receive(gomega.HaveField("Home", "here:1")))
	gom.Expect(filled).To(gomega.BeEmpty(), "the call has not ended")
	fxt.errs <- nil
	var orr Filled
	gom.Eventually(filled, soon).Should(gomega.Receive(&orr))
	gom.Expect(orr.Fetched).To(gomega.BeTrue())
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
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Flaw", talk.NoFlaw)))
}

// TestFailureAfterFetchIsNotRetried checks that a call which fails after its inputs were released
// is not retried: a retry would take the time of a call and find no inputs. The caller gets
// InputGone and has the inputs recomputed.
func TestFailureAfterFetchIsNotRetried(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	filled := fxt.order()
	gom.Eventually(fxt.released, soon).Should(gomega.Receive())
	fxt.errs <- errors.New("the endpoint died")
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.And(
		gomega.HaveField("Flaw", talk.InputGone), gomega.HaveField("Fetched", true))))
	gom.Expect(fxt.calls).To(gomega.HaveLen(1))
}

// TestInputsAreHeldWhileCoordinatorsOverlap covers two instances that coordinate the pool at the
// same time: the other one's call is processed first, and our call finds its inputs released. For a
// while inputs are then held to the end of each call, because each lost input costs the time of two
// stages.
func TestInputsAreHeldWhileCoordinatorsOverlap(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	fxt.flaw.Store(int64(talk.InputGone))
	filled := fxt.order()
	gom.Eventually(fxt.released, soon).Should(gomega.Receive())
	fxt.errs <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Flaw", talk.InputGone)))

	fxt.flaw.Store(int64(talk.NoFlaw))
	filled = fxt.order()
	gom.Consistently(fxt.released, 4*minFetchTime.Duration()).ShouldNot(gomega.Receive())
	fxt.errs <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Fetched", false)))
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
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Flaw", talk.NoFlaw)))
}

// TestRecomputationIsBounded checks that items whose results were lost are recomputed only within
// the pool's retry budget, since all requests that lost some ask at the same time.
func TestRecomputationIsBounded(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	ask := Order{Pool: "ranks", Request: "r1", Count: 3, Again: true, Due: 20 * clock.Second, Until: 30 * clock.Second}
	for range 4 {
		fxt.errs <- nil
	}
	gom.Expect(fxt.btr.Make(context.Background(), ask).Flaw).To(gomega.Equal(talk.NoFlaw))
	gom.Expect(fxt.btr.Make(context.Background(), ask).Flaw).To(gomega.Equal(talk.InputGone))
}

// Guards against a busy pool that refuses requests because a few of its many results were lost.
func TestRecomputationBudgetGrowsWithOrders(t *testing.T) {
	gom := gomega.NewWithT(t)
	fxt := newFixture(2)
	ask := Order{Pool: "ranks", Request: "r1", Count: 2, Due: 20 * clock.Second, Until: 30 * clock.Second}
	order := func() talk.Flaw {
		fxt.errs <- nil
		orr := fxt.btr.Make(context.Background(), ask)
		gom.Expect(fxt.calls).To(gomega.Receive())
		return orr.Flaw
	}
	for range 60 {
		gom.Expect(order()).To(gomega.Equal(talk.NoFlaw))
	}
	// Two recomputations out of the share, and two out of the part of the reserve that may be used
	// in one burst.
	ask.Again = true
	for range 4 {
		gom.Expect(order()).To(gomega.Equal(talk.NoFlaw))
	}
	fxt.errs <- nil
	gom.Expect(fxt.btr.Make(context.Background(), ask).Flaw).To(gomega.Equal(talk.InputGone), "recomputation stays bounded")
}
