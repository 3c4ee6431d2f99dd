package state

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

func newEndpts() *endptsCtl {
	ctl := New(Setup{Self: ident.NewIncarnation("127.0.0.1:1"), Meter: meter.New(), Log: zerolog.Nop()})
	return &ctl.endpts
}

func list(ids ...string) []talk.Endpoint {
	var eps []talk.Endpoint
	for _, id := range ids {
		eps = append(eps, talk.Endpoint{ID: ident.Process(id), Addr: id, Pool: "p"})
	}
	return eps
}

func names(eps []talk.Endpoint) []string {
	var ids []string
	for _, ep := range eps {
		ids = append(ids, string(ep.ID))
	}
	return ids
}

// TestGoneStayGoneAfterFollowing: an instance is told of the endpoints by a reader,
// and one of them leaves. The reader is lost, and the instance reads the store
// itself. What is missing there is gone: taken for lapsed, the endpoint would get
// work for seconds after it left.
func TestGoneStayGoneAfterFollowing(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.take(list("a", "b"), 0)
	ect.followed = 9000
	gom.Expect(ect.toldAt(10000)).To(gomega.BeTrue())
	ect.followed = 0
	gom.Expect(ect.toldAt(10100)).To(gomega.BeFalse())
	ect.read(list("a"), nil, nil, 10200)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a"}))
}

// TestLapsedAreWaitedFor: the store is down for a while and drops the entries of
// endpoints that could not write meanwhile. They answer as ever. Right after its
// return they are not taken to be gone; those that are still missing after the time
// in which the living write again are.
func TestLapsedAreWaitedFor(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.read(list("a", "b", "c"), nil, nil, 0)
	ect.read(list("a", "b", "c"), nil, nil, backAfter)
	ect.read(nil, nil, errors.New("down"), 5000)
	ect.read(list("a"), nil, nil, 10000)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "b", "c"}))
	ect.read(list("a", "b"), nil, nil, 12000)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "b", "c"}))
	ect.read(list("a", "b"), nil, nil, 10000+backAfter)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "b"}))
}

// TestOwnOutageKeepsNothing: an instance is cut off for a while, from the store and all
// others, and an endpoint leaves meanwhile. Back in touch, it hears from another one
// that the store has been up all the while: the outage was its own, and what is
// missing is gone. Waited for, the endpoint would get work three seconds after it left.
func TestOwnOutageKeepsNothing(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.read(list("a", "b"), nil, nil, 0)
	ect.heardUpFor(1000, 4000)
	ect.read(nil, nil, errors.New("cut off"), 5000)
	ect.read(list("a"), nil, nil, 10000)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "b"}), "what was said before the outage tells nothing of it")
	ect.heardUpFor(9000, 10100)
	ect.read(list("a"), nil, nil, 10200)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a"}))
}

// TestReplacedDontComeBack: while the store was down an endpoint died and another
// one took its address. The dead one's line is not kept beside it.
func TestReplacedDontComeBack(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.read(list("a"), nil, nil, 0)
	ect.read(nil, nil, errors.New("down"), 5000)
	ect.read([]talk.Endpoint{{ID: "new", Addr: "a", Pool: "q"}}, nil, nil, 6000)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"new"}))
}

// TestLeavingStays: an endpoint was heard to be leaving. The store's list lags and
// calls it ready; it stays leaving here.
func TestLeavingStays(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.read(list("a"), nil, nil, 0)
	ect.heardLeaving("a", "test", 100)
	ect.read(list("a"), nil, nil, 700)
	gom.Expect(ect.list[0].Leaving).To(gomega.BeTrue())
	gom.Expect(ect.lately()).To(gomega.Equal([]string{"a"}))
	ect.step(100 + leftFor + 1)
	gom.Expect(ect.lately()).To(gomega.BeEmpty())
}

// TestDocumentsNeverGoBack: a read that was under way for long brings an older
// document after a newer one. It is not taken.
func TestDocumentsNeverGoBack(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	dct := &ect.ctl.docs
	ect.ctl.set.Dialect = &talk.Dialect{Compile: compileNothing}
	dct.take(talk.Document{Offset: 7, Text: []byte("new")}, 100, 120, "store")
	dct.take(talk.Document{Offset: 5, Text: []byte("old")}, 200, 220, "store")
	gom.Expect(dct.offset).To(gomega.Equal(int64(7)))
	gom.Expect(dct.asOf).To(gomega.Equal(clock.Milli(100)), "an older document confirms nothing")
	dct.take(talk.Document{Offset: 7, Text: []byte("new")}, 300, 320, "store")
	gom.Expect(dct.asOf).To(gomega.Equal(clock.Milli(300)))
}

func compileNothing([]byte) (*plan.Plan, []error) { return plan.Compile(plan.Draft{}) }
