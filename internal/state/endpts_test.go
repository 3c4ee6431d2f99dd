package state

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

func newEndpts() *endptsCtl {
	ctl := New(Setup{Self: ident.NewIncarnation("127.0.0.1:1"), Meter: meter.New(), Log: zerolog.Nop()})
	return &ctl.endpts
}

func list(ids ...string) []proto.Endpoint {
	var eps []proto.Endpoint
	for _, id := range ids {
		eps = append(eps, proto.Endpoint{ID: ident.Process(id), Addr: id, Pool: "p"})
	}
	return eps
}

func names(eps []proto.Endpoint) []string {
	var ids []string
	for _, ep := range eps {
		ids = append(ids, string(ep.ID))
	}
	return ids
}

// Guards against endpoints that come back when an instance stops following a reader and reads the
// store itself: taken for lapsed, an endpoint that left would get requests for seconds more.
func TestGoneStayGoneAfterFollowing(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.apply(list("a", "b"), 0)
	ect.receiveFrom(endpointList{Digest: 1, List: list("a", "b")}, provenance{asOf: 9000, from: "reader"}, 9000)
	ect.reads.merge(reads{known: true, since: 0, until: 9000})
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 10200, 10200)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a"}))
}

// Guards against dropping endpoints that still answer, but whose entries expired during an outage of
// the store. They are kept right after it, and dropped once the time for renewing entries has passed.
func TestLapsedEntriesAreKept(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: list("a", "b", "c")}, nil, 0, 0)
	ect.applyRead(proto.Listing{Endpoints: list("a", "b", "c")}, nil, lapsedGrace, lapsedGrace)
	ect.applyRead(proto.Listing{}, errors.New("down"), 5000, 5000)
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 10000, 10000)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "b", "c"}))
	ect.applyRead(proto.Listing{Endpoints: list("a", "b")}, nil, 12000, 12000)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "b", "c"}))
	ect.applyRead(proto.Listing{Endpoints: list("a", "b")}, nil, 10000+lapsedGrace, 10000+lapsedGrace)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "b"}))
}

// Guards against keeping an endpoint that left while only this instance was partitioned. Once
// another instance reports that the store was up throughout, the missing endpoint is gone; kept as
// lapsed, it would get requests for three seconds more.
func TestOwnOutageKeepsNoEndpoints(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: list("a", "b")}, nil, 0, 0)
	ect.reads.merge(reads{known: true, since: 3000, until: 4000})
	ect.applyRead(proto.Listing{}, errors.New("cut off"), 5000, 5000)
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 10000, 10000)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "b"}), "an uptime reported before the outage says nothing about it")
	ect.reads.merge(reads{known: true, since: 1100, until: 10100})
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 10200, 10200)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a"}))
}

// Guards against keeping the entry of an endpoint that died during an outage beside that of the one
// that took over its address.
func TestReplacedDontComeBack(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 0, 0)
	ect.applyRead(proto.Listing{}, errors.New("down"), 5000, 5000)
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{{ID: "new", Addr: "a", Pool: "q"}}}, nil, 6000, 6000)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"new"}))
}

// Guards against a leaving endpoint that becomes ready again through an outdated list of the store, or
// after a time although its process still runs.
func TestLeavingStays(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: list("a", "b")}, nil, 0, 0)
	ect.markLeaving("a", "test", 100)
	later := 100 + 10*leavingRetention
	for _, now := range []clock.Milli{700, later} {
		ect.applyRead(proto.Listing{Endpoints: list("a", "b")}, nil, now, now)
		ect.step(now)
		gom.Expect(ect.list[0].Leaving).To(gomega.BeTrue())
		gom.Expect(ect.leavingIDs()).To(gomega.Equal([]string{"a"}))
	}
	left := list("a", "b")
	left[1].Leaving = true
	ect.applyRead(proto.Listing{Endpoints: left}, nil, later+10, later+10)
	ect.applyRead(proto.Listing{Endpoints: list("a", "b")}, nil, later+20, later+20)
	gom.Expect(ect.list[1].Leaving).To(gomega.BeTrue())
	ect.applyRead(proto.Listing{Endpoints: list("b")}, nil, later+2*runRetention, later+2*runRetention)
	ect.step(later + 2*runRetention)
	gom.Expect(ect.leavingIDs()).To(gomega.BeEmpty())
}

// Guards against an older document, returned by a slow read, that replaces a newer one.
func TestDocumentsNeverGoBack(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	dct := &ect.ctl.docs
	ect.ctl.set.Dialect = &proto.Dialect{Compile: compileNothing}
	dct.applyRead(proto.Document{Position: proto.Position{Offset: 7}, Text: []byte("new")}, 100, 120)
	dct.applyRead(proto.Document{Position: proto.Position{Offset: 5}, Text: []byte("old")}, 200, 220)
	gom.Expect(dct.doc.Offset).To(gomega.Equal(int64(7)))
	gom.Expect(dct.asOf).To(gomega.Equal(clock.Milli(100)), "an older document confirms nothing")
	dct.applyRead(proto.Document{Position: proto.Position{Offset: 7}, Text: []byte("new")}, 300, 320)
	gom.Expect(dct.asOf).To(gomega.Equal(clock.Milli(300)))
}

func compileNothing([]byte) (*plan.Plan, []error) { return plan.Compile(plan.Draft{}) }
