package cold

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

const span = 3 * clock.Second

func ExampleTracker() {
	var trk Tracker
	trk.List([]string{"e-1"}, 1000)
	trk.List([]string{"e-1", "e-2"}, 2000)
	trk.Entry("e-1", Entry{Left: 700}, 2000)
	list := []Endpoint{{ID: "e-1", Span: span}, {ID: "e-2", Span: span}, {ID: "e-3", Span: span, ReleasedAt: 1500}, {ID: "e-4", Span: span, ToldUntil: 2200}}
	ends := trk.Ends(list, 2100)
	for _, ep := range list {
		fmt.Println(ep.ID, ends[ep.ID].Until, ends[ep.ID].Reason)
	}
	// Output:
	// e-1 2700 reported
	// e-2 5000 started
	// e-3 4500 released
	// e-4 2200 told
}

// endOf returns the end of an endpoint's cold time, zero if it is warm.
func endOf(trk *Tracker, ep Endpoint, now clock.Milli) clock.Milli {
	return trk.Ends([]Endpoint{ep}, now)[ep.ID].Until
}

// Guards against endpoints of the first list that are presumed cold: an instance that starts would
// limit the whole pool.
func TestFirstListIsNotPresumedCold(t *testing.T) {
	gom := gomega.NewWithT(t)
	var trk Tracker
	trk.List([]string{"a"}, 1000)
	trk.List([]string{"a", "b"}, 1700)
	gom.Expect(endOf(&trk, Endpoint{ID: "a", Span: span}, 1700)).To(gomega.BeZero())
	gom.Expect(endOf(&trk, Endpoint{ID: "b", Span: span}, 1700)).To(gomega.Equal(1700 + span))
	gom.Expect(endOf(&trk, Endpoint{ID: "b", Span: span}, 1700+span)).To(gomega.BeZero(), "it is warm again")
	gom.Expect(endOf(&trk, Endpoint{ID: "b"}, 1700)).To(gomega.BeZero(), "its pool is never cold")
}

// Guards against an endpoint that is presumed cold because its entry lapsed for some seconds, as in
// an outage of the store, and against memory for endpoints that are gone for long.
func TestLapsedEntryIsNoStart(t *testing.T) {
	gom := gomega.NewWithT(t)
	var trk Tracker
	trk.List([]string{"a"}, 1000)
	trk.List(nil, 2000)
	trk.List([]string{"b"}, 2100)
	trk.List([]string{"a"}, 2000+goneRetention)
	gom.Expect(endOf(&trk, Endpoint{ID: "a", Span: span}, 2000+goneRetention)).To(gomega.BeZero())
	for i := range clock.Milli(1000) {
		trk.List([]string{fmt.Sprint(i)}, i*clock.Second+clock.Minute)
	}
	gom.Expect(len(trk.byID)).To(gomega.BeNumerically("<", 40))
}

// Guards against a cold time that each read of the same entry prolongs: the store keeps an entry for
// seconds, and an endpoint would stay cold as long as that.
func TestSameEntryDoesNotProlong(t *testing.T) {
	gom := gomega.NewWithT(t)
	var trk Tracker
	trk.List([]string{"a"}, 1000)
	ep := Endpoint{ID: "a", Span: span}
	for now := clock.Milli(1000); now < 9000; now += 700 {
		trk.Entry("a", Entry{Left: 2000, Offset: 4}, now)
	}
	gom.Expect(endOf(&trk, ep, 1500)).To(gomega.Equal(clock.Milli(3000)))
	trk.Entry("a", Entry{Left: 2000, Offset: 5}, 10_000)
	gom.Expect(endOf(&trk, ep, 10_000)).To(gomega.Equal(clock.Milli(12_000)), "it is cold again")
}

// Guards against an endpoint that is taken for warm while it is cold, at the instance that reads its
// entries or at one that is told, and against times that are spread again and again as entries count
// down. An endpoint becomes cold at any moment; its entries are written every 1.2 s, read every
// 700 ms and arrive with any delay up to that.
func TestEndIsNeverEarly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(rt)
		starts := rapid.SliceOfN(rapid.IntRange(1, 6000), 1, 5).Draw(rt, "starts")
		delay := clock.Milli(rapid.IntRange(0, 700).Draw(rt, "delay"))
		var trk Tracker
		trk.List([]string{"a"}, 1)
		var coldUntil, toldUntil, left, writtenAt, readAt clock.Milli
		spreads, at := 0, clock.Milli(1000)
		next := at + clock.Milli(starts[0])
		for now := at; now < 40_000; now += 10 {
			if len(starts) > 0 && now >= next {
				coldUntil, writtenAt, left = now+span, now, span
				if starts = starts[1:]; len(starts) > 0 {
					next = now + clock.Milli(starts[0])
				}
			}
			if now-writtenAt >= 1200 {
				writtenAt, left = now, max(coldUntil-now, 0)
			}
			if now-readAt >= 700 && now-writtenAt >= delay {
				readAt = now
				trk.Entry("a", Entry{left, int64(writtenAt)}, now)
			}
			ep := Endpoint{ID: "a", Span: span, ToldUntil: toldUntil}
			end := trk.Ends([]Endpoint{ep}, now)["a"]
			if span, ok := ToSpread(end.Until, toldUntil, now); ok {
				spreads++
				gom.Expect(now + span).To(gomega.BeNumerically(">=", end.Until+spreadMargin))
				toldUntil = now + span
			}
			// From the first entry of a cold time on, its end is known.
			if now < coldUntil && readAt > coldUntil-span && readAt >= writtenAt {
				gom.Expect(max(end.Until, toldUntil)).To(gomega.BeNumerically(">", now))
			}
		}
		gom.Expect(spreads).To(gomega.BeNumerically("<=", 5*3))
	})
}

// Guards against instances that spread different times for the same start: each would be forwarded
// by all instances.
func TestSpreadTimesAreEqual(t *testing.T) {
	gom := gomega.NewWithT(t)
	first, ok := ToSpread(4000, 0, 1000)
	gom.Expect(ok).To(gomega.BeTrue())
	for now := clock.Milli(1000); now < 1500; now += 7 {
		left, ok := ToSpread(4000, 0, now)
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(left).To(gomega.Equal(first))
	}
	for until := clock.Milli(4000); until <= 4500; until += 7 {
		_, ok := ToSpread(until, 1000+first, 1000)
		gom.Expect(ok).To(gomega.BeFalse(), "the end moved by %d ms", until-4000)
	}
	_, ok = ToSpread(4501, 1000+first, 1000)
	gom.Expect(ok).To(gomega.BeTrue())
	_, ok = ToSpread(900, 0, 1000)
	gom.Expect(ok).To(gomega.BeFalse(), "it is warm")
}
