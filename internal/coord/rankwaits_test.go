package coord

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// Messages of the previous build.
type (
	oldWaitQuery struct {
		Fingerprint uint64   `cbor:"1,keyasint,omitempty"`
		Pools       []string `cbor:"2,keyasint"`
	}
	oldWaitReply struct {
		Waits   []clock.Milli `cbor:"1,keyasint"`
		Elapsed clock.Milli   `cbor:"2,keyasint,omitempty"`
	}
	oldOrderResult struct {
		Failure proto.Failure `cbor:"2,keyasint,omitempty"`
		Wait    clock.Milli   `cbor:"3,keyasint,omitempty"`
	}
)

// newQueuedBatcher returns a batcher whose pool "notes" has a queue of less urgent items at an endpoint that does not
// answer.
func newQueuedBatcher(t *testing.T) *batch.Batcher {
	gom := gomega.NewWithT(t)
	calls := make(chan struct{}, 9)
	btr := batch.New(batch.Setup{
		Dialect: &proto.Dialect{
			RunBatch: func(ctx context.Context, _ *http.Client, _ proto.Endpoint, items []proto.Item) ([]proto.ItemResult, proto.ReplyMeta, error) {
				calls <- struct{}{}
				<-ctx.Done()
				return make([]proto.ItemResult, len(items)), proto.ReplyMeta{}, ctx.Err()
			},
			Free: func(context.Context, *http.Client, string, []string) error { return nil },
		},
		Meter: meter.New(), Log: zerolog.Nop(), Reserve: 10, Window: 10 * clock.Second,
	})
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "notes", Batch: &plan.DraftBatch{Slots: 1, MaxItems: 4, BatchMs: 1000, ItemMs: 1}}}})
	btr.Sync(pln, []proto.Endpoint{{ID: "note-1", Pool: "notes", Addr: "a:1"}}, nil, nil)
	for range 2 {
		go btr.Fill(t.Context(), batch.Order{Pool: "notes", Count: 20, Rank: 2, Ranked: true, Due: clock.Minute, Expires: clock.Minute})
	}
	gom.Eventually(calls, soon).Should(gomega.Receive())
	gom.Eventually(func() clock.Milli { return btr.EstimateWait("notes") }, soon).Should(gomega.BeNumerically(">", 8*clock.Second))
	return btr
}

// newWaitPeer returns a coordinator that answers others, and the address of its link. handle, if set, answers in its
// place.
func newWaitPeer(t *testing.T, btr *batch.Batcher, handle func(msg peer.Message) peer.Message) *Coordinator {
	gom := gomega.NewWithT(t)
	var crd *Coordinator
	server, client, err := peer.EphemeralTLS()
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	lnk, err := peer.Listen("127.0.0.1:0", server, client, func(_ context.Context, msg peer.Message) peer.Message {
		if handle != nil {
			return handle(msg)
		}
		return crd.HandleWaitQuery(msg)
	})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	ctl := state.New(state.Setup{Self: ident.NewIncarnation(lnk.Addr()), Meter: meter.New(), Log: zerolog.Nop()})
	crd = New(Setup{Control: ctl, Link: lnk, Log: zerolog.Nop(), Batcher: btr})
	go lnk.Serve(t.Context())
	return crd
}

func viewWithCoordinator(list ...ident.Incarnation) *state.View {
	pln, _ := plan.Compile(plan.Draft{})
	return state.ViewOf(pln).WithBrittlePool("notes", list...)
}

// TestWaitsAreQueriedByRank: the queue is less urgent than one request and more urgent than another, and their waits
// are told and kept apart. Guards against refusing an urgent request because of items that it overtakes.
func TestWaitsAreQueriedByRank(t *testing.T) {
	gom := gomega.NewWithT(t)
	asker, coordinator := newWaitPeer(t, nil, nil), newWaitPeer(t, nil, nil)
	vw := viewWithCoordinator(coordinator.set.Control.Self())
	// A busy machine may answer later than is waited for: the connection is made before, since the batch in progress
	// lasts a second, and the query is repeated until there is an answer.
	gom.Eventually(func() error {
		_, err := asker.set.Link.Call(t.Context(), coordinator.set.Control.Self().Addr(), peer.Message{Kind: peer.GetWait})
		return err
	}, 5*time.Second).Should(gomega.Succeed())
	coordinator.set.Batcher = newQueuedBatcher(t)
	query := func(rank int) func() clock.Milli {
		return func() clock.Milli {
			asker.QueryWaits(t.Context(), vw, WaitAsk{Rank: rank, Pools: []string{"notes"}, Due: []clock.Milli{clock.Minute}})
			return asker.EstimateWait("notes", rank)
		}
	}
	gom.Eventually(query(3), 5*time.Second).Should(gomega.BeNumerically(">", 7*clock.Second))
	gom.Eventually(query(0), 5*time.Second).Should(gomega.BeNumerically(">", 0))
	gom.Expect(asker.EstimateWait("notes", 0)).To(gomega.BeNumerically("<=", 1010), "the batch in progress only")
	gom.Expect(asker.EstimateWait("notes", 3)).To(gomega.BeNumerically(">", 7*clock.Second))
	gom.Expect(asker.EstimateWait("notes", admit.Unranked)).To(gomega.BeZero(), "not asked for")
}

// TestOldCoordinatorIsAsked: a coordinator of the previous build ignores the rank, and its answer, the wait of all
// items, is used for the rank.
func TestOldCoordinatorIsAsked(t *testing.T) {
	gom := gomega.NewWithT(t)
	old := newWaitPeer(t, nil, func(msg peer.Message) peer.Message {
		var wqr oldWaitQuery
		gom.Expect(cbor.Unmarshal(msg.Body, &wqr)).To(gomega.Succeed())
		gom.Expect(wqr).To(gomega.Equal(oldWaitQuery{Fingerprint: 7, Pools: []string{"notes"}}))
		body, err := cbor.Marshal(oldWaitReply{Waits: []clock.Milli{60_000}, Elapsed: 40})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		return peer.Message{Kind: peer.OK, Body: body}
	})
	asker := newWaitPeer(t, nil, nil)
	// A busy machine may answer later than is waited for: the query is repeated until there is an answer.
	gom.Eventually(func() clock.Milli {
		return asker.QueryWaits(t.Context(), viewWithCoordinator(old.set.Control.Self()), WaitAsk{Fingerprint: 7, Rank: 1, Pools: []string{"notes"}, Due: []clock.Milli{2000}})
	}, 5*time.Second).Should(gomega.Equal(clock.Milli(40)))
	gom.Expect(asker.EstimateWait("notes", 1)).To(gomega.BeNumerically("~", 60_000, 1000))
}

// TestOldAskerIsAnswered: a query of the previous build gets the wait of all items, and understands the reply.
func TestOldAskerIsAnswered(t *testing.T) {
	gom := gomega.NewWithT(t)
	crd := newWaitPeer(t, newQueuedBatcher(t), nil)
	body, err := cbor.Marshal(oldWaitQuery{Pools: []string{"notes"}})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	ans := crd.HandleWaitQuery(peer.Message{Body: body})
	gom.Expect(ans.Kind).To(gomega.Equal(peer.OK))
	var wrp oldWaitReply
	gom.Expect(cbor.Unmarshal(ans.Body, &wrp)).To(gomega.Succeed())
	gom.Expect(wrp.Waits).To(gomega.HaveLen(1))
	gom.Expect(wrp.Waits[0]).To(gomega.BeNumerically(">", 7*clock.Second))
}

// TestUnansweredQueryKeepsTheEstimate: a coordinator that does not answer in time leaves the last estimate of the rank
// in use, less the time since.
func TestUnansweredQueryKeepsTheEstimate(t *testing.T) {
	gom := gomega.NewWithT(t)
	gone := newWaitPeer(t, nil, func(peer.Message) peer.Message { return peer.Message{Kind: peer.Nack} })
	asker := newWaitPeer(t, nil, nil)
	asker.noteWait("notes", 1, 60_000)
	asker.QueryWaits(t.Context(), viewWithCoordinator(gone.set.Control.Self()), WaitAsk{Rank: 1, Pools: []string{"notes"}, Due: []clock.Milli{2000}})
	gom.Expect(asker.EstimateWait("notes", 1)).To(gomega.And(gomega.BeNumerically(">", 55_000), gomega.BeNumerically("<=", 60_000)))
}

// TestOrderResultsTellTheWaitOfTheRank: the result of a ranked order has both waits. That of the previous build has
// only the wait of all items, which is then used for the rank too, and ignores the new field.
func TestOrderResultsTellTheWaitOfTheRank(t *testing.T) {
	gom := gomega.NewWithT(t)
	asker := newWaitPeer(t, nil, nil)
	short := clock.Milli(5000)
	ord := batch.Order{Pool: "notes", Rank: 1, Ranked: true}
	asker.noteOrderWait(ord, batch.OrderResult{Wait: 60_000, RankWait: &short})
	gom.Expect(asker.EstimateWait("notes", 1)).To(gomega.BeNumerically("~", 5000, 1000))
	gom.Expect(asker.EstimateWait("notes", admit.Unranked)).To(gomega.BeNumerically("~", 60_000, 1000))
	asker.noteOrderWait(ord, batch.OrderResult{Wait: 60_000})
	gom.Expect(asker.EstimateWait("notes", 1)).To(gomega.BeNumerically("~", 60_000, 1000))
	body, err := cbor.Marshal(batch.OrderResult{Wait: 60_000, RankWait: &short})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	var old oldOrderResult
	gom.Expect(cbor.Unmarshal(body, &old)).To(gomega.Succeed())
	gom.Expect(old.Wait).To(gomega.Equal(clock.Milli(60_000)))
}
