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
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/poison"
)

// soon is well beyond the time that an instance may take here.
const soon = 5 * time.Second

// storeOf returns a store with one document that answers all other calls by the given functions.
func storeOf(sto proto.Store) proto.Store {
	if sto.Document == nil {
		sto.Document = func(context.Context) (proto.Document, error) {
			return proto.Document{Position: proto.Position{Offset: 1}, End: 2}, nil
		}
	}
	if sto.Watch == nil {
		sto.Watch = func(ctx context.Context, _ proto.Position, _ clock.Milli) (bool, error) {
			<-ctx.Done()
			return false, ctx.Err()
		}
	}
	if sto.Endpoints == nil {
		sto.Endpoints = func(context.Context) (proto.Listing, error) { return proto.Listing{Endpoints: list("e1")}, nil }
	}
	if sto.Instances == nil {
		sto.Instances = func(context.Context) ([]proto.Instance, []byte, error) { return nil, nil, nil }
	}
	if sto.Announce == nil {
		sto.Announce = func(context.Context, proto.Instance) error { return nil }
	}
	return sto
}

// started runs a control state for a test.
func started(t *testing.T, sto proto.Store) *Control { return startedAt(t, sto, clock.Clock{}) }

// startedAt is like started, with another clock.
func startedAt(t *testing.T, sto proto.Store, clk clock.Clock) *Control {
	return startedWith(t, sto, Setup{Clock: clk})
}

// startedWith is like started, with a setup that is completed.
func startedWith(t *testing.T, sto proto.Store, set Setup) *Control {
	pln, _ := plan.Compile(plan.Draft{})
	dia := &proto.Dialect{Compile: func([]byte) (*plan.Plan, []error) { return pln, nil }}
	if set.Self == "" {
		set.Self = ident.NewIncarnation("10.0.0.1:1")
	}
	set.Meter, set.Log, set.Dialect, set.Store = meter.New(), zerolog.Nop(), dia, storeOf(sto)
	ctl := New(set)
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

// entries returns the entries of a number of instances with one boot name.
func entries(boot string, count int) []proto.Instance {
	var all []proto.Instance
	for i := range count {
		addr := fmt.Sprintf("10.0.1.%d:1", i)
		all = append(all, proto.Instance{Name: addr + "#" + boot, Addr: addr, Zone: "z", Caller: addr})
	}
	return all
}

// Guards against an instance that knows no other while its own entry is being written. When
// hundreds start at once the store writes their entries one after another; an instance that waited
// for its own first, half a second at two hundred, coordinated pools alone.
func TestOthersAreKnownBeforeOwnEntryIsWritten(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, proto.Store{
		Announce: func(ctx context.Context, _ proto.Instance) error {
			<-ctx.Done()
			return ctx.Err()
		},
		Instances: func(context.Context) ([]proto.Instance, []byte, error) { return entries("before", 30), nil, nil },
	})
	gom.Eventually(ctl.MembersKnown(), soon).Should(gomega.BeClosed())
	gom.Eventually(func() int { return len(ctl.View().Members()) }, soon).Should(gomega.Equal(31))
}

// Guards against an instance that stays missing from the store after its entry was withdrawn by
// another one that took it for dead. The entry is written again after the next lookup.
func TestOwnEntryIsWrittenAgain(t *testing.T) {
	gom := gomega.NewWithT(t)
	var writes atomic.Int64
	started(t, proto.Store{Announce: func(context.Context, proto.Instance) error {
		writes.Add(1)
		return nil
	}})
	gom.Eventually(writes.Load, soon).Should(gomega.BeNumerically(">=", 2))
}

// Guards against requests that are refused right after the start, as if there were no endpoints,
// because these are not read yet. The requests wait for them. If the store is down, requests that
// come after startupWait are refused at once.
func TestFirstRequestsWait(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, proto.Store{Endpoints: func(context.Context) (proto.Listing, error) {
		time.Sleep(100 * time.Millisecond)
		return proto.Listing{Endpoints: list("e1")}, nil
	}})
	gom.Expect(ctl.WaitServable(context.Background()).Endpoints()).To(gomega.HaveLen(1))
	down := started(t, proto.Store{Document: func(context.Context) (proto.Document, error) { return proto.Document{}, errors.New("down") }})
	gom.Expect(down.WaitServable(context.Background()).Plan()).To(gomega.BeNil())
	began := time.Now()
	gom.Expect(down.WaitServable(context.Background()).Plan()).To(gomega.BeNil())
	gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", startupWait.Duration()/2), "later requests do not wait")
}

// Guards against a separate write for each entry of an ended instance after all were killed and
// restarted, which would delay the entries of live instances. The first reader removes them in one.
func TestEndedEntriesAreRemovedInOneWrite(t *testing.T) {
	gom := gomega.NewWithT(t)
	var writes atomic.Int64
	taken := make(chan []string, 9)
	sto := proto.Store{Withdraw: func(_ context.Context, names ...string) error {
		writes.Add(1)
		taken <- names
		return nil
	}}
	ctl := started(t, sto)
	before, now := entries("before", 20), entries("now", 20)
	withdraw := func() {
		ctl.loop.Do(context.Background(), func(at clock.Milli) {
			for _, inst := range before {
				ctl.list.MarkEnded(ident.Incarnation(inst.Name), at)
			}
			ctl.withdrawEnded(append(before, now...))
		})
	}
	withdraw()
	gom.Eventually(taken, soon).Should(gomega.Receive(gomega.HaveLen(20)))
	ctl.loop.Do(context.Background(), func(at clock.Milli) {
		for i, inst := range now {
			ctl.list.Merge([]member.Update{{ID: ident.Incarnation(inst.Name), Seq: 1, Capacity: float64(10 + i)}}, at)
		}
	})
	withdraw()
	gom.Consistently(writes.Load, 100*time.Millisecond).Should(gomega.Equal(int64(1)), "another instance is the first reader")
}

// Guards against followers that leave a reader because the store is slow: it answers a read held
// for 0.7 s half a second late. They would get no answer sooner from the store, and would slow it
// further.
func TestSlowStoreIsNotSilent(t *testing.T) {
	gom := gomega.NewWithT(t)
	between := watchHold + maxStoreDelay
	gom.Expect((&View{answeredAt: 1000, storeDelay: maxStoreDelay}).storeSilence(1000 + between)).To(gomega.BeNumerically("<", maxStoreSilence))
	gom.Expect((&View{answeredAt: 1000}).storeSilence(1000 + between)).To(gomega.BeNumerically(">", maxStoreSilence))
}

// Guards against followers that leave a new reader, and keep away from it for seconds, since it says that the store is
// silent: it has followed another instance until now, and the store is just answering its first read.
func TestNewReaderIsNotSilent(t *testing.T) {
	gom := gomega.NewWithT(t)
	var slow atomic.Bool
	sto := newListStore(1, list("a")...).client()
	sto.Document = func(ctx context.Context) (proto.Document, error) {
		if slow.Load() {
			pause(ctx, 300*time.Millisecond)
		}
		return proto.Document{Position: proto.Position{Offset: 1}, End: 2}, nil
	}
	follower, _, _ := linkedWith(t, sto, blindSetup, sameAddr)
	readers := []ident.Incarnation{addReader(t.Context(), t, follower, newListStore(1, list("a")...).client()), addReader(t.Context(), t, follower, newListStore(1, list("a")...).client())}
	gom.Eventually(func() clock.Milli { return follower.View().askedSince }, soon).Should(gomega.Equal(never))
	time.Sleep(maxStoreSilence.Duration() + 500*time.Millisecond)
	slow.Store(true)
	follower.loop.Do(t.Context(), func(now clock.Milli) {
		for _, who := range readers {
			follower.list.MarkEnded(who, now)
		}
	})
	gom.Eventually(func() clock.Milli { return follower.View().askedSince }, soon, time.Millisecond).ShouldNot(gomega.Equal(never))
	body, _ := cbor.Marshal(updateRequest{Offset: 1})
	var upd update
	gom.Expect(cbor.Unmarshal(follower.ServeFollower(t.Context(), peer.Message{Body: body}).Body, &upd)).To(gomega.Succeed())
	gom.Expect(upd.StoreSilence).To(gomega.BeNumerically("<", maxStoreSilence))
}

// Guards against a reader that has documents but not yet endpoints and sends an empty list: a
// follower that had read the endpoints itself was left with none for half a second.
func TestNewReaderSendsNoEmptyList(t *testing.T) {
	gom := gomega.NewWithT(t)
	held := make(chan struct{})
	ctl := started(t, proto.Store{Endpoints: func(ctx context.Context) (proto.Listing, error) {
		select {
		case <-held:
		case <-ctx.Done():
		}
		return proto.Listing{Endpoints: list("e1")}, nil
	}})
	gom.Eventually(func() *plan.Plan { return ctl.View().Plan() }, soon).ShouldNot(gomega.BeNil())
	ask := func() update {
		body, err := cbor.Marshal(updateRequest{Offset: ctl.View().Offset()})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		var upd update
		gom.Expect(cbor.Unmarshal(ctl.ServeFollower(context.Background(), peer.Message{Body: body}).Body, &upd)).To(gomega.Succeed())
		return upd
	}
	gom.Expect(ask().Listed).To(gomega.BeFalse())
	close(held)
	gom.Eventually(func() bool { return ask().Listed }, soon).Should(gomega.BeTrue())
}

// Guards against a starting instance that admits a quarantined request, since it knows documents and
// endpoints before it has read which requests are quarantined.
func TestRequestsWaitForQuarantines(t *testing.T) {
	gom := gomega.NewWithT(t)
	var mark poison.Fingerprint
	mark[0] = 1
	var facts []gossip.Fact
	for i := range 3 {
		facts = append(facts, gossip.Fact{Kind: gossip.CrashedUnder, Key: poison.Key(mark, ident.Process(fmt.Sprint("e", i))), Value: "a:1", Version: 1, Age: clock.Milli(i) * clock.Second})
	}
	kept, _ := cbor.Marshal(storedFacts{At: clock.Clock{}.Now(), Facts: facts})
	read := make(chan struct{})
	ctl := started(t, proto.Store{
		Document: func(context.Context) (proto.Document, error) {
			return proto.Document{Position: proto.Position{Offset: 1}, End: 2}, nil
		},
		Instances: func(context.Context) ([]proto.Instance, []byte, error) {
			<-read
			return nil, kept, nil
		},
	})
	gom.Eventually(func() bool { return ctl.View().Plan() != nil && ctl.View().endpointsKnown }, soon).Should(gomega.BeTrue())
	time.AfterFunc(100*time.Millisecond, func() { close(read) })
	gom.Expect(ctl.WaitServable(context.Background()).Suspects().Quarantined(mark, clock.Clock{}.Now())).NotTo(gomega.BeZero())
}

// Guards against patient followers that are refused at once while the store is down. Each refusal
// kept them from asking that reader again for three seconds, and so they kept outdated documents
// that long after the store was back. Their requests are held instead.
func TestPatientFollowerLearnsOfStoreReturn(t *testing.T) {
	gom := gomega.NewWithT(t)
	var down atomic.Bool
	ctl := started(t, proto.Store{Watch: func(context.Context, proto.Position, clock.Milli) (bool, error) {
		if down.Load() {
			return false, errors.New("down")
		}
		time.Sleep(10 * time.Millisecond)
		return false, nil
	}, Document: func(context.Context) (proto.Document, error) {
		if down.Load() {
			return proto.Document{}, errors.New("down")
		}
		return proto.Document{Position: proto.Position{Offset: 1}, End: 2}, nil
	}})
	ask := func(patient bool) (update, time.Duration) {
		vw := ctl.View()
		body, _ := cbor.Marshal(updateRequest{Offset: vw.Offset(), Digest: vw.digest, Patient: patient})
		began := time.Now()
		var upd update
		gom.Expect(cbor.Unmarshal(ctl.ServeFollower(context.Background(), peer.Message{Body: body}).Body, &upd)).To(gomega.Succeed())
		return upd, time.Since(began)
	}
	gom.Eventually(func() bool { return ctl.View().servable() }, soon).Should(gomega.BeTrue())
	down.Store(true)
	time.Sleep(maxStoreSilence.Duration() + 200*time.Millisecond)
	upd, took := ask(false)
	gom.Expect(upd.StoreSilence).To(gomega.BeNumerically(">", maxStoreSilence))
	gom.Expect(took).To(gomega.BeNumerically("<", updateHold/2))
	upd, took = ask(true)
	gom.Expect(upd.StoreSilence).To(gomega.BeNumerically(">", maxStoreSilence))
	gom.Expect(took).To(gomega.BeNumerically(">=", updateHold))
	down.Store(false)
	back := time.Now()
	gom.Eventually(func() clock.Milli {
		upd, _ := ask(true)
		return upd.StoreSilence
	}, soon).Should(gomega.BeNumerically("<", maxStoreSilence))
	gom.Expect(time.Since(back)).To(gomega.BeNumerically("<", maxRetryPause.Duration()+2*updateHold))
}

// Guards against a crash of the last instance: while it stops, it reads the entries of others, which
// have ended. Its ranking is empty then, without even itself, and it removes no entries. The
// process crashed there with requests in flight.
func TestLastInstanceStopsDuringLookup(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, proto.Store{})
	ctl.Leave(context.Background())
	gom.Expect(ctl.loop.Do(context.Background(), func(now clock.Milli) {
		before := entries("before", 3)
		for _, inst := range before {
			ctl.list.MarkEnded(ident.Incarnation(inst.Name), now)
		}
		for range 100 {
			ctl.list.Tick(now)
			now += clock.Second
		}
		gom.Expect(ctl.list.Owners(readersRankKey)).To(gomega.BeEmpty())
		ctl.withdrawEnded(before)
	})).To(gomega.BeTrue())
}

// Guards against a data race: an answer written while the caller, whose time is up, reads it.
func TestLateAnswerIsNotRead(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, proto.Store{})
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
