package coord

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/sticky"
)

// bindingPeers are coordinators that are linked to each other.
type bindingPeers struct {
	crds    []*Coordinator
	ids     []ident.Incarnation
	ranking atomic.Pointer[[]ident.Incarnation]
}

func newBindingPeers(t *testing.T, count int) *bindingPeers {
	gom := gomega.NewWithT(t)
	bps := &bindingPeers{crds: make([]*Coordinator, count)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range count {
		server, client, err := peer.EphemeralTLS()
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		lnk, err := peer.Listen("127.0.0.1:0", server, client, func(_ context.Context, msg peer.Message) peer.Message {
			switch msg.Kind {
			case peer.NoteBindings:
				return bps.crds[i].HandleBindings(msg)
			case peer.FindBinding:
				return bps.crds[i].HandleFind(msg)
			}
			return bps.crds[i].HandleReports(msg)
		})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		bps.ids = append(bps.ids, ident.NewIncarnation(lnk.Addr()))
		ctl := state.New(state.Setup{Self: bps.ids[i], Meter: meter.New(), Log: zerolog.Nop()})
		bps.crds[i] = New(Setup{Control: ctl, Pools: pools.New(pools.Setup{}), Link: lnk, Log: zerolog.Nop(), Ranking: func(string) []ident.Incarnation { return *bps.ranking.Load() }})
		go lnk.Serve(ctx)
	}
	return bps
}

// soon bounds the waits of tests.
const soon = 5 * time.Second

// rank sets the order in which instances coordinate all pools, and returns a view of it.
func (bps *bindingPeers) rank(list ...ident.Incarnation) *state.View {
	bps.ranking.Store(&list)
	pln, _ := plan.Compile(plan.Draft{})
	return state.ViewOf(pln).WithBrittlePool("engines", list...)
}

// found returns the build of a stream as an instance knows it, without asking others.
func (bps *bindingPeers) found(i int, key sticky.Key) func() string {
	return func() string {
		return bps.crds[i].bindings.find(bindingQuery{Pools: []string{"engines"}, Key: key}, bps.crds[i].set.Clock.Now()).Build
	}
}

// Guards against streams that can't be resumed since the instances that knew their build have ended.
func TestNewHoldersGetBindings(t *testing.T) {
	gom := gomega.NewWithT(t)
	bps := newBindingPeers(t, 5)
	began, elsewhere := sticky.KeyOf("began at the coordinator"), sticky.KeyOf("began at another instance")
	before := bps.rank(bps.ids...)
	bps.crds[0].BindStream(before, "engines", "v1", began)
	bps.crds[4].BindStream(before, "engines", "v1.1", elsewhere)
	for _, i := range []int{1, 2} {
		gom.Eventually(bps.found(i, began), soon).Should(gomega.Equal("v1"), "holder %d", i)
	}
	gom.Eventually(bps.found(0, elsewhere), soon).Should(gomega.Equal("v1.1"))
	gom.Expect(bps.found(3, began)()).To(gomega.BeEmpty())
	for _, crd := range bps.crds {
		crd.handOver()
	}
	// The first coordinator has ended.
	bps.rank(bps.ids[1:]...)
	for _, crd := range bps.crds[1:] {
		crd.handOver()
	}
	gom.Eventually(bps.found(3, began), soon).Should(gomega.Equal("v1"))
	gom.Eventually(bps.found(3, elsewhere), soon).Should(gomega.Equal("v1.1"))
	gom.Expect(bps.found(4, began)()).To(gomega.BeEmpty())
}

// Guards against a binding that is lost with the coordinator to which it was reported.
func TestBindingsGoToOtherHolders(t *testing.T) {
	gom := gomega.NewWithT(t)
	bps := newBindingPeers(t, 3)
	key := sticky.KeyOf("a stream")
	gone := ident.NewIncarnation("127.0.0.1:9")
	// The connections take a while to make.
	first := sticky.KeyOf("a stream before")
	bps.crds[0].BindStream(bps.rank(bps.ids[1], bps.ids[2]), "engines", "v1", first)
	for _, i := range []int{1, 2} {
		gom.Eventually(bps.found(i, first), 5*time.Second).Should(gomega.Equal("v1"), "holder %d", i)
	}
	vw := bps.rank(gone, bps.ids[1], bps.ids[2])
	bps.crds[0].BindStream(vw, "engines", "v1", key)
	for _, i := range []int{1, 2} {
		gom.Eventually(bps.found(i, key), reportTimeout/2).Should(gomega.Equal("v1"), "holder %d", i)
	}
}

// Guards against a stream that is resumed at one of two builds by which instances know it.
func TestContradictionsBindToNone(t *testing.T) {
	gom := gomega.NewWithT(t)
	one, two := Bound{Pool: "engines", Build: "v1", Known: true}, Bound{Pool: "engines", Build: "v2", Known: true}
	other, none := Bound{Pool: "others", Build: "v1", Known: true}, Bound{Known: true}
	for _, tst := range []struct{ left, right, want Bound }{
		{Bound{}, Bound{}, Bound{}},
		{one, Bound{}, one},
		{Bound{}, one, one},
		{one, one, one},
		{one, two, none},
		{one, other, none},
		{one, none, none},
		{none, one, none},
	} {
		gom.Expect(tst.left.merge(tst.right)).To(gomega.Equal(tst.want), "%v and %v", tst.left, tst.right)
	}
	var bds bindings
	key := sticky.KeyOf("a stream")
	bds.learn("engines", []sticky.Binding{{Key: key, Build: "v1"}}, 0)
	bds.learn("others", []sticky.Binding{{Key: key, Build: "v1"}}, 0)
	gom.Expect(bds.find(bindingQuery{Pools: []string{"engines"}, Key: key}, 0)).To(gomega.Equal(one))
	gom.Expect(bds.find(bindingQuery{Pools: []string{"engines", "others"}, Key: key}, 0)).To(gomega.Equal(none))
}

// Guards against a stream without a name that goes on by the word of too few instances, or of one that is cut off from all
// and from the store, and against one that is refused although most of the holders answer.
func TestUnnamedStreamsNeedConfirmation(t *testing.T) {
	gom := gomega.NewWithT(t)
	bps := newBindingPeers(t, 3)
	key, engines := sticky.KeyOf("a request"), []string{"engines"}
	bps.crds[0].bindings.begin("engines", []sticky.Binding{{Key: key, Build: "v1"}}, bps.crds[0].set.Clock.Now())
	self, one, two := bps.ids[0], bps.ids[1], bps.ids[2]
	gone, lost := ident.NewIncarnation("127.0.0.1:9"), ident.NewIncarnation("127.0.0.1:10")
	for _, tst := range []struct {
		ranking []ident.Incarnation
		known   bool
	}{
		{[]ident.Incarnation{self, one, two}, true},
		{[]ident.Incarnation{self, one, gone}, true},
		{[]ident.Incarnation{one, two, gone, self}, true},
		{[]ident.Incarnation{gone, lost, one, two, self}, true},
		{[]ident.Incarnation{self, gone, lost}, false},
		{[]ident.Incarnation{gone, lost, one, self}, false},
		{[]ident.Incarnation{self}, false},
	} {
		bps.rank(tst.ranking...)
		ask := func() bool {
			bnd, _ := bps.crds[0].FindUnnamed(t.Context(), engines, key)
			return bnd.Known
		}
		if tst.known {
			// The first call to a peer takes a handshake.
			gom.Eventually(ask, soon).Should(gomega.BeTrue(), "%v", tst.ranking)
		} else {
			gom.Expect(ask()).To(gomega.BeFalse(), "%v", tst.ranking)
		}
	}
	bps.rank(self, one, two)
	bps.crds[2].bindings.begin("engines", []sticky.Binding{{Key: key, Build: "v2"}}, bps.crds[2].set.Clock.Now())
	bnd, _ := bps.crds[0].FindUnnamed(t.Context(), engines, key)
	gom.Expect(bnd).To(gomega.Equal(Bound{Known: true}))
}

// Guards against answers that instances of earlier versions can't read, and against theirs.
func TestBindingAnswersAreReadByEarlierVersions(t *testing.T) {
	gom := gomega.NewWithT(t)
	want := Bound{Pool: "engines", Build: "v1", Known: true}
	body, err := cbor.Marshal(bindingAnswer{Bound: want, Builds: map[string][]string{"engines": {"v1", "v2"}}})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	var earlier Bound
	gom.Expect(cbor.Unmarshal(body, &earlier)).To(gomega.Succeed())
	gom.Expect(earlier).To(gomega.Equal(want))
	body, err = cbor.Marshal(want)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	var ans bindingAnswer
	gom.Expect(cbor.Unmarshal(body, &ans)).To(gomega.Succeed())
	gom.Expect(ans).To(gomega.Equal(bindingAnswer{Bound: want}))
}
