package state

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// Guards against a rest that is cut short, prolonged or lost, and against an unbounded list of them.
func TestRestsAgreeWithModel(t *testing.T) {
	rapid.Check(t, func(rpd *rapid.T) {
		gom := gomega.NewWithT(rpd)
		var rst rests
		model := map[ident.Process]clock.Milli{}
		now := clock.Milli(0)
		for range rapid.IntRange(0, 60).Draw(rpd, "steps") {
			now += clock.Milli(rapid.IntRange(0, 50).Draw(rpd, "pass"))
			id := ident.Process(fmt.Sprint(rapid.IntRange(0, 5).Draw(rpd, "endpoint")))
			until := now + clock.Milli(rapid.IntRange(1, 100).Draw(rpd, "span"))
			rst.set(id, until, now)
			model[id] = max(model[id], until)
			want := map[ident.Process]clock.Milli{}
			for oth, end := range model {
				if end > now {
					want[oth] = end
				}
			}
			gom.Expect(rst.all(now)).To(gomega.Equal(want))
		}
	})
	gom := gomega.NewWithT(t)
	var rst rests
	for i := range maxRests + 10 {
		rst.set(ident.Process(fmt.Sprint(i)), 2, 1)
	}
	gom.Expect(rst.all(1)).To(gomega.HaveLen(maxRests))
	gom.Expect(rst.all(2)).To(gomega.BeEmpty())
}

// Guards against requests that reach an endpoint in the last millisecond of the rest that it has asked for.
func TestRestEndsNotEarly(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := New(Setup{Meter: meter.New()})
	const span = 3 * clock.Milli(1)
	for i := range 100 {
		id, began := ident.Process(fmt.Sprint(i)), time.Now()
		ctl.Rest(id, span)
		for ctl.Resting(id) {
			time.Sleep(20 * time.Microsecond)
		}
		gom.Expect(time.Since(began)).To(gomega.BeNumerically(">=", span.Duration()))
	}
}

// Guards against a rest that another process at the same address has asked for, and against relays that
// are not told.
func TestRestIsRecordedForItsEndpoint(t *testing.T) {
	gom := gomega.NewWithT(t)
	told := make(chan string, 9)
	sto := proto.Store{Endpoints: func(context.Context) (proto.Listing, error) {
		return proto.Listing{Endpoints: []proto.Endpoint{{ID: "there", Addr: "a", Pool: "p"}, {ID: "other", Addr: "b", Pool: "p"}}}, nil
	}}
	ctl := startedWith(t, sto, Setup{OnRest: func(id ident.Process, span clock.Milli, relay ident.Incarnation) {
		told <- fmt.Sprint(id, " ", int64(span), " ", relay)
	}})
	gom.Eventually(func() int { return len(ctl.View().Endpoints()) }, soon).Should(gomega.Equal(2))
	now := clock.Clock{}.Now()
	ctl.RecordNotice("b", proto.Notice{Endpoint: "there", Rest: 900, RestText: "0.9"}, now, "")
	ctl.RecordNotice("a", proto.Notice{Endpoint: "there", RestText: "soon"}, now, "")
	ctl.RecordNotice("a", proto.Notice{Endpoint: "there"}, now, "")
	gom.Expect(ctl.Rests()).To(gomega.BeEmpty())
	gom.Expect(told).NotTo(gomega.Receive())
	ctl.RecordNotice("a", proto.Notice{Endpoint: "there", Rest: 60000, RestText: "60"}, now, "r#1")
	gom.Expect(ctl.Resting("there")).To(gomega.BeTrue())
	gom.Expect(ctl.Resting("other")).To(gomega.BeFalse())
	gom.Expect(ctl.RestUntil("there")).To(gomega.BeNumerically("~", now+60000, 1000))
	gom.Expect(told).To(gomega.Receive(gomega.Equal("there 60000 r#1")))
	ctl.RecordNotice("b", proto.Notice{Rest: 60000, RestText: "60"}, now, "")
	gom.Expect(ctl.Resting("other")).To(gomega.BeFalse(), "another process answered")
	ctl.RecordNotice("b", proto.Notice{Unnamed: true, Rest: 60000, RestText: "60"}, now, "")
	gom.Expect(ctl.Resting("other")).To(gomega.BeTrue(), "the request named no endpoint")
}
