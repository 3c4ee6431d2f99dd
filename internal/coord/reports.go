package coord

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/pace"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/sticky"
)

const (
	// reportDelay is how long reports are collected for one message.
	reportDelay = 5 * clock.Milli(1)
	// reportTimeout bounds the message that carries reports.
	reportTimeout = time.Second
)

// report is the progress of a placed request.
type report struct {
	Pool   string `cbor:"1,keyasint"`
	Ticket string `cbor:"2,keyasint"`
	// Ended is set at the end of the request, and unset at its first event.
	Ended bool         `cbor:"3,keyasint,omitempty"`
	End   place.Ending `cbor:"4,keyasint,omitempty"`
	// Span is the time to the first event, or at the end the longest pause between events.
	Span clock.Milli `cbor:"5,keyasint,omitempty"`
	// Slot is the endpoint whose slot is released, empty for requests at model engines; Rejected is
	// set if it had no room for the request.
	Slot     ident.Process `cbor:"6,keyasint,omitempty"`
	Rejected bool          `cbor:"7,keyasint,omitempty"`
	// Bindings are those of streams that began; the other fields but Pool are unset then.
	Bindings []sticky.Binding `cbor:"8,keyasint,omitempty"`
	// Withdrawn is set if the request may have been granted an endpoint, but does not use it.
	Withdrawn bool `cbor:"9,keyasint,omitempty"`
	// Pace is how long work takes at the model engine in percent of the usual, zero if it doesn't report it, and
	// PaceAge the age of this figure when the message is sent.
	Pace    int         `cbor:"10,keyasint,omitempty"`
	PaceAge clock.Milli `cbor:"11,keyasint,omitempty"`
	// paceAt is when the figure came.
	paceAt clock.Milli
	// repeated is set once the report is sent again.
	repeated bool
}

// FirstEvent records the first event of a request and the time that it took.
func (crd *Coordinator) FirstEvent(pool string, plc Placement, took clock.Milli) {
	if plc.Ticket == "" {
		return
	}
	crd.set.Pools.FirstEvent(pool, plc.Ticket, took)
	crd.reports.add(crd, plc.promptCoordinator, report{Pool: pool, Ticket: plc.Ticket, Span: took}.withPace(plc.Pace))
}

// RecordEnd records the end of a request at a model engine, and the longest pause between its
// events.
func (crd *Coordinator) RecordEnd(pool string, plc Placement, end place.Ending, pause clock.Milli) {
	if plc.Ticket == "" {
		return
	}
	crd.set.Pools.End(pool, plc.Ticket, end, pause)
	crd.dispatch(pool)
	crd.reports.add(crd, plc.promptCoordinator, report{Pool: pool, Ticket: plc.Ticket, Ended: true, End: end, Span: pause}.withPace(plc.Pace))
}

// HandleReports handles reports on requests that were placed here; it is registered with the link.
func (crd *Coordinator) HandleReports(msg peer.Message) peer.Message {
	var list []report
	if cbor.Unmarshal(msg.Body, &list) != nil {
		return peer.Message{Kind: peer.Nack, From: crd.set.Control.Self()}
	}
	ended := map[string]bool{}
	defer func() {
		for pool := range ended {
			crd.dispatch(pool)
		}
	}()
	for _, rpt := range list {
		if len(rpt.Bindings) > 0 {
			crd.bindings.learn(rpt.Pool, rpt.Bindings, crd.set.Clock.Now())
			crd.copyBindings(rpt.Pool, rpt.Bindings)
			continue
		}
		crd.learnPace(rpt)
		if rpt.Ended {
			ended[rpt.Pool] = true
			if rpt.Withdrawn {
				crd.queues.withdraw(msg.From, rpt.Ticket, crd.set.Clock.Now())
				crd.leaveByTicket(rpt.Pool, rpt.Ticket)
			}
			crd.queues.drop(rpt.Ticket)
		}
		switch {
		case rpt.Slot != "" || rpt.Withdrawn && crd.set.Pools.IsBrittle(rpt.Pool):
			crd.set.Pools.ReleaseSlot(rpt.Slot, rpt.Ticket, rpt.Rejected)
			continue
		case rpt.Ended:
			crd.set.Pools.End(rpt.Pool, rpt.Ticket, rpt.End, rpt.Span)
			continue
		}
		crd.set.Pools.FirstEvent(rpt.Pool, rpt.Ticket, rpt.Span)
	}
	return peer.Message{Kind: peer.OK, From: crd.set.Control.Self()}
}

// withPace returns the report with a figure of the endpoint's pace, if there is one.
func (rpt report) withPace(fig pace.Figure) report {
	if fig.IsValid() {
		rpt.Pace, rpt.paceAt = fig.Percent, fig.At
	}
	return rpt
}

// learnPace records the pace that another instance reports of a model engine. Its age excludes the way of the
// message, which is short against the time in which figures fade.
func (crd *Coordinator) learnPace(rpt report) {
	if fig := (pace.Figure{Percent: rpt.Pace, At: crd.set.Clock.Now() - max(rpt.PaceAge, 0)}); fig.IsValid() {
		crd.set.Pools.ReportPace(rpt.Pool, rpt.Ticket, fig)
	}
}

// reports collects the reports for each coordinator.
type reports struct {
	mtx           sync.Mutex
	byCoordinator map[ident.Incarnation][]report
}

func (rps *reports) add(crd *Coordinator, inc ident.Incarnation, rpt report) {
	if inc == "" {
		return
	}
	rps.mtx.Lock()
	defer rps.mtx.Unlock()
	if rps.byCoordinator == nil {
		rps.byCoordinator = map[ident.Incarnation][]report{}
	}
	if len(rps.byCoordinator[inc]) == 0 {
		crd.set.After(reportDelay, func() { rps.send(crd, inc) })
	}
	rps.byCoordinator[inc] = append(rps.byCoordinator[inc], rpt)
}

func (rps *reports) send(crd *Coordinator, inc ident.Incarnation) {
	rps.mtx.Lock()
	list := rps.byCoordinator[inc]
	delete(rps.byCoordinator, inc)
	rps.mtx.Unlock()
	if len(list) == 0 {
		return
	}
	now := crd.set.Clock.Now()
	for i := range list {
		if list[i].Pace != 0 {
			list[i].PaceAge = now - list[i].paceAt
		}
	}
	body, err := cbor.Marshal(list)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	answered := crd.copyUnlessAnswered(list)
	if _, err := crd.set.Link.Call(ctx, inc.Addr(), peer.Message{Kind: peer.ReportPlaced, From: crd.set.Control.Self(), Body: body}); err == nil {
		answered()
	} else {
		rps.repeatReleases(crd, inc, list)
	}
}

// repeatReleases adds the releases of slots to the next message to a coordinator, each once: a slot
// that is not released is unused until its request must have ended. Other reports that are lost are
// not repeated, since a coordinator drops requests without a report after a while.
func (rps *reports) repeatReleases(crd *Coordinator, inc ident.Incarnation, list []report) {
	for _, rpt := range list {
		if rpt.Slot != "" && !rpt.repeated {
			rpt.repeated = true
			rps.add(crd, inc, rpt)
		}
	}
}

// withdraw gives back what another instance may have granted to an attempt, whose answer was lost or came too late,
// and once more: the report may have been lost.
func (crd *Coordinator) withdraw(inc ident.Incarnation, pool, ticket string) {
	rpt := report{Pool: pool, Ticket: ticket, Ended: true, End: place.Neutral, Withdrawn: true}
	crd.reports.add(crd, inc, rpt)
	crd.set.After(slotGrace, func() { crd.reports.add(crd, inc, rpt) })
}
