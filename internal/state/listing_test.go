package state

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

// drainBound is the users' bound on requests to an endpoint after the store has acknowledged that it
// leaves.
const drainBound = 2 * time.Second

// listStore is a store whose list of endpoints changes.
type listStore struct {
	mtx sync.Mutex
	lst proto.Listing
}

func (sto *listStore) set(offset int64, eps ...proto.Endpoint) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	sto.lst = proto.Listing{Position: proto.Position{Offset: offset}, Endpoints: eps}
}

func (sto *listStore) endpoints(context.Context) (proto.Listing, error) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	// Each answer is the reader's own.
	lst := sto.lst
	lst.Endpoints = slices.Clone(lst.Endpoints)
	return lst, nil
}

func (sto *listStore) client() proto.Store {
	return proto.Store{Endpoints: sto.endpoints, Watch: func(ctx context.Context, _ proto.Position, wait clock.Milli) (bool, error) {
		pause(ctx, wait.Duration())
		return false, ctx.Err()
	}}
}

func newListStore(offset int64, eps ...proto.Endpoint) *listStore {
	sto := &listStore{}
	sto.set(offset, eps...)
	return sto
}

// leaving returns endpoints that announced their end.
func leaving(ids ...string) []proto.Endpoint {
	eps := list(ids...)
	for i := range eps {
		eps[i].Leaving = true
	}
	return eps
}

// Guards against endpoints that come back, or are ready again, when an instance turns to another reader, which has
// read the store less recently.
func TestOlderListReplacesNoNewerOne(t *testing.T) {
	gom := gomega.NewWithT(t)
	_, ahead, _ := linked(t, newListStore(9, append(list("a"), leaving("b")...)...).client())
	late := newListStore(7, list("a", "b", "gone")...)
	behind, lateWho, _ := linked(t, late.client())
	gom.Eventually(func() bool { return behind.View().servable() }, soon).Should(gomega.BeTrue())
	follower, _, _ := linked(t, away)
	follow := func(who ident.Incarnation) {
		gom.Eventually(func() error { return follower.docs.follow(t.Context(), who, true) }, soon).Should(gomega.Succeed())
	}
	seen := func() string {
		vw := follower.View()
		return fmt.Sprint(names(vw.Endpoints()), vw.IsLeaving("b"))
	}
	follow(ahead)
	gom.Eventually(seen, soon).Should(gomega.Equal("[a b] true"))
	follow(lateWho)
	gom.Consistently(seen, 100*time.Millisecond).Should(gomega.Equal("[a b] true"))

	late.set(11, list("a", "c")...)
	gom.Eventually(func() string {
		follow(lateWho)
		return seen()
	}, soon).Should(gomega.Equal("[a c] true"), "the reader has read the store since")
}

// blindSetup is that of an instance which reaches no endpoint, and is the last one to read the store for others.
var blindSetup = Setup{Blind: func() (blind, recovering bool) { return true, false }}

// Guards against an older list that arrives late, as when a newer one came from elsewhere while a request was held at
// a reader, and against losing it for good: the reader finds the same list when it reads the store again.
func TestLateListIsAppliedOnceItIsConfirmed(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	at := func(offset int64, from string) provenance {
		return provenance{pos: proto.Position{Offset: offset}, asOf: clock.Milli(offset), from: from}
	}
	ect.receive(list("a"), at(9, listedByStore), 9)
	late := endpointList{Digest: digest(list("a", "b")), List: list("a", "b")}
	ect.receiveFrom(late, at(8, "reader"), 10)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a"}))
	gom.Expect(ect.listed).To(gomega.Equal(at(9, listedByStore)))
	ect.receiveFrom(late, at(10, "reader"), 11)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "b"}))
	gom.Expect(ect.listed).To(gomega.Equal(at(10, "reader")))
	ect.receiveFrom(late, at(12, "reader"), 13)
	gom.Expect(ect.listed).To(gomega.Equal(at(12, "reader")), "an unchanged list is younger once it has been read again")
	rebuilt := endpointList{Digest: late.Digest, Builds: 5, List: list("a", "b")}
	rebuilt.List[0].Build = "v2"
	ect.receiveFrom(rebuilt, at(13, "reader"), 13)
	gom.Expect(ect.list[0].Build).To(gomega.Equal("v2"), "another build is another list")
	newEra := at(1, listedByStore)
	newEra.pos.Era = 1
	ect.receive(list("a", "c"), newEra, 14)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "c"}), "offsets begin anew in a copy of the store")
	ect.receive(list("a", "b"), at(15, "reader"), 15)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "c"}))
	anew := newEra
	anew.pos.Offset, anew.asOf = 0, newEra.asOf+staleAfter+20
	ect.receive(list("d"), anew, anew.asOf)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"d"}), "the log has begun anew")
}

// Guards against a reader that sends its list again and again to a follower with a newer one, which ignores it.
func TestReaderSendsNoOlderList(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl, _, _ := linked(t, newListStore(7, list("a", "b")...).client())
	gom.Eventually(func() bool { return ctl.View().servable() }, soon).Should(gomega.BeTrue())
	vw, now := ctl.View(), ctl.set.Clock.Now()
	gom.Expect(vw.hasUpdate(updateRequest{List: &listMark{Offset: 8}}, now)).To(gomega.BeFalse())
	gom.Expect(vw.hasUpdate(updateRequest{List: &listMark{Offset: 7}}, now)).To(gomega.BeTrue())
	gom.Expect(vw.hasUpdate(updateRequest{}, now)).To(gomega.BeTrue(), "followers of earlier builds say nothing of their list")
}

// Guards against requests to endpoints that left, or are gone, while all readers of an instance are killed: it must
// notice that its list gets old, and read the store itself, which has been up all the while.
func TestDeadReadersDontHideEnds(t *testing.T) {
	for _, wait := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			t.Parallel()
			gom := gomega.NewWithT(t)
			sto := newListStore(1, list("a", "leaves", "goes")...)
			frozen := newListStore(1, list("a", "leaves", "goes")...)
			ctx, kill := context.WithCancel(t.Context())
			defer kill()
			follower, _, _ := linkedWith(t, sto.client(), blindSetup, sameAddr)
			for range minReaders {
				addReader(ctx, t, follower, frozen.client())
			}
			gom.Eventually(follower.IsFollower, soon).Should(gomega.BeTrue())
			gom.Eventually(func() int { return len(follower.View().Endpoints()) }, soon).Should(gomega.Equal(3))
			gom.Consistently(follower.IsFollower, drainBound).Should(gomega.BeTrue())

			// The readers don't read the store again before they are killed.
			acked := time.Now()
			sto.set(2, append(list("a"), leaving("leaves")...)...)
			time.AfterFunc(wait, kill)
			gom.Eventually(func() string {
				vw := follower.View()
				return fmt.Sprint(names(vw.Endpoints()), vw.IsLeaving("leaves"))
			}, soon, 10*time.Millisecond).Should(gomega.Equal("[a leaves] true"))
			gom.Expect(time.Since(acked)).To(gomega.BeNumerically("<", drainBound))
		})
	}
}

// Guards against an instance that goes on with an old list while its readers answer, but can't read the endpoints.
func TestReaderWithoutListHidesNoEnds(t *testing.T) {
	gom := gomega.NewWithT(t)
	sto := newListStore(1, list("a", "leaves", "goes")...)
	stuck := newListStore(1, list("a", "leaves", "goes")...)
	var hangs atomic.Bool
	cli := stuck.client()
	cli.Endpoints = func(ctx context.Context) (proto.Listing, error) {
		if hangs.Load() {
			<-ctx.Done()
		}
		return stuck.endpoints(ctx)
	}
	follower, _, _ := linkedWith(t, sto.client(), blindSetup, sameAddr)
	for range minReaders {
		addReader(t.Context(), t, follower, cli)
	}
	gom.Eventually(follower.IsFollower, soon).Should(gomega.BeTrue())
	gom.Consistently(follower.IsFollower, drainBound).Should(gomega.BeTrue())
	hangs.Store(true)
	acked := time.Now()
	sto.set(2, append(list("a"), leaving("leaves")...)...)
	gom.Eventually(func() string {
		vw := follower.View()
		return fmt.Sprint(names(vw.Endpoints()), vw.IsLeaving("leaves"))
	}, soon, 10*time.Millisecond).Should(gomega.Equal("[a leaves] true"))
	gom.Expect(time.Since(acked)).To(gomega.BeNumerically("<", drainBound))
}

// Guards against a list that stays old for seconds, and is handed on to others, when an instance that followed another
// one becomes a reader itself.
func TestNewReaderReadsAtOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.receiveFrom(endpointList{Digest: 1, List: list("a")}, provenance{asOf: 9500, from: "reader"}, 10000)
	gom.Expect(ect.untilDue(fromOther, 10000)).To(gomega.BeNumerically(">=", maxListAge-500))
	gom.Expect(ect.untilDue(fromStore, 10000)).To(gomega.BeNumerically("<=", 0))
	gom.Expect(ect.untilDue(fromStoreRarely, 10000)).To(gomega.BeNumerically("<=", 0))
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 10000, 10010)
	gom.Expect(ect.untilDue(fromStore, 10010)).To(gomega.Equal(clock.FromDuration(pollInterval)))
}

// addReader runs a reader of a store, and makes it known to a follower. After the context has ended it is silent.
func addReader(ctx context.Context, t *testing.T, follower *Control, sto proto.Store) ident.Incarnation {
	t.Helper()
	_, who, _ := linkedWith(t, sto, Setup{}, func(addr string) string { return forwarded(ctx, t, addr) })
	follower.loop.Do(t.Context(), func(now clock.Milli) {
		follower.list.Merge([]member.Update{{ID: who, Zone: "z", Caller: who.Addr(), Seq: 1}}, now)
	})
	return who
}

// forwarded returns an address whose packets are forwarded to another one, and back, until the context ends.
func forwarded(ctx context.Context, t *testing.T, addr string) string {
	gom := gomega.NewWithT(t)
	target, err := net.ResolveUDPAddr("udp", addr)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = front.Close() })
	go func() {
		backs := map[string]*net.UDPConn{}
		eachPacket(ctx, front, func(packet []byte, from *net.UDPAddr) {
			back := backs[from.String()]
			if back == nil {
				if back, err = net.DialUDP("udp", nil, target); err != nil {
					return
				}
				t.Cleanup(func() { _ = back.Close() })
				backs[from.String()] = back
				go eachPacket(ctx, back, func(packet []byte, _ *net.UDPAddr) { _, _ = front.WriteToUDP(packet, from) })
			}
			_, _ = back.Write(packet)
		})
	}()
	return front.LocalAddr().String()
}

// eachPacket calls do with each packet that a socket receives until the context ends.
func eachPacket(ctx context.Context, con *net.UDPConn, do func(packet []byte, from *net.UDPAddr)) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := con.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if ctx.Err() == nil {
			do(buf[:size], from)
		}
	}
}
