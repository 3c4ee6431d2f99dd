package soak

import (
	"strings"
	"time"

	"amaranthvalve/platform/fake"
)

// shapeAnswers gives the answers of an endpoint drawn shapes for a while, one after another.
func (sr *soakRun) shapeAnswers() {
	ep := sr.drawEndpoint(0)
	if ep == nil {
		return
	}
	shs := &fake.Shapes{}
	ep.UseShapes(shs)
	sr.markEndpointDisturbed(ep, time.Now().Add(maxFaultDuration))
	for until := time.Now().Add(sr.drawFaultDuration()); time.Now().Before(until); time.Sleep(minGap) {
		// Half of them have no framing. HTTP 1.0 has no chunks.
		framing := []fake.Framing{fake.ByLength, fake.Chunked, fake.CloseDelimited, fake.CloseDelimited}[sr.drawInt(4)]
		shs.SetOthers(fake.Shape{
			Framing: framing,
			Cut:     fake.Cut(sr.drawInt(int(fake.AfterEvents) + 1)),
			Close:   fake.Close(sr.drawInt(int(fake.GoesSilent) + 1)),
			Old:     sr.drawInt(4) == 0 && framing != fake.Chunked,
		})
	}
	ep.UseShapes(nil)
	sr.markEndpointDisturbed(ep, time.Now())
}

// mayBeUnproven reports whether an incorrect answer is one that claims nothing: it has no framing and, if it
// is a stream, doesn't end inside an event.
func (att *attempt) mayBeUnproven() bool {
	return att.closeDelimited && (!att.stream || att.answer == "" || strings.HasSuffix(att.answer, "\n\n"))
}

// checkFraming checks that an answer claims no more than that of its endpoint.
func (sr *soakRun) checkFraming(att *attempt, ran []fake.Run) {
	if att.err != nil || att.status < 200 || att.status >= 300 || len(ran) == 0 {
		return
	}
	last := ran[0]
	for _, run := range ran {
		if run.At.After(last.At) {
			last = run
		}
	}
	unframed := (last.Fault == fake.Shaped || last.Fault == fake.Crashes) && last.Shape.Framing == fake.CloseDelimited
	switch {
	case !att.isCorrect() && !(unframed && last.Shape.EndsClosed(att.stream)):
		sr.violation("framing: %s at %s got body %q as complete, its endpoint ended it otherwise: %+v", att.id, att.ins.name, att.answer, last.Shape)
	case unframed && !att.closeDelimited:
		sr.violation("framing: %s at %s got a framed answer, that of its endpoint %s had no framing", att.id, att.ins.name, last.Endpoint)
	}
}
