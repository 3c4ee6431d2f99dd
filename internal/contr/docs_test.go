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

// Guards against a gap in readiness when the log fails while two instances stay in contact. The
// last published view must be valid for longer than one tick. It used to expire up to 50 ms
// before the contact with peers was evaluated, and requests in between were refused.
func TestNoReadinessGapBetweenLogAndPeers(t *testing.T) {
	gom := gomega.NewWithT(t)
	var clk clock.Fake
	clk.Set(10_000)
	ctl := New(Setup{Self: "a:1#1", Zone: "dc1", MaxLogAge: 3 * clock.Second, Clock: clk.Clock(), Meter: meter.New(), Log: zerolog.Nop()})
	ctl.docs.known = true
	ctl.docs.logAsOf = clk.Clock().Now()
	other := ident.Incarnation("b:1#1")
	for range 200 {
		now := clk.Clock().Now()
		ctl.members.list.Merge([]member.Update{{ID: other, Seq: 1, Beat: uint64(now / clock.Second)}}, now)
		ctl.publish(now)
		clk.Advance(clock.FromDuration(tickInterval))
		ready, why := ctl.View().Ready(clk.Clock().Now())
		gom.Expect(ready).To(gomega.BeTrue(), "%d ms after the start of the log outage: %s", now-10_000, why)
	}
}

// Guards against a reset that precedes the answers to a state request. An instance requests a
// state, then the log is unavailable for a minute. When it is back, instances with a state need
// time to answer, so that the reset is appended only after ten seconds of reading.
func TestNoResetRightAfterOutage(t *testing.T) {
	gom := gomega.NewWithT(t)
	dct := &docsCtl{}
	dct.reg.Restart(10)
	ctl := &Control{set: Setup{Log: zerolog.Nop()}}
	dct.ctl = ctl
	dct.app = feed.NewAppender(ctl.feedSetup(), "docs")
	appended := 0
	step := func(from, to clock.Milli, readable bool) {
		for now := from; now < to; now += 500 {
			if readable {
				dct.noteStatelessRead(now)
			}
			before := dct.requestedAt
			dct.requestState(now)
			if dct.requestedAt != before {
				appended++
			}
		}
	}
	step(100_000, 104_000, true)
	gom.Expect(appended).To(gomega.Equal(1), "the state request is appended at once")
	step(104_000, 164_000, false)
	step(164_000, 173_500, true)
	gom.Expect(appended).To(gomega.Equal(1), "no reset right after the outage")
	step(173_500, 176_000, true)
	gom.Expect(appended).To(gomega.Equal(2))
}
