package state

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
)

// Guards against an outage that instances take for none, and against one that they see although the store answered all
// the while. The store is up or down in turns; instances read it, pause and hear of one another at random.
func TestReadsAgreeWithStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gom := gomega.NewWithT(t)
		all := make([]reads, rapid.IntRange(1, 5).Draw(t, "instances"))
		now, upSince, outages, up := clock.Milli(1), clock.Milli(1), false, true
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(1, 900).Draw(t, "later"))
			at := rapid.IntRange(0, len(all)-1).Draw(t, "who")
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what == 0 && up:
				up, outages = false, true
				for i := range all {
					all[i].failed(now + 1)
				}
				now += 2*maxReadGap + 2
			case what <= 1 && !up:
				up, upSince = true, now
			case what <= 6 && up:
				all[at].answered(now)
			case what <= 6:
				all[at].failed(now)
			default:
				all[at].merge(all[rapid.IntRange(0, len(all)-1).Draw(t, "from")])
			}
			for _, rds := range all {
				switch {
				case !rds.known:
				case !outages:
					gom.Expect(rds.failedAt).To(gomega.BeZero())
				case rds.until >= upSince:
					gom.Expect(rds.since).To(gomega.BeNumerically(">=", upSince), "an outage is noticed")
				}
			}
		}
	})
}

// Guards against an instance that takes its own start for the return of the store: it keeps endpoints that are gone and
// that another instance told it of.
func TestStartIsNoOutage(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	told := &listMark{Offset: 5, Age: 300, Since: 60_000, Until: 300}
	ect.reads.merge(told.reads(10_000))
	ect.applySnapshot(list("a", "gone"), told.provenance(provenance{}, 10_000, listedByState), 10_000)
	ect.applyRead(proto.Listing{Position: proto.Position{Offset: 6}, Endpoints: list("a")}, nil, 10_100, 10_120)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a"}))
}

// Guards against an instance that takes it for a failure of the store that it has not asked it.
func TestUnaskedStoreHasNotFailed(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: list("a", "gone")}, nil, 1000, 1010)
	ect.applyRead(proto.Listing{Endpoints: list("a", "gone")}, nil, 5000, 5010)
	ect.applyRead(proto.Listing{}, errStoreUnknown, 5700, 5700)
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 6400, 6410)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a"}))
	gom.Expect(ect.reads.uptime(6410)).To(gomega.Equal(clock.Milli(5410)))
	ect.applyRead(proto.Listing{}, errors.New("down"), 7000, 7100)
	gom.Expect(ect.reads.uptime(7100)).To(gomega.BeZero())
}

// Guards against a follower that takes the reads of its reader for none.
func TestFollowedReadsCount(t *testing.T) {
	gom := gomega.NewWithT(t)
	reader, who, _ := linked(t, newListStore(7, list("a", "b")...).client())
	gom.Eventually(func() bool { return reader.View().servable() }, soon).Should(gomega.BeTrue())
	follower, _, _ := linked(t, away)
	gom.Eventually(func() error { return follower.docs.follow(t.Context(), who, true) }, soon).Should(gomega.Succeed())
	gom.Eventually(func() bool { return follower.View().reads.known }, soon).Should(gomega.BeTrue())
	gom.Expect(follower.View().reads.since).To(gomega.BeNumerically("~", reader.View().reads.since, 100))
}

// Guards against entries that are kept after an outage for up to an interval longer than live endpoints take to renew
// theirs.
func TestKeptEntriesAreCheckedInTime(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: list("a", "gone")}, nil, 1000, 1010)
	ect.applyRead(proto.Listing{}, errors.New("down"), 5000, 5100)
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 9000, 9010)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "gone"}))
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 11000, 11010)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a", "gone"}))
	gom.Expect(ect.untilDue(fromStore, 11010)).To(gomega.Equal(9000 + lapsedGrace - 11010))
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 9000+lapsedGrace, 9010+lapsedGrace)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a"}))
}

// Guards against an instance that has kept entries once, and reads the list without a pause while the store is down.
func TestFailedReadsAreSpaced(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: list("a", "gone")}, nil, 1000, 1010)
	ect.applyRead(proto.Listing{}, errors.New("down"), 5000, 5100)
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 9000, 9010)
	// A read that was sent before the entries lapse, and answered after it, is followed by another one at once.
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 8990+lapsedGrace, 9010+lapsedGrace)
	gom.Expect(ect.untilDue(fromStore, 9010+lapsedGrace)).To(gomega.BeNumerically("<=", 0))
	for _, now := range []clock.Milli{9020 + lapsedGrace, 30000} {
		ect.applyRead(proto.Listing{}, errStoreDown, now, now)
		for _, src := range []source{fromStore, fromStoreRarely} {
			gom.Expect(ect.untilDue(src, now)).To(gomega.Equal(clock.FromDuration(pollInterval)))
		}
	}
}

// Guards against requests that are sent by the list from before an outage of the store for an interval longer than by
// the documents.
func TestListIsReadOnceTheStoreIsBack(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 1000, 1010)
	ect.ctl.docs.contacted(errStoreAway, 5000)
	ect.applyRead(proto.Listing{}, errStoreDown, 5100, 5100)
	gom.Expect(ect.untilDue(fromStore, 5200)).To(gomega.BeNumerically(">", 0))
	ect.ctl.docs.contacted(nil, 5200)
	gom.Expect(ect.untilDue(fromStore, 5200)).To(gomega.BeNumerically("<=", 0))
	ect.applyRead(proto.Listing{Endpoints: list("a")}, nil, 5210, 5220)
	ect.ctl.docs.contacted(nil, 5300)
	gom.Expect(ect.untilDue(fromStore, 5300)).To(gomega.BeNumerically(">", 0))
}
