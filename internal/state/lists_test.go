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
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// reader returns a control state whose view has a plan and has had these lists of endpoints.
func reader(lists ...[]proto.Endpoint) *Control {
	ctl := newEndpts().ctl
	ctl.docs.plan, ctl.docs.doc.Offset = &plan.Plan{}, 7
	ctl.docs.lastAnswer = ctl.set.Clock.Now()
	for _, lst := range lists {
		ctl.endpts.list, ctl.dirty = lst, true
		ctl.publish(0)
	}
	return ctl
}

// Guards against followers whose list of endpoints differs from their reader's. Lists change at
// random, builds too, and a follower asks at random, at times after more changes than the reader keeps; where
// the reader still has the follower's list, it sends the changes alone.
func TestFollowerReceivesChanges(t *testing.T) {
	rapid.Check(t, func(rpd *rapid.T) {
		gom := gomega.NewWithT(rpd)
		ctl := reader(nil)
		var fol endpointList
		ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 40), 0, 20, rapid.ID[int])
		since := 0
		for range rapid.IntRange(1, 60).Draw(rpd, "steps") {
			var eps []proto.Endpoint
			for _, id := range slices.Sorted(slices.Values(ids.Draw(rpd, "ids"))) {
				eps = append(eps, proto.Endpoint{ID: ident.Process(fmt.Sprintf("e%02d", id)), Addr: "a", Leaving: rapid.Bool().Draw(rpd, "leaving"), Build: rapid.SampledFrom([]string{"v1", "v2"}).Draw(rpd, "build")})
			}
			ctl.endpts.list, ctl.dirty = eps, true
			ctl.publish(0)
			since++
			if !rapid.Bool().Draw(rpd, "asks") {
				continue
			}
			vw := ctl.View()
			if fol.Digest != vw.digest || fol.Builds != vw.builds {
				var upd update
				upd.fillEndpoints(vw, updateRequest{Digest: fol.Digest, Builds: fol.Builds})
				gom.Expect(upd.Changed || fol.Digest == 0 || since >= maxPastLists).To(gomega.BeTrue())
				gom.Expect(fol.apply(upd)).To(gomega.BeTrue())
				since = 0
			}
			gom.Expect(fol.Digest).To(gomega.Equal(vw.digest))
			gom.Expect(len(fol.List)).To(gomega.Equal(len(vw.endpoints)))
			gom.Expect(slices.Equal(fol.List, vw.endpoints)).To(gomega.BeTrue())
			gom.Expect(digest(fol.List)).To(gomega.Equal(vw.digest))
		}
	})
}

// Guards against a busy loop between a follower and a reader that does not know of a leaving
// endpoint yet. The follower asks by the list last received, so that the reader holds the request;
// compared with the follower's own list, the reader had an update some hundred times a second.
func TestUnknownLeavingCausesNoBusyLoop(t *testing.T) {
	gom := gomega.NewWithT(t)
	rdr := reader(list("a", "b"))
	fol := newEndpts()
	fol.ctl.docs.plan, fol.ctl.docs.doc.Offset = &plan.Plan{}, 7
	var upd update
	upd.fillEndpoints(rdr.View(), updateRequest{})
	gom.Expect(fol.ctl.docs.fromReader.apply(upd)).To(gomega.BeTrue())
	fol.apply(slices.Clone(fol.ctl.docs.fromReader.List), 0)
	fol.markLeaving("a", "it said so", 0)

	body, err := cbor.Marshal(fol.ctl.docs.updateRequest())
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	began := time.Now()
	ans := rdr.ServeFollower(context.Background(), peer.Message{Body: body})
	gom.Expect(time.Since(began)).To(gomega.BeNumerically(">=", updateHold))
	var got update
	gom.Expect(cbor.Unmarshal(ans.Body, &got)).To(gomega.Succeed())
	gom.Expect(got.Listed).To(gomega.BeFalse())
}

// Guards against a follower that keeps its own list after it has read the store itself. When it
// follows again it requests the full list: by the digest received earlier, a reader with an
// unchanged list would send none.
func TestOwnReadResetsReaderList(t *testing.T) {
	gom := gomega.NewWithT(t)
	rdr := reader(list("a", "b"))
	fol := newEndpts()
	var upd update
	upd.fillEndpoints(rdr.View(), updateRequest{})
	gom.Expect(fol.ctl.docs.fromReader.apply(upd)).To(gomega.BeTrue())
	gom.Expect(fol.ctl.docs.updateRequest().Digest).To(gomega.Equal(rdr.View().digest))
	fol.applyRead(proto.Listing{Endpoints: list("a")}, nil, 10*clock.Second, 10*clock.Second)
	gom.Expect(fol.ctl.docs.updateRequest().Digest).To(gomega.BeZero())
}

// Guards against changes that are applied to another list than they were computed from: a request
// is held while the follower reads the store itself. Applied, they left one endpoint of all, and
// nearly every request was refused for seconds; they are dropped, and the next answer has the full
// list.
func TestChangesOfAnotherListAreDropped(t *testing.T) {
	gom := gomega.NewWithT(t)
	rdr := reader(list("a", "b", "c"))
	fol := newEndpts()
	var whole update
	whole.fillEndpoints(rdr.View(), updateRequest{})
	gom.Expect(fol.ctl.docs.fromReader.apply(whole)).To(gomega.BeTrue())
	sent := fol.ctl.docs.updateRequest()

	rdr.endpts.list, rdr.dirty = list("a", "b", "c", "d"), true
	rdr.publish(0)
	var change update
	change.fillEndpoints(rdr.View(), sent)
	gom.Expect(change.Changed).To(gomega.BeTrue())
	fol.applyRead(proto.Listing{Endpoints: list("a", "b", "c")}, nil, 10*clock.Second, 10*clock.Second)
	gom.Expect(fol.ctl.docs.fromReader.apply(change)).To(gomega.BeFalse())
	gom.Expect(fol.list).To(gomega.HaveLen(3))

	gom.Expect(fol.ctl.docs.updateRequest().Digest).To(gomega.BeZero())
	var next update
	next.fillEndpoints(rdr.View(), updateRequest{})
	gom.Expect(fol.ctl.docs.fromReader.apply(next)).To(gomega.BeTrue())
	gom.Expect(fol.ctl.docs.fromReader.List).To(gomega.HaveLen(4))
}

// Guards against followers that take an endpoint for one of the build that its entry named before.
func TestChangedBuildReachesFollowers(t *testing.T) {
	gom := gomega.NewWithT(t)
	first := list("a", "b")
	rdr := reader(first)
	fol := newEndpts()
	fol.ctl.docs.plan, fol.ctl.docs.doc.Offset = &plan.Plan{}, 7
	var upd update
	upd.fillEndpoints(rdr.View(), updateRequest{})
	gom.Expect(fol.ctl.docs.fromReader.apply(upd)).To(gomega.BeTrue())
	changed := slices.Clone(first)
	changed[1].Build = "v2"
	rdr.endpts.list, rdr.dirty = changed, true
	rdr.publish(0)
	body, err := cbor.Marshal(fol.ctl.docs.updateRequest())
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	ans := rdr.ServeFollower(context.Background(), peer.Message{Body: body})
	var got update
	gom.Expect(cbor.Unmarshal(ans.Body, &got)).To(gomega.Succeed())
	gom.Expect(got.Listed).To(gomega.BeTrue())
	gom.Expect(got.Endpoints).To(gomega.HaveLen(1))
	gom.Expect(fol.ctl.docs.fromReader.apply(got)).To(gomega.BeTrue())
	gom.Expect(fol.ctl.docs.fromReader.List[1].Build).To(gomega.Equal("v2"))
}
