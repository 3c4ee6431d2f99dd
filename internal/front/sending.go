package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/relay"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ending"
)

// sending is one attempt of a final call.
type sending struct {
	tgt   coord.Placement
	began clock.Milli
	// hedge is set for an attempt that was sent while another one was in flight.
	hedge bool
	ctx   context.Context
	rqs   relay.Request
	meta  proto.SendMeta
	cgd   cancelGuard
	// checked is the last check whether the attempt may be sent.
	checked atomic.Pointer[check]
	// timer cancels the attempt if it is slow; it may be nil.
	timer *time.Timer
	// keepInputs stops the hook that releases the request's inputs; cancel and stop end the attempt.
	keepInputs func()
	cancel     func()
	stop       func()
	// The fields below are set by send. canceled is set if the attempt was canceled for another one, took is the
	// time to its answer or its end.
	rsp      *relay.Response
	end      ending.Ending
	err      error
	canceled bool
	took     clock.Milli
}

// begin prepares an attempt at an endpoint at which it is counted.
func (run *finalRun) begin(tgt coord.Placement) *sending {
	fr, cl := run.fr, run.cl
	cl.attempts++
	cl.endpoint = string(tgt.ID)
	run.avoid = append(run.avoid, string(tgt.ID))
	snd := &sending{tgt: tgt, began: fr.set.Clock.Now()}
	snd.ctx, snd.cancel = context.WithDeadline(cl.http.Context(), fr.set.Clock.Deadline(cl.deadline+answerGrace))
	snd.stop = fr.pools.Watch(cl.pool.Name(), tgt.ID, snd.cancel)
	snd.rqs, snd.keepInputs = fr.withInputRelease(cl, tgt)
	// The coordinator that chose the engine may not know of an evacuation yet.
	fetch := tgt.FetchFrom
	if fr.set.Control.View().IsWithheldAt(fetch) {
		fetch = ""
	}
	// The endpoint may have announced its end or asked for rest since it was chosen, perhaps by another
	// instance, or its data centre may have been evacuated.
	bound := cl.bound
	snd.rqs.Allowed = func() bool {
		fr.set.Control.AwaitList(snd.ctx)
		snd.checked.Store(fr.newCheck(snd.began))
		return fr.set.Control.MaySend(tgt.ID, "") && fr.set.Control.MaySendTo(fetch, "") && fr.tokenValid(cl) && !fr.isQuarantined(cl) && !fr.set.Control.View().IsLeaving(tgt.ID) &&
			!fr.set.Control.Resting(tgt.ID) && bound.allows(fr.set.Control.View().Build(tgt.ID))
	}
	snd.meta = proto.SendMeta{
		Endpoint: tgt.ID, Workspace: cl.wsp, Remaining: cl.deadline - snd.began, Priority: cl.rank, Inputs: cl.inputs, Fetch: fetch, LastEvent: run.lastEvent,
	}
	return snd
}

// check is a check whether an attempt may be sent: the time since its endpoint was chosen, and the source and
// the age of the list of endpoints by which this was decided.
type check struct {
	after    clock.Milli
	listFrom string
	listAge  clock.Milli
}

func (fr *Front) newCheck(chosen clock.Milli) *check {
	now, vw := fr.set.Clock.Now(), fr.set.Control.View()
	return &check{after: now - chosen, listFrom: vw.ListSource(), listAge: vw.ListAge(now)}
}

// log adds the check to a log line; an attempt that was never connected has none.
func (chk *check) log(evt *zerolog.Event) *zerolog.Event {
	if chk == nil {
		return evt
	}
	return evt.Int64("checked_ms", int64(chk.after)).Str("list_from", chk.listFrom).Int64("list_age_ms", int64(chk.listAge))
}

// send sends the attempt and waits until its answer begins or it ends.
func (snd *sending) send(fr *Front) {
	snd.rsp, snd.end, snd.err = fr.set.Relay.Do(snd.ctx, snd.tgt.Addr, snd.rqs, snd.meta)
	if snd.timer != nil {
		snd.timer.Stop()
	}
	snd.canceled = snd.cgd.settle()
	snd.took = fr.set.Clock.Since(snd.began)
	if snd.canceled && snd.end == ending.Answered {
		// The attempt was canceled just as the response began.
		snd.end = ending.GaveUp
	}
}

// close frees what the attempt holds at this instance, apart from its placement.
func (snd *sending) close() {
	if snd.rsp != nil {
		_ = snd.rsp.Body.Close()
	}
	snd.keepInputs()
	snd.stop()
	snd.cancel()
}

// isGood reports whether the attempt was answered with something other than a failure of the endpoint.
func (snd *sending) isGood() bool {
	return snd.end == ending.Answered && snd.rsp.Status < http.StatusInternalServerError
}

// isRejected reports whether the endpoint refused the request for lack of room.
func (snd *sending) isRejected() bool { return snd.end == ending.Refused && isRejection(snd.rsp) }

// sampleTimes records the time of an attempt. Canceled first attempts are sampled too: without them, a pool that
// becomes slow as a whole would get each request twice, measured against its old times.
func (fr *Front) sampleTimes(cl *call, snd *sending) {
	if snd.rsp != nil {
		snd.tgt.Pace = fr.pools.ReportLoad(cl.pool.Name(), snd.tgt.ID, snd.rsp.Reply)
	}
	if snd.canceled && !snd.hedge || snd.end == ending.Answered {
		now := fr.set.Clock.Now()
		fr.firstByteTimes.sample(cl.route.Name(), snd.took, now)
		fr.hedges.sample(fr.set.HedgeShare, cl, snd.took, now)
	}
}
