package coord

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/pace"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/sticky"
)

// oldReport is a report as the previous build knows it.
type oldReport struct {
	Pool      string           `cbor:"1,keyasint"`
	Ticket    string           `cbor:"2,keyasint"`
	Ended     bool             `cbor:"3,keyasint,omitempty"`
	End       place.Ending     `cbor:"4,keyasint,omitempty"`
	Span      clock.Milli      `cbor:"5,keyasint,omitempty"`
	Slot      ident.Process    `cbor:"6,keyasint,omitempty"`
	Rejected  bool             `cbor:"7,keyasint,omitempty"`
	Bindings  []sticky.Binding `cbor:"8,keyasint,omitempty"`
	Withdrawn bool             `cbor:"9,keyasint,omitempty"`
}

// promptAsk asks for the placement of a prompt without shared parts.
var promptAsk = place.Ask{Prompt: place.Prompt{InTokens: 2000, MaxOutTokens: 10}}

// paceAt returns the pace by which an instance scales the times of an engine.
func (bre *brittleEngines) paceAt(ins int, id ident.Process) func() int {
	return func() int { return bre.plss[ins].Pace("models", id) }
}

// placePrompt lets an instance place a prompt by the coordinator. On a busy machine that may answer late, and for so
// long that the prompt is placed without it.
func (bre *brittleEngines) placePrompt(gom *gomega.WithT) (plc Placement) {
	gom.Eventually(func() ident.Incarnation {
		var ok bool
		plc, ok = bre.crds[1].Place(context.Background(), bre.view(0), "models", "r/0", promptAsk)
		if ok && plc.promptCoordinator == "" {
			bre.crds[1].RecordEnd("models", plc, place.Neutral, 0)
		}
		return plc.promptCoordinator
	}, soon).Should(gomega.Equal(bre.ids[0]))
	return plc
}

// TestPaceReachesCoordinator guards against a coordinator that knows only the figures of its own callers'
// requests: an answer to another instance, and then the end of its request, tell it of a slow engine.
func TestPaceReachesCoordinator(t *testing.T) {
	for _, ended := range []bool{false, true} {
		gom := gomega.NewWithT(t)
		bre := newBrittleEngines(t, 4)
		plc := bre.placePrompt(gom)
		gom.Expect(bre.paceAt(0, plc.ID)()).To(gomega.Equal(100))
		plc.Pace = bre.plss[1].ReportLoad("models", plc.ID, proto.ReplyMeta{HasLoad: true, Pace: 9000})
		if ended {
			bre.crds[1].RecordEnd("models", plc, place.Rejected, 0)
		} else {
			bre.crds[1].FirstEvent("models", plc, 100)
		}
		gom.Eventually(bre.paceAt(0, plc.ID), soon, time.Millisecond).Should(gomega.BeNumerically(">", 150))
		gom.Expect(bre.paceAt(1, plc.ID)()).To(gomega.BeNumerically(">", 100))
	}
}

// TestAgeOfReportedPace guards against reports that make an old figure new: one on its way for some half-lives
// has little weight, and doesn't replace a newer one. Invalid figures and ages are no figures of the future.
func TestAgeOfReportedPace(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 4)
	plc := bre.placePrompt(gom)
	send := func(percent int, age clock.Milli) {
		body, err := cbor.Marshal([]report{{Pool: "models", Ticket: plc.Ticket, Pace: percent, PaceAge: age}})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		gom.Expect(bre.crds[0].HandleReports(peer.Message{Body: body}).Kind).To(gomega.Equal(peer.OK))
	}
	send(9, 0)
	send(10_001, 0)
	send(-300, 0)
	gom.Expect(bre.paceAt(0, plc.ID)()).To(gomega.Equal(100))
	send(200, 1500)
	gom.Expect(bre.paceAt(0, plc.ID)()).To(gomega.BeNumerically("<=", 104))
	send(10_000, -clock.Minute)
	time.Sleep(300 * time.Millisecond)
	gom.Expect(bre.paceAt(0, plc.ID)()).To(gomega.BeNumerically("<", 9000), "fades")
	send(20, 5000)
	gom.Expect(bre.paceAt(0, plc.ID)()).To(gomega.BeNumerically(">", 110), "an older figure is ignored")
	send(150, 0)
	gom.Expect(bre.paceAt(0, plc.ID)()).To(gomega.BeNumerically("<=", 150), "a new figure replaces it")
}

// TestReportsOfOldBuilds: the previous build reads reports with a pace as before, and its own reports are read.
func TestReportsOfOldBuilds(t *testing.T) {
	gom := gomega.NewWithT(t)
	rpt := report{Pool: "models", Ticket: "r/0.1", Span: 90}.withPace(pace.Figure{Percent: 250, At: 5})
	rpt.PaceAge = 7
	body, err := cbor.Marshal([]report{rpt})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	var old []oldReport
	gom.Expect(cbor.Unmarshal(body, &old)).To(gomega.Succeed())
	gom.Expect(old).To(gomega.Equal([]oldReport{{Pool: "models", Ticket: "r/0.1", Span: 90}}))

	// A report without a figure is the same to the byte.
	body, err = cbor.Marshal(report{Pool: "models", Ticket: "r/0.1", Span: 90}.withPace(pace.Figure{}))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	oldBody, err := cbor.Marshal(oldReport{Pool: "models", Ticket: "r/0.1", Span: 90})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(body).To(gomega.Equal(oldBody))

	bre := newBrittleEngines(t, 4)
	plc := bre.placePrompt(gom)
	body, err = cbor.Marshal([]oldReport{{Pool: "models", Ticket: plc.Ticket, Span: 90}})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(bre.crds[0].HandleReports(peer.Message{Body: body}).Kind).To(gomega.Equal(peer.OK))
	gom.Expect(bre.paceAt(0, plc.ID)()).To(gomega.Equal(100))
}
