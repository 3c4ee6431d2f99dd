package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/relay"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/pkg/reach"
)

const (
	// maxListedCrashes bounds the endpoints that a refusal names.
	maxListedCrashes = 4
	// maxLoggedParts bounds the parts of a prompt in a log line, maxPartName the length of each in bytes.
	maxLoggedParts = 8
	maxPartName    = 32
	// maxSuspectParts bounds the parts of one prompt that a crash accuses.
	maxSuspectParts = 64
)

// fingerprint identifies the request by the parts that stay the same when its caller sends it
// again.
func (cl *call) fingerprint() poison.Fingerprint {
	cl.fprintOnce.Do(func() { cl.fprint = poison.FingerprintOf(cl.http.Host, cl.http.RequestURI, cl.wsp, cl.req.Body) })
	return cl.fprint
}

// parts returns the fingerprints of the parts of the prompt that other requests may share.
func (cl *call) parts() []poison.Fingerprint {
	if len(cl.ask.SharedParts) == 0 || cl.pool == nil {
		return nil
	}
	cl.partsOnce.Do(func() {
		for _, id := range cl.ask.SharedParts[:min(len(cl.ask.SharedParts), maxSuspectParts)] {
			cl.partPrints = append(cl.partPrints, poison.PartOf(cl.pool.Name(), id))
		}
	})
	return cl.partPrints
}

// checkCrash probes an endpoint that has closed the connection of an attempt. If the endpoint has crashed, and
// not only closed the connection, the request and the parts of its prompt become suspects at all instances. An
// attempt is whole if its answer ended as a complete one without framing does.
func (fr *Front) checkCrash(cl *call, tgt coord.Placement, whole bool) {
	fr.checkCrashSince(cl, tgt, whole, cl.headAt, cl.answering(fr.set.Clock.Now()))
}

// checkCrashSince is checkCrash for an attempt whose answer began at a time and has lasted for a span; see
// [call.answering].
func (fr *Front) checkCrashSince(cl *call, tgt coord.Placement, whole bool, began, answering clock.Milli) {
	fpr, leaving := cl.fingerprint(), fr.set.Control.View().IsLeaving(tgt.ID)
	parts := cl.parts()
	settled := answering >= poison.SettledAnswer
	go func() {
		process := fr.set.CheckProcess(context.Background(), tgt.Addr)
		counts := process == reach.Ended && !leaving
		switch trialOfRequest := cl.trial && len(cl.trialOf.Parts) == 0; {
		case trialOfRequest && !counts:
			fr.set.Control.CancelTrial(cl.trialOf)
		case trialOfRequest || !counts:
			// The fact of the trial counts as the crash.
		case settled:
			fr.set.Control.RecordCrash(fpr, tgt.ID)
		default:
			fr.set.Control.RecordCrash(fpr, tgt.ID, parts...)
		}
		if settled || whole && process == reach.Running {
			fr.set.Control.RecordAnswer(parts, began)
		}
		fr.set.Log.Info().Str("request", cl.ask.ID).Stringer("mark", fpr).Str("workspace", cl.wsp).Str("pool", cl.pool.Name()).
			Str("endpoint", string(tgt.ID)).Bool("ended", process == reach.Ended).Stringer("process", process).Bool("leaving", leaving).
			Strs("parts", cl.partNames()).Int64("answering_ms", int64(answering)).Bool("trial", cl.trial).Msg("connection closed by endpoint")
	}()
}

// answering returns how long the endpoint has been answering the last attempt; -1 if the answer has not begun.
func (cl *call) answering(now clock.Milli) clock.Milli {
	if cl.headAt == 0 {
		return -1
	}
	return now - cl.headAt
}

// partNames returns the parts of the prompt for a log line.
func (cl *call) partNames() []string {
	var list []string
	for _, id := range cl.ask.SharedParts[:min(len(cl.ask.SharedParts), maxLoggedParts)] {
		list = append(list, partName(id))
	}
	return list
}

func partName(id string) string { return id[:min(len(id), maxPartName)] }

// crashesUnder returns the crashes of endpoints recorded for a request.
func (fr *Front) crashesUnder(cl *call) []poison.Crash {
	sus := fr.set.Control.View().Suspects()
	if sus.Empty() {
		return nil
	}
	return sus.Crashes(cl.fingerprint())
}

// judgeEnd clears a request that an endpoint has run to completion of the suspicion that it makes endpoints
// crash, and the parts of its prompt. A failure status proves nothing, since the endpoint may have failed before
// it began. The end of a response that has no framing doesn't either: a crash ends it in the same way, so that
// the endpoint is probed.
func (fr *Front) judgeEnd(cl *call, tgt coord.Placement, rsp *relay.Response) {
	whole := rsp.Status >= http.StatusOK && rsp.Status < http.StatusMultipleChoices
	if !rsp.Framing.ProvesEnd() {
		fr.checkCrash(cl, tgt, whole)
		return
	}
	if rsp.Status < http.StatusInternalServerError && len(fr.crashesUnder(cl)) > 0 {
		fr.set.Control.RecordCompletion(cl.fingerprint())
	}
	if whole {
		fr.set.Control.RecordAnswer(cl.parts(), cl.headAt)
	}
}

// quarantine refuses requests under which several endpoints have crashed, or with a part in their prompts under
// which they have: the next endpoint would crash too, and the other requests there would fail with it. When a
// quarantine is over, one attempt is admitted for a trial.
func (fr *Front) quarantine(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	sus := fr.set.Control.View().Suspects()
	if sus.Empty() {
		return nxt(ctx, cl)
	}
	now, trl := fr.set.Clock.Now(), state.Trial{Pool: cl.pool.Name(), Attempt: cl.ask.ID}
	due := sus.Quarantined(cl.fingerprint(), now) == 0
	if sus.OnTrial(cl.fingerprint()) {
		trl.Request = []poison.Fingerprint{cl.fingerprint()}
	}
	for _, prt := range sus.Convicted(cl.parts()) {
		trl.Parts = append(trl.Parts, prt.Fingerprint())
		due = due && prt.Quarantined(now) == 0
	}
	switch {
	case len(trl.Request)+len(trl.Parts) == 0:
		return nxt(ctx, cl)
	case !due || !fr.set.Control.BeginTrial(trl):
		return fr.refuseQuarantined(cl)
	}
	cl.trial, cl.trialOf = true, trl
	res := nxt(ctx, cl)
	if res.IsRefusal() && (cl.attempts == 0 || len(trl.Parts) == 0) {
		fr.set.Control.CancelTrial(trl)
	}
	return res
}

func (fr *Front) isQuarantined(cl *call) bool {
	sus := fr.set.Control.View().Suspects()
	return !cl.trial && !sus.Empty() && (sus.Quarantined(cl.fingerprint(), fr.set.Clock.Now()) > 0 || len(sus.Convicted(cl.parts())) > 0)
}

// refuseQuarantined returns the refusal of a quarantined request. It carries no retry-after delay:
// the same request would be refused again.
func (fr *Front) refuseQuarantined(cl *call) outcm.Result {
	now := fr.set.Clock.Now()
	cause, crashes := "this request", fr.crashesUnder(cl)
	sus := fr.set.Control.View().Suspects()
	for i, fpr := range cl.parts() {
		if list := sus.Convicted([]poison.Fingerprint{fpr}); len(list) > 0 {
			cause, crashes = fmt.Sprintf("requests with the part %q in their prompts", partName(cl.ask.SharedParts[i])), list[0].Crashes()
			break
		}
	}
	var listed []string
	for _, crash := range crashes[max(len(crashes)-maxListedCrashes, 0):] {
		listed = append(listed, fmt.Sprintf("%s %.1f s ago, reported by %s", crash.Endpoint, (now-crash.At).Seconds(), crash.By))
	}
	return outcm.New(outcm.NotRun, outcm.Quarantined, fmt.Sprintf("%d endpoints crashed under %s: %s", len(crashes), cause, strings.Join(listed, "; ")))
}
