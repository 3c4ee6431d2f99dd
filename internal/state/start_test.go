package state

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/plan"
)

// soon is well beyond what an instance may take here.
const soon = 5 * time.Second

// storeOf is a store that has one document, and answers the rest as its fields say.
func storeOf(sto talk.Store) talk.Store {
	if sto.Newest == nil {
		sto.Newest = func(context.Context) (talk.Document, error) { return talk.Document{Offset: 1, End: 2}, nil }
	}
	if sto.Watch == nil {
		sto.Watch = func(ctx context.Context, _ int64, _ clock.Milli) (bool, error) {
			<-ctx.Done()
			return false, ctx.Err()
		}
	}
	if sto.Endpoints == nil {
		sto.Endpoints = func(context.Context) ([]talk.Endpoint, []error, error) { return list("e1"), nil, nil }
	}
	if sto.Instances == nil {
		sto.Instances = func(context.Context) ([]talk.Instance, []byte, error) { return nil, nil, nil }
	}
	if sto.Announce == nil {
		sto.Announce = func(context.Context, talk.Instance) error { return nil }
	}
	return sto
}

// started starts a control thread for a test.
func started(t *testing.T, sto talk.Store) *Control { return startedAt(t, sto, clock.Clock{}) }

// startedAt is started with another clock.
func startedAt(t *testing.T, sto talk.Store, clk clock.Clock) *Control {
	pln, _ := plan.Compile(plan.Draft{})
	dia := &talk.Dialect{Compile: func([]byte) (*plan.Plan, []error) { return pln, nil }}
	ctl := New(Setup{
		Self: ident.NewIncarnation("10.0.0.1:1"), Meter: meter.New(), Log: zerolog.Nop(), Dialect: dia, Store: storeOf(sto), Clock: clk,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		ctl.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return ctl
}

// lines gives the lines of so many instances of one start.
func lines(boot string, count int) []talk.Instance {
	var all []talk.Instance
	for i := range count {
		addr := fmt.Sprintf("10.0.1.%d:1", i)
		all = append(all, talk.Instance{Name: addr + "#" + boot, Addr: addr, Zone: "z", Caller: addr})
	}
	return all
}

// TestOthersAreKnownBeforeOurLineIsWritten: hundreds of instances start at once, and the store
// writes their lines one after another, ours last. The others' lines from before are read
// meanwhile, so that this instance knows who gathers pieces when the first request comes. It
// waited for its own line first, half a second at two hundred, and gathered alone.
func TestOthersAreKnownBeforeOurLineIsWritten(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, talk.Store{
		Announce: func(ctx context.Context, _ talk.Instance) error {
			<-ctx.Done()
			return ctx.Err()
		},
		Instances: func(context.Context) ([]talk.Instance, []byte, error) { return lines("before", 30), nil, nil },
	})
	gom.Eventually(ctl.Met(), soon).Should(gomega.BeClosed())
	gom.Eventually(func() int { return len(ctl.View().Members()) }, soon).Should(gomega.Equal(31))
}

// TestOurLineIsWrittenAgain: our line was written and is gone from the store, taken out by an
// instance that took this one for dead. It is written again after the next look.
func TestOurLineIsWrittenAgain(t *testing.T) {
	gom := gomega.NewWithT(t)
	var said atomic.Int64
	started(t, talk.Store{Announce: func(context.Context, talk.Instance) error {
		said.Add(1)
		return nil
	}})
	gom.Eventually(said.Load, soon).Should(gomega.BeNumerically(">=", 2))
}

// TestFirstRequestsWait: a request comes while an instance that has just started knows the
// documents and not yet the endpoints. It waits for them, instead of being refused as if there
// were none. An instance whose store is down refuses at once after a moment.
func TestFirstRequestsWait(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, talk.Store{Endpoints: func(context.Context) ([]talk.Endpoint, []error, error) {
		time.Sleep(100 * time.Millisecond)
		return list("e1"), nil, nil
	}})
	gom.Expect(ctl.Whole(context.Background()).Endpoints()).To(gomega.HaveLen(1))
	down := started(t, talk.Store{Newest: func(context.Context) (talk.Document, error) { return talk.Document{}, errors.New("down") }})
	gom.Expect(down.Whole(context.Background()).Plan()).To(gomega.BeNil())
	began := time.Now()
	gom.Expect(down.Whole(context.Background()).Plan()).To(gomega.BeNil())
	gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", startWait.Duration()/2), "nothing waits later")
}

// TestOneWriteTakesOutAllEnded: all instances were killed and have started again. Their lines from
// before are taken out of the store by the first of the readers, in one write: written by each
// for itself, they delay the lines of the living.
func TestOneWriteTakesOutAllEnded(t *testing.T) {
	gom := gomega.NewWithT(t)
	var writes atomic.Int64
	taken := make(chan []string, 9)
	sto := talk.Store{Withdraw: func(_ context.Context, names ...string) error {
		writes.Add(1)
		taken <- names
		return nil
	}}
	ctl := started(t, sto)
	before, now := lines("before", 20), lines("now", 20)
	tidy := func() {
		ctl.loop.Do(context.Background(), func(at clock.Milli) {
			for _, inst := range before {
				ctl.list.End(ident.Incarnation(inst.Name), at)
			}
			ctl.tidy(append(before, now...))
		})
	}
	tidy()
	gom.Eventually(taken, soon).Should(gomega.Receive(gomega.HaveLen(20)))
	ctl.loop.Do(context.Background(), func(at clock.Milli) {
		for i, inst := range now {
			ctl.list.Learn([]member.News{{Who: ident.Incarnation(inst.Name), Seq: 1, Capacity: float64(10 + i)}}, at)
		}
	})
	tidy()
	gom.Consistently(writes.Load, 100*time.Millisecond).Should(gomega.Equal(int64(1)), "another instance is the first reader")
}

// TestSlowStoreIsNotSilent: the store answers a read that it holds for 0.7 s half a second late,
// again and again. Its reader is still of use to those that follow it: they would hear no
// sooner from the store, and hundreds of them would make it slower.
func TestSlowStoreIsNotSilent(t *testing.T) {
	gom := gomega.NewWithT(t)
	between := holdFor + slowMost
	gom.Expect((&View{heard: 1000, slow: slowMost}).silence(1000 + between)).To(gomega.BeNumerically("<", newsOld))
	gom.Expect((&View{heard: 1000}).silence(1000 + between)).To(gomega.BeNumerically(">", newsOld))
}

// TestNewReaderTellsNoEmptyList: a reader has just started and knows the documents and not yet the
// endpoints. A follower that has read the endpoints itself asks it, and is told of no list. Taken for
// the list of endpoints, an empty one left the follower with none for half a second.
func TestNewReaderTellsNoEmptyList(t *testing.T) {
	gom := gomega.NewWithT(t)
	held := make(chan struct{})
	ctl := started(t, talk.Store{Endpoints: func(ctx context.Context) ([]talk.Endpoint, []error, error) {
		select {
		case <-held:
		case <-ctx.Done():
		}
		return list("e1"), nil, nil
	}})
	gom.Eventually(func() *plan.Plan { return ctl.View().Plan() }, soon).ShouldNot(gomega.BeNil())
	ask := func() news {
		body, err := cbor.Marshal(wanted{Offset: ctl.View().Offset()})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		var nws news
		gom.Expect(cbor.Unmarshal(ctl.Tell(context.Background(), peer.Message{Body: body}).Body, &nws)).To(gomega.Succeed())
		return nws
	}
	gom.Expect(ask().Listed).To(gomega.BeFalse())
	close(held)
	gom.Eventually(func() bool { return ask().Listed }, soon).Should(gomega.BeTrue())
}

// TestPatientAskerHearsOfTheReturn: the store is down, and an instance whose readers and deputies all
// have no news asks one of them patiently. It isn't sent away, but answered when the store is
// back, within the time that a question is held. Sent away at once by each of them it left them
// alone for three seconds, and went by old documents for as long after the store's return.
func TestPatientAskerHearsOfTheReturn(t *testing.T) {
	gom := gomega.NewWithT(t)
	var down atomic.Bool
	ctl := started(t, talk.Store{Watch: func(context.Context, int64, clock.Milli) (bool, error) {
		if down.Load() {
			return false, errors.New("down")
		}
		time.Sleep(10 * time.Millisecond)
		return false, nil
	}, Newest: func(context.Context) (talk.Document, error) {
		if down.Load() {
			return talk.Document{}, errors.New("down")
		}
		return talk.Document{Offset: 1, End: 2}, nil
	}})
	ask := func(patient bool) (news, time.Duration) {
		vw := ctl.View()
		body, _ := cbor.Marshal(wanted{Offset: vw.Offset(), Digest: vw.digest, Patient: patient})
		began := time.Now()
		var nws news
		gom.Expect(cbor.Unmarshal(ctl.Tell(context.Background(), peer.Message{Body: body}).Body, &nws)).To(gomega.Succeed())
		return nws, time.Since(began)
	}
	gom.Eventually(func() bool { return ctl.View().whole() }, soon).Should(gomega.BeTrue())
	down.Store(true)
	time.Sleep(newsOld.Duration() + 200*time.Millisecond)
	nws, took := ask(false)
	gom.Expect(nws.Silent).To(gomega.BeNumerically(">", newsOld))
	gom.Expect(took).To(gomega.BeNumerically("<", newsHold/2))
	nws, took = ask(true)
	gom.Expect(nws.Silent).To(gomega.BeNumerically(">", newsOld))
	gom.Expect(took).To(gomega.BeNumerically(">=", newsHold))
	down.Store(false)
	back := time.Now()
	gom.Eventually(func() clock.Milli {
		nws, _ := ask(true)
		return nws.Silent
	}, soon).Should(gomega.BeNumerically("<", newsOld))
	gom.Expect(time.Since(back)).To(gomega.BeNumerically("<", againMost.Duration()+2*newsHold))
}

// TestLastOneStopsWhileItLooks: the only instance that is left is stopping when it reads the lines of
// others, which have ended. It ranks nobody, itself included, and takes out no lines. It ended there
// by itself, with requests under way.
func TestLastOneStopsWhileItLooks(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, talk.Store{})
	ctl.Leave(context.Background())
	gom.Expect(ctl.loop.Do(context.Background(), func(now clock.Milli) {
		before := lines("before", 3)
		for _, inst := range before {
			ctl.list.End(ident.Incarnation(inst.Name), now)
		}
		for range 100 {
			ctl.list.Tick(now)
			now += clock.Second
		}
		gom.Expect(ctl.list.Homes(readersName)).To(gomega.BeEmpty())
		ctl.tidy(before)
	})).To(gomega.BeTrue())
}

// Guards against an answer that is written while its asker, whose time is up, reads it; the race
// detector tells.
func TestLateAnswerIsNotRead(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, talk.Store{})
	held, begun, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	ctl.loop.Offer(func(clock.Milli) {
		close(begun)
		<-held
	})
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	time.AfterFunc(60*time.Millisecond, func() { close(held) })
	ans := ctl.Handle(ctx, peer.Message{Kind: peer.Probe, From: "10.0.0.9:1#a"})
	gom.Expect(ans.Kind).To(gomega.Equal(peer.Nack))
	ctl.loop.Offer(func(clock.Milli) { close(ended) })
	gom.Eventually(ended, soon).Should(gomega.BeClosed())
}
