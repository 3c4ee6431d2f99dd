package state

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// reader is a control thread whose view has a plan and lists of endpoints.
func reader(lists ...[]talk.Endpoint) *Control {
	ctl := newEndpts().ctl
	ctl.docs.plan, ctl.docs.offset = &plan.Plan{}, 7
	ctl.docs.heardAt = ctl.set.Clock.Now()
	for _, lst := range lists {
		ctl.endpts.list, ctl.dirty = lst, true
		ctl.publish(0)
	}
	return ctl
}

// TestChangesAreTold: lists of endpoints change in drawn ways, and a follower is told
// of them now and then, at times after more changes than its reader remembers. Each time
// it has the reader's list; where the reader remembers, it is told the changes alone.
func TestChangesAreTold(t *testing.T) {
	rapid.Check(t, func(rpd *rapid.T) {
		gom := gomega.NewWithT(rpd)
		ctl := reader(nil)
		var fol listed
		ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 40), 0, 20, rapid.ID[int])
		since := 0
		for range rapid.IntRange(1, 60).Draw(rpd, "steps") {
			var eps []talk.Endpoint
			for _, id := range slices.Sorted(slices.Values(ids.Draw(rpd, "ids"))) {
				eps = append(eps, talk.Endpoint{ID: ident.Process(fmt.Sprintf("e%02d", id)), Addr: "a", Leaving: rapid.Bool().Draw(rpd, "leaving")})
			}
			ctl.endpts.list, ctl.dirty = eps, true
			ctl.publish(0)
			since++
			if !rapid.Bool().Draw(rpd, "asks") {
				continue
			}
			vw := ctl.View()
			if fol.Digest != vw.digest {
				var nws news
				nws.list(vw, fol.Digest)
				gom.Expect(nws.Changed || fol.Digest == 0 || since >= pastMost).To(gomega.BeTrue())
				gom.Expect(fol.take(nws)).To(gomega.BeTrue())
				since = 0
			}
			gom.Expect(fol.Digest).To(gomega.Equal(vw.digest))
			gom.Expect(len(fol.List)).To(gomega.Equal(len(vw.endpoints)))
			gom.Expect(digest(fol.List)).To(gomega.Equal(vw.digest))
		}
	})
}

// TestOwnNewsKeepNobodyBusy: a follower has heard that an endpoint leaves, and its reader
// has not. It asks for what differs from what it was told, and the reader holds the
// question. Asked for what differs from its own list, the reader had news for it each
// time, some hundred times a second until it heard too.
func TestOwnNewsKeepNobodyBusy(t *testing.T) {
	gom := gomega.NewWithT(t)
	rdr := reader(list("a", "b"))
	fol := newEndpts()
	fol.ctl.docs.offset = 7
	var nws news
	nws.list(rdr.View(), 0)
	gom.Expect(fol.ctl.docs.told.take(nws)).To(gomega.BeTrue())
	fol.take(slices.Clone(fol.ctl.docs.told.List), 0)
	fol.heardLeaving("a", "it said so", 0)

	body, err := cbor.Marshal(fol.ctl.docs.wanted())
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	began := time.Now()
	ans := rdr.Tell(context.Background(), peer.Message{Body: body})
	gom.Expect(time.Since(began)).To(gomega.BeNumerically(">=", newsHold))
	var got news
	gom.Expect(cbor.Unmarshal(ans.Body, &got)).To(gomega.Succeed())
	gom.Expect(got.Listed).To(gomega.BeFalse())
}

// TestOwnReadEndsWhatWasTold: an instance follows, reads the store itself for a while, and
// follows again. It asks for the whole list: by what it was told before, a reader whose
// list is the same again would tell it nothing, and it kept its own.
func TestOwnReadEndsWhatWasTold(t *testing.T) {
	gom := gomega.NewWithT(t)
	rdr := reader(list("a", "b"))
	fol := newEndpts()
	var nws news
	nws.list(rdr.View(), 0)
	gom.Expect(fol.ctl.docs.told.take(nws)).To(gomega.BeTrue())
	gom.Expect(fol.ctl.docs.wanted().Digest).To(gomega.Equal(rdr.View().digest))
	fol.read(list("a"), nil, nil, 10*clock.Second)
	gom.Expect(fol.ctl.docs.wanted().Digest).To(gomega.BeZero())
}

// TestChangesOfAnotherList: a follower's question is held at a reader while the follower
// reads the store itself. The answer tells changes of the list that it had before. Taken
// for the whole list they left one endpoint of all, and nearly every request was refused
// for seconds; they are dropped, and the next answer has the whole list.
func TestChangesOfAnotherList(t *testing.T) {
	gom := gomega.NewWithT(t)
	rdr := reader(list("a", "b", "c"))
	fol := newEndpts()
	var whole news
	whole.list(rdr.View(), 0)
	gom.Expect(fol.ctl.docs.told.take(whole)).To(gomega.BeTrue())
	asked := fol.ctl.docs.wanted()

	rdr.endpts.list, rdr.dirty = list("a", "b", "c", "d"), true
	rdr.publish(0)
	var change news
	change.list(rdr.View(), asked.Digest)
	gom.Expect(change.Changed).To(gomega.BeTrue())
	fol.read(list("a", "b", "c"), nil, nil, 10*clock.Second)
	gom.Expect(fol.ctl.docs.told.take(change)).To(gomega.BeFalse())
	gom.Expect(fol.list).To(gomega.HaveLen(3))

	gom.Expect(fol.ctl.docs.wanted().Digest).To(gomega.BeZero())
	var next news
	next.list(rdr.View(), 0)
	gom.Expect(fol.ctl.docs.told.take(next)).To(gomega.BeTrue())
	gom.Expect(fol.ctl.docs.told.List).To(gomega.HaveLen(4))
}
