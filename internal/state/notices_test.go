package state

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

// Guards against a rate that is assigned to an endpoint which had the address before.
func TestRateOfReusedAddress(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, proto.Store{Endpoints: func(context.Context) (proto.Listing, error) {
		return proto.Listing{Endpoints: []proto.Endpoint{{ID: "ended", Addr: "a", Pool: "p"}, {ID: "there", Addr: "a", Pool: "p"}, {ID: "other", Addr: "b", Pool: "p"}}}, nil
	}})
	gom.Eventually(func() int { return len(ctl.View().Endpoints()) }, soon).Should(gomega.Equal(3))
	ctl.RecordNotice("a", proto.Notice{Rate: proto.Declared{Value: 3, Is: true}}, clock.Clock{}.Now(), "")
	ctl.RecordNotice("b", proto.Notice{Endpoint: "there", Rate: proto.Declared{Value: 4, Is: true}}, clock.Clock{}.Now(), "")
	ctl.RecordNotice("a", proto.Notice{Endpoint: "there", Rate: proto.Declared{Value: 2, Is: true}}, clock.Clock{}.Now(), "")
	gom.Eventually(func() float64 {
		rate, _ := ctl.View().Rate("there")
		return rate
	}, soon).Should(gomega.Equal(2.0))
	for _, id := range []ident.Process{"other", "ended"} {
		_, ok := ctl.View().Rate(id)
		gom.Expect(ok).To(gomega.BeFalse(), string(id))
	}
}

// Guards against a rate that is spread to all instances again and again while it is unchanged, and
// against one that expires meanwhile.
func TestUnchangedRateIsRenewedRarely(t *testing.T) {
	gom := gomega.NewWithT(t)
	var passed atomic.Int64
	clk := clock.New(func() clock.Milli { return clock.Clock{}.Now() + clock.Milli(passed.Load()) })
	ctl := startedAt(t, proto.Store{}, clk)
	gom.Eventually(func() int { return len(ctl.View().Endpoints()) }, soon).Should(gomega.Equal(1))
	renewals, digest := 0, uint64(0)
	const span = 2 * clock.Hour
	for range int(span / clock.Minute) {
		ctl.RecordNotice("e1", proto.Notice{Endpoint: "e1", Rate: proto.Declared{Value: 2, Is: true}}, clk.Now(), "")
		gom.Expect(ctl.loop.Do(t.Context(), func(clock.Milli) {
			if now := ctl.facts.spread.Digest(); now != digest {
				renewals, digest = renewals+1, now
			}
		})).To(gomega.BeTrue())
		_, ok := ctl.View().Rate("e1")
		gom.Expect(ok).To(gomega.BeTrue())
		passed.Add(int64(clock.Minute))
	}
	gom.Expect(renewals).To(gomega.BeNumerically("<=", int(span/(10*clock.Minute))+1))
}

// Guards against the announced end of an endpoint that stays with the instance which received the answer,
// and against one that is taken for the end of another process.
func TestAnnouncedEndIsShared(t *testing.T) {
	gom := gomega.NewWithT(t)
	here, there := started(t, proto.Store{}), started(t, proto.Store{})
	for _, ctl := range []*Control{here, there} {
		gom.Eventually(func() int { return len(ctl.View().Endpoints()) }, soon).Should(gomega.Equal(1))
	}
	here.RecordNotice("e1", proto.Notice{Endpoint: "another", Leaving: true}, clock.Clock{}.Now(), "")
	gom.Consistently(func() bool { return here.View().IsLeaving("e1") }, 100*time.Millisecond).Should(gomega.BeFalse())
	here.RecordNotice("e1", proto.Notice{Endpoint: "e1", Leaving: true}, clock.Clock{}.Now(), "")
	gom.Eventually(func() bool { return here.View().IsLeaving("e1") }, soon).Should(gomega.BeTrue())
	var facts []gossip.Fact
	gom.Expect(here.loop.Do(t.Context(), func(now clock.Milli) { facts = here.facts.spread.All(gossip.Leaving, now) })).To(gomega.BeTrue())
	gom.Expect(facts).To(gomega.HaveLen(1))
	there.loop.Offer(func(now clock.Milli) { there.facts.receive(peer.Message{Facts: facts}, false, now) })
	gom.Eventually(func() bool { return there.View().IsLeaving("e1") }, soon).Should(gomega.BeTrue())
}
