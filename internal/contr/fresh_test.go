package contr

import (
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/feed"
	"amaranthvalve/internal/meter"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

// TestNoGapBetweenLogAndPeers: the log goes out while two instances stay in
// touch. At every instant the view that was made last is good for longer than
// the next tick; it used to run out up to 50 ms before the peers' word was
// looked at, and requests in between were refused.
func TestNoGapBetweenLogAndPeers(t *testing.T) {
	gom := gomega.NewWithT(t)
	var clk clock.Fake
	clk.Set(10_000)
	ctl := New(Setup{Self: "a:1#1", Zone: "dc1", Fresh: 3 * clock.Second, Clock: clk.Clock(), Meter: meter.New(), Log: zerolog.Nop()})
	ctl.docs.known = true
	ctl.docs.logAsOf = clk.Clock().Now()
	other := ident.Incarnation("b:1#1")
	for range 200 {
		now := clk.Clock().Now()
		ctl.members.list.Merge([]member.Update{{ID: other, Seq: 1, Beat: uint64(now / clock.Second)}}, now)
		ctl.publish(now)
		clk.Advance(clock.FromDuration(tickEvery))
		ready, why := ctl.View().Ready(clk.Clock().Now())
		gom.Expect(ready).To(gomega.BeTrue(), "%d ms after the log went out: %s", now-10_000, why)
	}
}

// TestNoResetRightAfterAnOutage: a reader wants a state, then the log goes out
// for a minute. When it is back, whoever has a state needs time to answer: the
// reader says that there is none only after ten seconds of reading.
func TestNoResetRightAfterAnOutage(t *testing.T) {
	gom := gomega.NewWithT(t)
	dct := &docsCtl{}
	dct.reg.Restart(10)
	ctl := &Control{set: Setup{Log: zerolog.Nop()}}
	dct.ctl = ctl
	dct.app = feed.NewAppender(ctl.feed(), "docs")
	appended := 0
	look := func(from, to clock.Milli, readable bool) {
		for now := from; now < to; now += 500 {
			if readable {
				dct.endRead(now)
			}
			before := dct.askedLog
			dct.wantState(now)
			if dct.askedLog != before {
				appended++
			}
		}
	}
	look(100_000, 104_000, true)
	gom.Expect(appended).To(gomega.Equal(1), "it asks at once")
	look(104_000, 164_000, false)
	look(164_000, 173_500, true)
	gom.Expect(appended).To(gomega.Equal(1), "and says nothing right after the outage")
	look(173_500, 176_000, true)
	gom.Expect(appended).To(gomega.Equal(2))
}
