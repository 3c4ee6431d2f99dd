package batch

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/plan"
)

// TestEndpointsArePolledForStorage: the previous coordinator of a pool has lost power, and half of
// the storage of one of its two endpoints holds results that nobody will release. The new
// coordinator polls both, one of which doesn't answer, and sends only as many items as fit. Once
// the endpoint has dropped the old results the polling stops.
func TestEndpointsArePolledForStorage(t *testing.T) {
	gom := gomega.NewWithT(t)
	calls, timers, rounds, free := make(chan []proto.Item, 9), make(chan func(), 99), make(chan func(), 9), make(chan int64, 9)
	dia := &proto.Dialect{
		RunBatch: func(ctx context.Context, _ *http.Client, _ proto.Endpoint, items []proto.Item) ([]proto.ItemResult, proto.ReplyMeta, error) {
			calls <- items
			<-ctx.Done()
			return nil, proto.ReplyMeta{}, ctx.Err()
		},
		FreeStorage: func(_ context.Context, _ *http.Client, ep proto.Endpoint) (int64, error) {
			if ep.ID == "rank-2" {
				return 0, errors.New("no answer")
			}
			return <-free, nil
		},
	}
	btr := New(Setup{
		Dialect: dia, Meter: meter.New(), Log: zerolog.Nop(), Reserve: 10, Window: 10 * clock.Second,
		After: func(span clock.Milli, work func()) {
			if span == storagePollInterval {
				rounds <- work
				return
			}
			timers <- work
		},
	})
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{
		Name: "ranks", Batch: &plan.DraftBatch{Slots: 1, MaxItems: 9, BatchMs: 9000, ItemMs: 1, ResultBytes: 1000, ResultTTL: 4000},
	}}})
	btr.Sync(pln, []proto.Endpoint{{ID: "rank-1", Pool: "ranks", Addr: "a:1"}, {ID: "rank-2", Pool: "ranks", Addr: "a:2", Leaving: true}}, nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 4 {
		go btr.Fill(ctx, Order{Pool: "ranks", Count: 1, Bytes: 250, Due: clock.Minute, Expires: clock.Minute})
	}
	begin := <-timers
	gom.Eventually(func() int { return btr.pool("ranks").numWaiting() }, soon).Should(gomega.Equal(4))
	free <- 500
	again := <-rounds
	begin()
	gom.Eventually(calls, soon).Should(gomega.Receive(gomega.HaveLen(2)))
	free <- 1000
	again()
	gom.Eventually(free, soon).Should(gomega.BeEmpty())
	gom.Consistently(func() int { return len(free) }).Should(gomega.BeZero())
}
