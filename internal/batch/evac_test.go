package batch

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// evacuating is a batcher of a pool with an endpoint in each of two data centres.
type evacuating struct {
	btr   *Batcher
	pln   *plan.Plan
	calls chan string
	freed chan string
	// queried has the endpoints that were asked for their free storage.
	queried chan string
	// last is the data centre that the last check knows as evacuated.
	last atomic.Value
}

func newEvacuating() *evacuating {
	evc := &evacuating{calls: make(chan string, 99), freed: make(chan string, 99), queried: make(chan string, 99)}
	evc.last.Store("")
	evc.btr = New(Setup{
		Dialect: &proto.Dialect{
			RunBatch: func(_ context.Context, _ *http.Client, ep proto.Endpoint, items []proto.Item) ([]proto.ItemResult, proto.ReplyMeta, error) {
				evc.calls <- ep.Zone
				return make([]proto.ItemResult, len(items)), proto.ReplyMeta{}, nil
			},
			Free: func(_ context.Context, _ *http.Client, addr string, _ []string) error {
				evc.freed <- addr
				return nil
			},
			FreeStorage: func(_ context.Context, _ *http.Client, ep proto.Endpoint) (int64, error) {
				evc.queried <- ep.Zone
				return 1000, nil
			},
		},
		Meter: meter.New(), Log: zerolog.Nop(), Window: 10 * clock.Second,
		MaySend:   func(_ ident.Process, zone string) bool { return zone != evc.last.Load() },
		MaySendTo: func(_, zone string) bool { return zone != evc.last.Load() },
	})
	evc.pln, _ = plan.Compile(plan.Draft{Pools: []plan.DraftPool{{
		Name: "ranks", Batch: &plan.DraftBatch{Slots: 1, MaxItems: 1, BatchMs: 1, ItemMs: 1, ResultBytes: 1000, ResultTTL: 4000},
	}}})
	return evc
}

// sync lists the endpoints, those in the given data centres as withheld.
func (evc *evacuating) sync(withheld ...string) {
	var eps []proto.Endpoint
	for _, zone := range []string{"z1", "z2"} {
		ep := proto.Endpoint{ID: ident.Process("rank-" + zone), Pool: "ranks", Addr: zone + ":1", Zone: zone}
		for _, name := range withheld {
			ep.Withheld = ep.Withheld || name == zone
		}
		eps = append(eps, ep)
	}
	evc.btr.Sync(evc.pln, eps, nil, nil)
}

func (evc *evacuating) fill(t *testing.T, count int) OrderResult {
	return evc.btr.Fill(t.Context(), Order{Pool: "ranks", Count: count, Due: clock.Minute, Expires: clock.Minute})
}

// Guards against batches and queries that reach an evacuated data centre, and against endpoints that are not used
// again after its release.
func TestEvacuatedEndpointGetsNoCalls(t *testing.T) {
	gom := gomega.NewWithT(t)
	evc := newEvacuating()
	evc.sync("z1")
	gom.Expect(evc.fill(t, 8).Results).To(gomega.HaveLen(8))
	var queried string
	gom.Eventually(evc.queried, soon).Should(gomega.Receive(&queried))
	gom.Expect(queried).To(gomega.Equal("z2"))
	gom.Consistently(evc.queried, 200*time.Millisecond).ShouldNot(gomega.Receive())
	for range 8 {
		gom.Expect(evc.calls).To(gomega.Receive(gomega.Equal("z2")))
	}
	evc.sync()
	gom.Eventually(func() string {
		evc.fill(t, 4)
		return <-evc.calls
	}, soon).Should(gomega.Equal("z1"))
}

// Guards against a batch that is sent after its data centre was evacuated, and against one that is withheld and then
// counts as a failed attempt: there is no budget for retries here.
func TestBatchIsWithheldAtLastCheck(t *testing.T) {
	gom := gomega.NewWithT(t)
	evc := newEvacuating()
	evc.sync()
	evc.last.Store("z1")
	time.AfterFunc(300*time.Millisecond, func() { evc.sync("z1") })
	gom.Expect(evc.fill(t, 12).Results).To(gomega.HaveLen(12))
	for range 12 {
		gom.Expect(evc.calls).To(gomega.Receive(gomega.Equal("z2")))
	}
}

// Guards against results that are released in an evacuated data centre, also at an address that is not listed any
// more.
func TestResultsInEvacuatedZoneAreNotReleased(t *testing.T) {
	gom := gomega.NewWithT(t)
	evc := newEvacuating()
	evc.sync("z1")
	evc.last.Store("z1")
	evc.btr.Release(ReleaseRequest{Pool: "ranks", Results: []Handle{{Name: "h1", Addr: "z1:1", Zone: "z1"}, {Name: "h2", Addr: "z1:9", Zone: "z1"}, {Name: "h3", Addr: "z2:1", Zone: "z2"}}})
	gom.Eventually(evc.freed, soon).Should(gomega.Receive(gomega.Equal("z2:1")))
	gom.Consistently(evc.freed, 100*time.Millisecond).ShouldNot(gomega.Receive())
}

// Guards against items that wait until they expire although no endpoint is left, those that were waiting too.
func TestWithheldItemsFailAtOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	evc := newEvacuating()
	evc.sync("z1", "z2")
	began := time.Now()
	gom.Expect(evc.fill(t, 3).Failure).To(gomega.Equal(proto.Broken))
	gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
	evc.sync()
	gom.Expect(evc.fill(t, 3).Results).To(gomega.HaveLen(3))
}
