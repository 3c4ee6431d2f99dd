package coord

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// restPeers are three coordinators; first and third relay connections for each of the others.
type restPeers struct {
	crds []*Coordinator
	ctls []*state.Control
	ids  []ident.Incarnation
}

func newRestPeers(t *testing.T) *restPeers {
	gom := gomega.NewWithT(t)
	rps := &restPeers{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range 3 {
		server, client, err := peer.EphemeralTLS()
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		lnk, err := peer.Listen("127.0.0.1:0", server, client, func(_ context.Context, msg peer.Message) peer.Message { return rps.crds[i].HandleRest(msg) })
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		rps.ids = append(rps.ids, ident.NewIncarnation(lnk.Addr()))
		rps.ctls = append(rps.ctls, state.New(state.Setup{Self: rps.ids[i], Meter: meter.New(), Log: zerolog.Nop()}))
		origins := func(id ident.Process) []ident.Incarnation {
			if i == 1 || id != "e1" {
				return nil
			}
			return []ident.Incarnation{rps.ids[1], rps.ids[2-i]}
		}
		rps.crds = append(rps.crds, New(Setup{Control: rps.ctls[i], Link: lnk, Log: zerolog.Nop(), Origins: origins}))
		defer func() { go lnk.Serve(ctx) }()
	}
	return rps
}

// resting lists the instances that must send an endpoint nothing.
func (rps *restPeers) resting(id ident.Process) []int {
	var list []int
	for i, ctl := range rps.ctls {
		if ctl.Resting(id) {
			list = append(list, i)
		}
	}
	return list
}

// Guards against requests that go on through a relay which an endpoint has asked for rest, by a request of
// its own or of another instance, and against notes that go round between instances which relay for one
// another.
func TestRestIsPassedToRelayAndOrigins(t *testing.T) {
	for _, relay := range []int{-1, 0} {
		gom := gomega.NewWithT(t)
		rps := newRestPeers(t)
		from, by := 0, ident.Incarnation("")
		want := []int{1, 2}
		if relay >= 0 {
			from, by = 1, rps.ids[relay]
			want = []int{0, 2}
		}
		rps.crds[from].SpreadRest("e1", clock.Second, by)
		gom.Eventually(func() []int { return rps.resting("e1") }, 5*time.Second).Should(gomega.Equal(want))
		gom.Eventually(func() []int { return rps.resting("e1") }, 5*time.Second).Should(gomega.BeEmpty())
		gom.Consistently(func() []int { return rps.resting("e1") }, 100*time.Millisecond).Should(gomega.BeEmpty())
	}
}

// Guards against a note that stops the use of an endpoint for ever.
func TestNotedRestIsBounded(t *testing.T) {
	gom := gomega.NewWithT(t)
	rps := newRestPeers(t)
	for span, kind := range map[clock.Milli]peer.Kind{1 << 60: peer.OK, 0: peer.Nack, -5: peer.Nack} {
		body, err := cbor.Marshal(restNote{Endpoint: "e2", Span: span})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		gom.Expect(rps.crds[0].HandleRest(peer.Message{Body: body}).Kind).To(gomega.Equal(kind))
	}
	gom.Expect(rps.ctls[0].RestUntil("e2")).To(gomega.BeNumerically("<=", clock.Clock{}.Now()+maxRest))
	gom.Expect(rps.crds[0].HandleRest(peer.Message{Body: []byte("no note")}).Kind).To(gomega.Equal(peer.Nack))
}
