package state

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/evac"
	"amaranthvalve/pkg/ident"
)

// evacStore is a store with a document and the operators' records of evacuations.
type evacStore struct {
	mtx  sync.Mutex
	down bool
	doc  proto.Document
}

func newEvacStore(zones ...string) *evacStore {
	return &evacStore{doc: proto.Document{Position: proto.Position{Offset: 1}, End: 2, Text: []byte("a document"), Evacuated: zones}}
}

// write replaces the records, as one more write to the log.
func (sto *evacStore) write(zones ...string) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	sto.doc.Evacuated = zones
	sto.doc.End++
}

// comeBack makes the store come back from a copy with the given records.
func (sto *evacStore) comeBack(zones ...string) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	sto.doc.Era++
	sto.doc.End, sto.doc.Evacuated = 2, zones
}

func (sto *evacStore) setDown(down bool) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	sto.down = down
}

var errStoreAway = errors.New("the store is away")

func (sto *evacStore) read(context.Context) (proto.Document, error) {
	sto.mtx.Lock()
	defer sto.mtx.Unlock()
	if sto.down {
		return proto.Document{}, errStoreAway
	}
	return sto.doc, nil
}

func (sto *evacStore) watch(ctx context.Context, from proto.Position, wait clock.Milli) (bool, error) {
	for until := time.Now().Add(wait.Duration()); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		doc, err := sto.read(ctx)
		if err != nil || doc.Era != from.Era || doc.End > from.Offset {
			return true, err
		}
	}
	return false, ctx.Err()
}

func zonedEndpoints(context.Context) (proto.Listing, error) {
	return proto.Listing{Endpoints: []proto.Endpoint{
		{ID: "e1", Addr: "10.1.0.1:1", Pool: "p", Zone: "north"}, {ID: "e2", Addr: "10.1.0.2:1", Pool: "p", Zone: "south"},
	}}, nil
}

func (sto *evacStore) client() proto.Store {
	return proto.Store{Document: sto.read, Watch: sto.watch, Endpoints: zonedEndpoints}
}

// evacuated returns the names of the data centres that are evacuated in the current view.
func evacuated(ctl *Control) []string {
	names := []string{}
	for _, zon := range ctl.View().Evacuations(0) {
		names = append(names, zon.Name)
	}
	return names
}

// withheldIDs returns the endpoints that are withheld in the current view.
func withheldIDs(ctl *Control) []string {
	ids := []string{}
	for _, ep := range ctl.View().Endpoints() {
		if ep.Withheld {
			ids = append(ids, string(ep.ID))
		}
	}
	return ids
}

// Guards against a record that isn't obeyed, one that outlives its removal, and a second data centre that takes
// the place of the first.
func TestEvacuationsFollowRecords(t *testing.T) {
	gom := gomega.NewWithT(t)
	sto := newEvacStore()
	ctl := started(t, sto.client())
	gom.Eventually(func() int { return len(ctl.View().Endpoints()) }, soon).Should(gomega.Equal(2))
	gom.Expect(withheldIDs(ctl)).To(gomega.BeEmpty())
	sto.write("north")
	gom.Eventually(func() []string { return withheldIDs(ctl) }, soon).Should(gomega.Equal([]string{"e1"}))
	gom.Expect(ctl.View().IsWithheldAt("10.1.0.1:1")).To(gomega.BeTrue())
	gom.Expect(ctl.View().AllWithheld("p", "")).To(gomega.BeFalse())
	gom.Expect(ctl.MaySend("e1", "")).To(gomega.BeFalse())
	gom.Expect(ctl.MaySend("gone", "north")).To(gomega.BeFalse(), "an endpoint that isn't listed any more")
	gom.Expect(ctl.MaySend("e2", "south")).To(gomega.BeTrue())
	sto.write("north", "south")
	gom.Eventually(func() []string { return withheldIDs(ctl) }, soon).Should(gomega.Equal([]string{"e1", "e2"}))
	gom.Expect(ctl.View().AllWithheld("p", "")).To(gomega.BeTrue())
	sto.write("south")
	gom.Eventually(func() []string { return withheldIDs(ctl) }, soon).Should(gomega.Equal([]string{"e2"}))
	_, ok := ctl.View().Released("north")
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(ctl.View().endpoints).To(gomega.HaveEach(gomega.HaveField("Withheld", false)), "the list that is sent to others")
}

// Guards against an instance that starts during an evacuation and serves before it knows of it.
func TestEvacuationComesWithFirstDocument(t *testing.T) {
	gom := gomega.NewWithT(t)
	var early atomic.Int64
	ctl := startedWith(t, newEvacStore("north").client(), Setup{OnChange: func(vw *View) {
		if vw.Plan() != nil && !vw.IsEvacuated("north") {
			early.Add(1)
		}
	}})
	gom.Eventually(func() bool { return ctl.View().servable() }, soon).Should(gomega.BeTrue())
	gom.Expect(evacuated(ctl)).To(gomega.Equal([]string{"north"}))
	gom.Expect(early.Load()).To(gomega.BeZero())
}

// Guards against an evacuation that ends with the store, and against one that is forgotten or kept for ever when
// the store comes back from a copy without its record.
func TestEvacuationOutlastsStore(t *testing.T) {
	gom := gomega.NewWithT(t)
	sto := newEvacStore("north", "south")
	ctl := started(t, sto.client())
	gom.Eventually(func() []string { return withheldIDs(ctl) }, soon).Should(gomega.Equal([]string{"e1", "e2"}))
	sto.setDown(true)
	gom.Consistently(func() []string { return evacuated(ctl) }, 300*time.Millisecond).Should(gomega.HaveLen(2))
	sto.comeBack()
	sto.setDown(false)
	gom.Eventually(func() int64 { return ctl.View().evacuations.Position().Era }, soon).Should(gomega.BeEquivalentTo(1))
	back := time.Now()
	sto.write("south")
	gom.Consistently(func() []string { return evacuated(ctl) }, (settleTime - 300).Duration()).Should(gomega.HaveLen(2))
	gom.Eventually(func() []string { return evacuated(ctl) }, soon).Should(gomega.Equal([]string{"south"}))
	gom.Expect(time.Since(back)).To(gomega.BeNumerically(">", settleTime.Duration()-200*time.Millisecond))
}

// linked returns a control state with a link of its own, by whose address others reach it, and the number of
// snapshots that it sent.
func linked(t *testing.T, sto proto.Store) (ctl *Control, who ident.Incarnation, snapshots *atomic.Int64) {
	return linkedWith(t, sto, Setup{}, sameAddr)
}

func sameAddr(addr string) string { return addr }

// linkedWith is like linked, with a setup that is completed. Others reach the control state by the address that
// via returns for that of its link.
func linkedWith(t *testing.T, sto proto.Store, set Setup, via func(addr string) string) (ctl *Control, who ident.Incarnation, snapshots *atomic.Int64) {
	gom := gomega.NewWithT(t)
	server, client, err := peer.EphemeralTLS()
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	snapshots = &atomic.Int64{}
	ready := make(chan struct{})
	lnk, err := peer.Listen("127.0.0.1:0", server, client, func(ctx context.Context, msg peer.Message) peer.Message {
		<-ready
		if msg.Kind == peer.GetState {
			snapshots.Add(1)
		}
		return ctl.Handle(ctx, msg)
	})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	lnk.HandleLong = func(ctx context.Context, msg peer.Message) peer.Message {
		<-ready
		return ctl.ServeFollower(ctx, msg)
	}
	go lnk.Serve(t.Context())
	set.Self, set.Link = ident.NewIncarnation(via(lnk.Addr())), lnk
	ctl = startedWith(t, sto, set)
	close(ready)
	return ctl, set.Self, snapshots
}

// away is a store that never answers.
var away = proto.Store{
	Document:  func(context.Context) (proto.Document, error) { return proto.Document{}, errStoreAway },
	Endpoints: func(context.Context) (proto.Listing, error) { return proto.Listing{}, errStoreAway },
}

// Guards against followers that don't learn of an evacuation or of its end from their reader, or only when the
// held request has run out.
func TestFollowerGetsEvacuations(t *testing.T) {
	gom := gomega.NewWithT(t)
	sto := newEvacStore("north")
	reader, who, _ := linked(t, sto.client())
	gom.Eventually(func() bool { return reader.View().servable() }, soon).Should(gomega.BeTrue())
	follower, _, _ := linked(t, away)
	follow := func() { gom.Expect(follower.docs.follow(t.Context(), who, true)).To(gomega.Succeed()) }
	follow()
	// A view is published right after the event that changes it.
	gom.Eventually(func() []string { return withheldIDs(follower) }, soon).Should(gomega.Equal([]string{"e1"}))
	for _, zones := range [][]string{{}, {"south"}, {"north", "south"}, {}} {
		follow()
		time.AfterFunc(100*time.Millisecond, func() { sto.write(zones...) })
		began := time.Now()
		follow()
		held := time.Since(began)
		gom.Eventually(func() []string { return evacuated(follower) }, soon).Should(gomega.Equal(zones))
		gom.Expect(held).To(gomega.BeNumerically("<", updateHold-100*time.Millisecond), "the held request ends")
	}
}

// Guards against a follower of an earlier build whose requests are all answered at once, since its set always
// looks old.
func TestFollowerOfEarlierBuildIsHeld(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, newEvacStore("north").client())
	gom.Eventually(func() bool { return ctl.View().servable() }, soon).Should(gomega.BeTrue())
	vw := ctl.View()
	body, err := cbor.Marshal(updateRequest{Offset: vw.Offset(), Digest: vw.digest})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	began := time.Now()
	var upd update
	gom.Expect(cbor.Unmarshal(ctl.ServeFollower(t.Context(), peer.Message{Body: body}).Body, &upd)).To(gomega.Succeed())
	gom.Expect(time.Since(began)).To(gomega.BeNumerically(">=", updateHold))
	gom.Expect(upd.Evacuations).To(gomega.BeNil())
}

// Guards against an instance without a source that doesn't notice a later set by the probe of another one, that
// takes over an earlier set, or that fetches a snapshot although it has the same data centres.
func TestProbeTellsOfLaterSet(t *testing.T) {
	gom := gomega.NewWithT(t)
	sto := newEvacStore("north")
	source, who, snapshots := linked(t, sto.client())
	gom.Eventually(func() bool { return source.View().servable() }, soon).Should(gomega.BeTrue())
	other, _, _ := linked(t, away)
	probe := func() {
		var msg peer.Message
		gom.Expect(source.loop.Do(t.Context(), func(clock.Milli) { source.attachState(&msg) })).To(gomega.BeTrue())
		msg.From = who
		gom.Expect(other.loop.Do(t.Context(), func(now clock.Milli) { other.receive(msg, 0, now) })).To(gomega.BeTrue())
	}
	probe()
	gom.Eventually(func() []string { return evacuated(other) }, soon).Should(gomega.Equal([]string{"north"}))
	gom.Expect(snapshots.Load()).To(gomega.BeEquivalentTo(1))
	var earlier peer.Message
	gom.Expect(source.loop.Do(t.Context(), func(clock.Milli) { source.attachState(&earlier) })).To(gomega.BeTrue())
	sto.write("north")
	gom.Eventually(func() int64 { return source.View().evacuations.Position().End }, soon).Should(gomega.BeEquivalentTo(3))
	probe()
	gom.Eventually(func() int64 { return other.View().evacuations.Position().End }, soon).Should(gomega.BeEquivalentTo(3))
	gom.Expect(snapshots.Load()).To(gomega.BeEquivalentTo(1), "the data centres are the same")
	sto.write()
	gom.Eventually(func() []string { return evacuated(source) }, soon).Should(gomega.BeEmpty())
	probe()
	gom.Eventually(func() []string { return evacuated(other) }, soon).Should(gomega.BeEmpty())
	earlier.From = who
	gom.Expect(other.loop.Do(t.Context(), func(now clock.Milli) {
		other.receive(earlier, 0, now)
		other.evacs.apply(evac.Named(evac.Position{End: 3}, "north"), now, now, "late")
	})).To(gomega.BeTrue())
	gom.Consistently(func() []string { return evacuated(other) }, 100*time.Millisecond).Should(gomega.BeEmpty())
	gom.Expect(snapshots.Load()).To(gomega.BeEquivalentTo(2))
}

// Guards against probes that carry something where no read is known, and against ones of earlier builds.
func TestProbeOfEarlierBuildChangesNothing(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := newEndpts().ctl
	var msg peer.Message
	ctl.attachState(&msg)
	gom.Expect(msg.Evacuations).To(gomega.BeNil())
	gom.Expect(ctl.evacs.receive(nil)).To(gomega.BeFalse())
}

// Guards against an invalid record or a data centre without endpoints that nobody hears of, or that is logged at each
// read, and against changes without a line of their own.
func TestEvacuationsAreLoggedOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	var log bytes.Buffer
	ctl := newEndpts().ctl
	ctl.set.Log = zerolog.New(&log)
	lst, _ := zonedEndpoints(t.Context())
	ctl.endpts.list = lst.Endpoints
	count := func(text string) int { return strings.Count(log.String(), text) }
	doc := proto.Document{Position: proto.Position{Offset: -1}, End: 4, Evacuated: []string{"north", "nowhere"}, Faults: []error{errors.New("a bad key")}}
	for now := range clock.Milli(3) {
		doc.End++
		ctl.evacs.applyRead(doc, now, now+7)
		ctl.evacs.step(now)
	}
	gom.Expect(log.String()).To(gomega.ContainSubstring(`"zone":"north","era":0,"end":5,"age_ms":7,"endpoints":1,"from":"store","message":"data centre evacuated"`))
	gom.Expect(count("data centre evacuated")).To(gomega.Equal(2))
	gom.Expect(count("a bad key")).To(gomega.Equal(1))
	gom.Expect(count("no endpoint is listed in an evacuated data centre")).To(gomega.Equal(1))
	doc.End, doc.Evacuated = 9, nil
	ctl.evacs.applyRead(doc, 9, 9)
	gom.Expect(count("data centre released")).To(gomega.Equal(2))
}
