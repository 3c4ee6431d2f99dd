package state

import (
	"context"
	"slices"
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
	"amaranthvalve/pkg/plan"
)

const (
	coldTime = 3 * clock.Second
	coldRate = 7.4
)

// coldPlan returns a plan whose pool p may be cold, and whose pool q may not.
func coldPlan() *plan.Plan {
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "p", ColdStartS: coldTime.Seconds(), ColdPerS: coldRate}, {Name: "q"}}})
	return pln
}

// coldEndpts returns a control state with a first list, whose loop does not run. The first event
// returned runs at an instant and publishes.
func coldEndpts(first ...string) (ctl *Control, at func(now clock.Milli, event func())) {
	ctl = New(Setup{Self: ident.NewIncarnation("127.0.0.1:1"), Meter: meter.New(), Log: zerolog.Nop()})
	ctl.docs.plan = coldPlan()
	// No messages are sent: the loop does not run.
	ctl.facts.flushPending = true
	at = func(now clock.Milli, event func()) {
		event()
		ctl.publish(now)
	}
	at(1000, func() { ctl.endpts.applyRead(proto.Listing{Endpoints: list(first...)}, nil, 1000, 1000) })
	return ctl, at
}

// rate returns the rate of an endpoint, zero for none.
func rate(ctl *Control, id ident.Process) float64 {
	perSecond, _ := ctl.View().Rate(id)
	return perSecond
}

// Guards against an endpoint that gets requests without bound while it is cold: listed for the first
// time, as a new run, by its entry, after a release, or told by another instance; and against one
// that stays limited.
func TestWaysToBecomeCold(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl, at := coldEndpts("a", "b@1000", "c", "d")
	gom.Expect(ctl.View().Rates()).To(gomega.BeEmpty(), "those of the first list may have started long ago")
	changed := 0
	ctl.set.OnChange = func(*View) { changed++ }
	at(2000, func() {
		ctl.endpts.applyRead(proto.Listing{Endpoints: list("a", "b@2000", "c", "d", "new")}, nil, 2000, 2000)
	})
	gom.Expect(ctl.View().Rates()).To(gomega.Equal(map[string]float64{"b@2000": coldRate, "new": coldRate}))
	told := list("a", "b@2000", "c", "d", "new")
	told[0].ColdLeft = 800
	at(2700, func() { ctl.endpts.applyRead(proto.Listing{Endpoints: told}, nil, 2700, 2700) })
	gom.Expect(rate(ctl, "a")).To(gomega.Equal(coldRate))
	at(2800, func() {
		fct := gossip.Fact{Kind: gossip.Cold, Key: "c", Value: formatLeft(2000), Version: 1, Age: 500}
		ctl.facts.receive(peer.Message{Facts: []gossip.Fact{fct}}, false, 2800)
	})
	gom.Expect(rate(ctl, "c")).To(gomega.Equal(coldRate))
	gom.Expect(ctl.View().coldPools).To(gomega.HaveKey("p"))
	gom.Expect(changed).To(gomega.Equal(3))

	// Ends are never early, and at most a second late.
	for _, end := range []struct {
		id    ident.Process
		until clock.Milli
	}{{"a", 3500}, {"c", 4300}, {"b@2000", 5000}, {"new", 5000}} {
		at(end.until-1, func() { ctl.stepped = true })
		gom.Expect(rate(ctl, end.id)).To(gomega.Equal(coldRate), string(end.id))
		at(end.until+1000, func() { ctl.stepped = true })
		gom.Expect(rate(ctl, end.id)).To(gomega.BeZero(), string(end.id))
	}
	gom.Expect(ctl.View().coldPools).To(gomega.BeEmpty())
	gom.Expect(changed).To(gomega.BeNumerically(">", 3), "the warm ones are used again")

	at(20_000, func() {
		ctl.stepped = true
		ctl.cold.released = func(string) (clock.Milli, bool) { return 19_900, true }
	})
	gom.Expect(ctl.View().Rates()).To(gomega.HaveLen(5))
	at(24_000, func() { ctl.stepped = true })
	gom.Expect(ctl.View().Rates()).To(gomega.BeEmpty())
}

// Guards against limits where a document names no cold time.
func TestOtherPoolsAreNeverCold(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl, at := coldEndpts("a")
	more := append(list("a"), proto.Endpoint{ID: "x", Addr: "x", Pool: "q", ColdLeft: 3000})
	at(2000, func() { ctl.endpts.applyRead(proto.Listing{Endpoints: more}, nil, 2000, 2000) })
	gom.Expect(ctl.View().Rates()).To(gomega.BeEmpty())
	gom.Expect(ctl.facts.spread.Len()).To(gomega.BeZero())
}

// Guards against the higher one of two rates, and against a cold rate that ends a declared one.
func TestLowerRateApplies(t *testing.T) {
	gom := gomega.NewWithT(t)
	vw := &View{
		declared: map[gossip.Kind]declaredBy{gossip.DeclaredRate: {"a": {value: 2}, "b": {value: 20}, "d": {value: 1}}},
		cold:     map[ident.Process]coldEnd{"a": {perSecond: 7}, "b": {perSecond: 7}, "c": {perSecond: 7}},
	}
	gom.Expect(vw.Rates()).To(gomega.Equal(map[string]float64{"a": 2, "b": 7, "c": 7, "d": 1}))
}

// Guards against entries that make each read of the store a change of the list, as their cold times
// count down: followers would get an update, and all pools be synchronized, with each of them; and
// against a time that is spread with each entry.
func TestCountdownIsNoChange(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl, at := coldEndpts("a", "b")
	eps := list("a", "b")
	eps[0].ColdLeft = 3000
	at(2000, func() { ctl.endpts.applyRead(proto.Listing{Endpoints: eps}, nil, 2000, 2000) })
	before, facts := ctl.View().digest, ctl.facts.spread.Digest()
	gom.Expect(facts).NotTo(gomega.BeZero())
	changed := 0
	ctl.set.OnChange = func(*View) { changed++ }
	for now := clock.Milli(2700); now < 5000; now += 700 {
		eps := list("a", "b")
		eps[0].ColdLeft, eps[0].EntryOffset = 5000-now+150, int64(now)
		at(now, func() { ctl.endpts.applyRead(proto.Listing{Endpoints: eps}, nil, now, now) })
		gom.Expect(ctl.View().Endpoints()).To(gomega.Equal(list("a", "b")))
	}
	gom.Expect(ctl.View().digest).To(gomega.Equal(before))
	gom.Expect(ctl.facts.spread.Digest()).To(gomega.Equal(facts))
	gom.Expect(changed).To(gomega.BeZero())
	again := list("a", "b")
	again[0].ColdLeft = 3000
	at(5100, func() { ctl.endpts.applyRead(proto.Listing{Endpoints: again}, nil, 5100, 5100) })
	gom.Expect(ctl.facts.spread.Digest()).NotTo(gomega.Equal(facts), "it is cold again")
}

// Guards against instances that answer one another with ever longer times for the same start.
func TestToldTimesAreNotProlonged(t *testing.T) {
	gom := gomega.NewWithT(t)
	here, hereAt := coldEndpts("a")
	there, thereAt := coldEndpts("a")
	hereAt(2000, func() { here.endpts.applyRead(proto.Listing{Endpoints: list("a", "b")}, nil, 2000, 2000) })
	thereAt(2200, func() { there.endpts.applyRead(proto.Listing{Endpoints: list("a", "b")}, nil, 2200, 2200) })
	exchange := func(now clock.Milli) {
		here.stepped, there.stepped = true, true
		hereAt(now, func() { here.facts.take(there.facts.spread.All(gossip.Cold, now), now) })
		thereAt(now, func() { there.facts.take(here.facts.spread.All(gossip.Cold, now), now) })
	}
	for now := clock.Milli(2300); now < 6500; now += 100 {
		exchange(now)
	}
	for _, ctl := range []*Control{here, there} {
		gom.Expect(rate(ctl, "b")).To(gomega.BeZero())
		for _, fct := range ctl.facts.spread.All(gossip.Cold, 6500) {
			gom.Expect(fct.Version).To(gomega.BeNumerically("<=", 2))
		}
	}
}

// Guards against an instance that starts, lists endpoints which became cold a moment ago, and takes
// them for warm: it may be the coordinator at once. It gets the facts with its first list.
func TestStartingInstanceLearnsWhatIsCold(t *testing.T) {
	gom := gomega.NewWithT(t)
	here, at := coldEndpts("a")
	at(2000, func() { here.endpts.applyRead(proto.Listing{Endpoints: list("a", "b")}, nil, 2000, 2000) })
	var upd update
	upd.fillEndpoints(here.View(), updateRequest{})
	upd.Cold = here.cold.current(2500)
	gom.Expect(upd.Cold).To(gomega.HaveLen(1))
	there := New(Setup{Self: ident.NewIncarnation("127.0.0.1:2"), Meter: meter.New(), Log: zerolog.Nop()})
	there.docs.plan, there.facts.flushPending = coldPlan(), true
	there.facts.take(upd.Cold, 2500)
	there.endpts.apply(upd.Endpoints, 2500)
	there.publish(2500)
	gom.Expect(rate(there, "b")).To(gomega.Equal(coldRate))
	gom.Expect(rate(there, "a")).To(gomega.BeZero())
	gom.Expect(here.cold.current(9000)).To(gomega.BeEmpty(), "it is warm")
	// Facts on cold endpoints go before others.
	for i := range 200 {
		_, _ = here.facts.spread.Set(gossip.DeclaredBrittle, ident.NewID(), string(rune('0'+i%10)), 2600)
	}
	gom.Expect(slices.ContainsFunc(here.facts.spread.Delta(0, 2600), func(fct gossip.Fact) bool { return fct.Kind == gossip.Cold })).To(gomega.BeTrue())
}

// Guards against an answer whose cold time is not heard, or is taken for that of another process, and
// against a running control state that does not return to the endpoint when it is warm.
func TestAnswerSaysCold(t *testing.T) {
	gom := gomega.NewWithT(t)
	var changes atomic.Int64
	ctl := startedWith(t, proto.Store{}, Setup{Clock: clock.Clock{}, OnChange: func(*View) { changes.Add(1) }})
	ctl.loop.Do(t.Context(), func(clock.Milli) { ctl.docs.plan, ctl.dirty = coldPlan(), true })
	gom.Eventually(func() int { return len(ctl.View().Endpoints()) }, soon).Should(gomega.Equal(1))
	for _, ntc := range []proto.Notice{{Endpoint: "another", ColdLeft: 500}, {ColdLeft: 500}, {Endpoint: "e1"}} {
		ctl.RecordNotice("e1", ntc, clock.Clock{}.Now(), "")
	}
	ctl.loop.Do(context.Background(), func(clock.Milli) {})
	gom.Expect(ctl.View().Rates()).To(gomega.BeEmpty())
	ctl.RecordNotice("e1", proto.Notice{Endpoint: "e1", ColdLeft: 500}, clock.Clock{}.Now(), "")
	gom.Eventually(func() float64 { return rate(ctl, "e1") }, soon).Should(gomega.Equal(coldRate))
	// An instance that starts is told with the whole list and with the documents.
	body, err := cbor.Marshal(updateRequest{})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	var upd update
	gom.Expect(cbor.Unmarshal(ctl.ServeFollower(t.Context(), peer.Message{Body: body}).Body, &upd)).To(gomega.Succeed())
	gom.Expect(upd.Cold).To(gomega.HaveLen(1))
	var snp snapshot
	gom.Expect(cbor.Unmarshal(ctl.Handle(t.Context(), peer.Message{Kind: peer.GetState}).Body, &snp)).To(gomega.Succeed())
	gom.Expect(snp.Cold).To(gomega.HaveLen(1))
	before := changes.Load()
	gom.Consistently(func() float64 { return rate(ctl, "e1") }, 500*time.Millisecond).Should(gomega.Equal(coldRate))
	gom.Eventually(func() float64 { return rate(ctl, "e1") }, soon).Should(gomega.BeZero())
	gom.Expect(changes.Load()).To(gomega.BeNumerically(">", before))
}

// Guards against an endpoint that becomes cold again before its next entry is read, which names the same
// time: it would be taken for the entry read before.
func TestColdAgain(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl, at := coldEndpts("a")
	for i, now := range []clock.Milli{2000, 3500} {
		eps := list("a")
		eps[0].ColdLeft, eps[0].EntryOffset = coldTime, int64(i+5)
		at(now, func() { ctl.endpts.applyRead(proto.Listing{Endpoints: eps}, nil, now, now) })
	}
	at(3500+coldTime-1, func() { ctl.stepped = true })
	gom.Expect(rate(ctl, "a")).To(gomega.Equal(coldRate))
}
