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

// bench is a desk with one pool, whose one endpoint answers calls as told.
type bench struct {
	desk *Desk
	// begun has the calls that the endpoint got, ends what it is to answer them with;
	// flaw is what it says of each piece.
	begun chan []talk.Item
	ends  chan error
	flaw  atomic.Int64
	// back has the lots that were given back.
	back chan Lot
}

func newBench(most int) *bench { return newBenchWith(most, nil) }

// newBenchWith has a desk whose timers are as given.
func newBenchWith(most int, after func(clock.Milli, func())) *bench {
	bnc := &bench{begun: make(chan []talk.Item, 9), ends: make(chan error, 9), back: make(chan Lot, 9)}
	dia := &talk.Dialect{
		Run: func(_ context.Context, _ *http.Client, _ talk.Endpoint, items []talk.Item) ([]talk.Made, talk.Reply, error) {
			bnc.begun <- items
			err := <-bnc.ends
			made := make([]talk.Made, len(items))
			for i := range made {
				if made[i].Flaw = talk.Flaw(bnc.flaw.Load()); made[i].Flaw == talk.NoFlaw {
					made[i].Handle = items[i].Request
				}
			}
			return made, talk.Reply{}, err
		},
		Free: func(context.Context, *http.Client, string, []string) error { return nil },
	}
	bnc.desk = New(Setup{
		Dialect: dia, After: after, Meter: meter.New(), Log: zerolog.Nop(), Share: 0.1, Reserve: 10, Window: 10 * clock.Second,
		Fetched: func(lots []Lot) {
			for _, lot := range lots {
				bnc.back <- lot
			}
		},
	})
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{
		Name: "ranks", Batch: &plan.DraftBatch{Places: 1, Most: most, Call: 1000, Item: 1, Link: 1000},
	}}})
	bnc.desk.Sync(pln, []talk.Endpoint{{ID: "rank-1", Pool: "ranks", Addr: "a:1"}}, nil)
	return bnc
}

// order has two pieces made from one lot.
func (bnc *bench) order() chan Filled {
	out := make(chan Filled, 1)
	lot := Lot{Home: "here:1", Freed: Freed{Pool: "notes", Results: []Handle{{Name: "note-1"}}}}
	go func() {
		out <- bnc.desk.Make(context.Background(), Order{
			Pool: "ranks", Request: "r1", Stage: 1, Count: 2, Inputs: []string{"note-1"}, InputBytes: 1000,
			Last: []Lot{lot}, Due: 20 * clock.Second, Until: 30 * clock.Second,
		})
	}()
	return out
}

const soon = 5 * time.Second

// TestInputsGoBackOnceFetched: a call is under way for a second, and its endpoint
// fetched the inputs in the first moment. They are given back while it still works:
// held to its end they took the room of the next requests' inputs, and the pool that
// makes these stood still.
func TestInputsGoBackOnceFetched(t *testing.T) {
	gom := gomega.NewWithT(t)
	bnc := newBench(2)
	filled := bnc.order()
	gom.Eventually(bnc.begun, soon).Should(gomega.Receive(gomega.HaveLen(2)))
	gom.Eventually(bnc.back, soon).Should(gomega.Receive(gomega.HaveField("Home", "here:1")))
	gom.Expect(filled).To(gomega.BeEmpty(), "the call has not ended")
	bnc.ends <- nil
	var fld Filled
	gom.Eventually(filled, soon).Should(gomega.Receive(&fld))
	gom.Expect(fld.Fetched).To(gomega.BeTrue())
	gom.Expect(fld.Results).To(gomega.HaveLen(2))
}

// TestInputsStayForTheOthers: the two pieces of a job go into two calls, one after the
// other. The inputs stay until the second has fetched them too.
func TestInputsStayForTheOthers(t *testing.T) {
	gom := gomega.NewWithT(t)
	bnc := newBench(1)
	filled := bnc.order()
	gom.Eventually(bnc.begun, soon).Should(gomega.Receive())
	gom.Consistently(bnc.back, 4*fetchLeast.Duration()).ShouldNot(gomega.Receive())
	bnc.ends <- nil
	gom.Eventually(bnc.begun, soon).Should(gomega.Receive())
	gom.Eventually(bnc.back, soon).Should(gomega.Receive())
	bnc.ends <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Flaw", talk.NoFlaw)))
}

// TestFailedAfterTheFetch: a call fails when its inputs have been given back. It is not
// repeated, for it would have the time of a call and find nothing; whoever asked is
// told that the inputs are gone, and has them made again.
func TestFailedAfterTheFetch(t *testing.T) {
	gom := gomega.NewWithT(t)
	bnc := newBench(2)
	filled := bnc.order()
	gom.Eventually(bnc.back, soon).Should(gomega.Receive())
	bnc.ends <- errors.New("the endpoint died")
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.And(
		gomega.HaveField("Flaw", talk.InputGone), gomega.HaveField("Fetched", true))))
	gom.Expect(bnc.begun).To(gomega.HaveLen(1))
}

// TestHeldWhileOthersGather: another instance gathers the pool too, and its call is worked
// on before ours, which finds its inputs given back. For a while inputs are held to the
// end of each call: each that is lost costs the time of two stages.
func TestHeldWhileOthersGather(t *testing.T) {
	gom := gomega.NewWithT(t)
	bnc := newBench(2)
	bnc.flaw.Store(int64(talk.InputGone))
	filled := bnc.order()
	gom.Eventually(bnc.back, soon).Should(gomega.Receive())
	bnc.ends <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Flaw", talk.InputGone)))

	bnc.flaw.Store(int64(talk.NoFlaw))
	filled = bnc.order()
	gom.Consistently(bnc.back, 4*fetchLeast.Duration()).ShouldNot(gomega.Receive())
	bnc.ends <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Fetched", false)))
}

// TestFailedBeforeTheFetch: a call fails at once, while its inputs are still held. Its
// pieces are made by another call.
func TestFailedBeforeTheFetch(t *testing.T) {
	gom := gomega.NewWithT(t)
	bnc := newBench(2)
	bnc.ends <- errors.New("the connection was refused")
	filled := bnc.order()
	gom.Eventually(bnc.begun, soon).Should(gomega.Receive())
	gom.Eventually(bnc.begun, soon).Should(gomega.Receive())
	bnc.ends <- nil
	gom.Eventually(filled, soon).Should(gomega.Receive(gomega.HaveField("Flaw", talk.NoFlaw)))
}

// TestMakingAgainIsBounded: pieces whose results were lost are made again within the
// pool's retry budget, for all that lost some ask at the same moment.
func TestMakingAgainIsBounded(t *testing.T) {
	gom := gomega.NewWithT(t)
	bnc := newBench(2)
	ask := Order{Pool: "ranks", Request: "r1", Count: 3, Again: true, Due: 20 * clock.Second, Until: 30 * clock.Second}
	for range 4 {
		bnc.ends <- nil
	}
	gom.Expect(bnc.desk.Make(context.Background(), ask).Flaw).To(gomega.Equal(talk.NoFlaw))
	gom.Expect(bnc.desk.Make(context.Background(), ask).Flaw).To(gomega.Equal(talk.InputGone))
}

// Guards against requests that are refused at a busy pool because a few of its many results
// were lost.
func TestMakingAgainGrowsWithTheOrders(t *testing.T) {
	gom := gomega.NewWithT(t)
	bnc := newBench(2)
	ask := Order{Pool: "ranks", Request: "r1", Count: 2, Due: 20 * clock.Second, Until: 30 * clock.Second}
	order := func() talk.Flaw {
		bnc.ends <- nil
		fld := bnc.desk.Make(context.Background(), ask)
		gom.Expect(bnc.begun).To(gomega.Receive())
		return fld.Flaw
	}
	for range 60 {
		gom.Expect(order()).To(gomega.Equal(talk.NoFlaw))
	}
	// As many by the share, as the part of the reserve that may be used at once.
	ask.Again = true
	for range 4 {
		gom.Expect(order()).To(gomega.Equal(talk.NoFlaw))
	}
	bnc.ends <- nil
	gom.Expect(bnc.desk.Make(context.Background(), ask).Flaw).To(gomega.Equal(talk.InputGone), "it stays bounded")
}
