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
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// Guards against batches, queries and releases that reach an endpoint which has asked for rest, and against
// results that are never released since the time for it had come during the rest.
func TestRestingEndpointGetsNoCalls(t *testing.T) {
	gom := gomega.NewWithT(t)
	calls, freed, queried := make(chan string, 99), make(chan []string, 9), make(chan ident.Process, 9)
	releases := make(chan func(), 9)
	var resting atomic.Bool
	resting.Store(true)
	const left = 3 * clock.Second
	btr := New(Setup{
		Dialect: &proto.Dialect{
			RunBatch: func(_ context.Context, _ *http.Client, ep proto.Endpoint, items []proto.Item) ([]proto.ItemResult, proto.ReplyMeta, error) {
				calls <- string(ep.ID)
				return make([]proto.ItemResult, len(items)), proto.ReplyMeta{}, nil
			},
			Free: func(_ context.Context, _ *http.Client, _ string, names []string) error {
				freed <- names
				return nil
			},
			FreeStorage: func(_ context.Context, _ *http.Client, ep proto.Endpoint) (int64, error) {
				queried <- ep.ID
				return 0, errors.New("no answer")
			},
		},
		Meter: meter.New(), Log: zerolog.Nop(), Reserve: 10, Window: 10 * clock.Second,
		Rests: func() map[ident.Process]clock.Milli {
			if !resting.Load() {
				return nil
			}
			return map[ident.Process]clock.Milli{"rank-1": clock.Clock{}.Now() + left}
		},
		After: func(span clock.Milli, work func()) {
			if span > left/2 {
				releases <- work
				return
			}
			time.AfterFunc(span.Duration(), work)
		},
	})
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{
		Name: "ranks", Batch: &plan.DraftBatch{Slots: 1, MaxItems: 1, BatchMs: 1, ItemMs: 1, ResultBytes: 1000, ResultTTL: 4000},
	}}})
	btr.Sync(pln, []proto.Endpoint{{ID: "rank-1", Pool: "ranks", Addr: "a:1"}, {ID: "rank-2", Pool: "ranks", Addr: "a:2"}}, nil, nil)
	for range 8 {
		gom.Expect(btr.Fill(t.Context(), Order{Pool: "ranks", Count: 1, Due: clock.Minute, Expires: clock.Minute}).Results).To(gomega.HaveLen(1))
		gom.Expect(<-calls).To(gomega.Equal("rank-2"))
	}
	gom.Eventually(queried, soon).Should(gomega.Receive(gomega.Equal(ident.Process("rank-2"))))
	gom.Expect(queried).NotTo(gomega.Receive())
	btr.Release(ReleaseRequest{Pool: "ranks", Results: []Handle{{Name: "h", Addr: "a:1"}}})
	var later func()
	gom.Eventually(releases, soon).Should(gomega.Receive(&later))
	gom.Expect(freed).NotTo(gomega.Receive())
	resting.Store(false)
	later()
	gom.Expect(freed).To(gomega.Receive(gomega.Equal([]string{"h"})))
}
