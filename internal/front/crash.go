package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/relay"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/poison"
)

const (
	// maxListedCrashes bounds the endpoints that a refusal names.
	maxListedCrashes = 4
	// maxLoggedParts bounds the parts of a prompt in a log line, maxPartName the length of each in bytes.
	maxLoggedParts = 8
	maxPartName    = 32
)

// fingerprint identifies the request by the parts that stay the same when its caller sends it
// again.
func (cl *call) fingerprint() poison.Fingerprint {
	cl.fprintOnce.Do(func() { cl.fprint = poison.FingerprintOf(cl.http.Host, cl.http.RequestURI, cl.wsp, cl.req.Body) })
	return cl.fprint
}

// checkCrash probes an endpoint that has closed the connection of an attempt. If the endpoint has
// crashed, and not only closed the connection, the request becomes a suspect at all instances.
func (fr *Front) checkCrash(cl *call, tgt coord.Placement) {
	fpr, leaving := cl.fingerprint(), fr.set.Control.View().IsLeaving(tgt.ID)
	answering := cl.answering(fr.set.Clock.Now())
	go func() {
		ended := fr.set.ProcessEnded(context.Background(), tgt.Addr)
		switch counts := ended && !leaving; {
		case counts && !cl.trial:
			fr.set.Control.RecordCrash(fpr, tgt.ID)
		case !counts && cl.trial:
			fr.set.Control.CancelTrial(fpr, cl.attemptName())
		}
		fr.set.Log.Info().Str("request", cl.ask.ID).Stringer("mark", fpr).Str("workspace", cl.wsp).Str("pool", cl.pool.Name()).
			Str("endpoint", string(tgt.ID)).Bool("ended", ended).Bool("leaving", leaving).
			Strs("parts", cl.partNames()).Int64("answering_ms", int64(answering)).Msg("connection closed by endpoint")
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
		list = append(list, id[:min(len(id), maxPartName)])
	}
	return list
}

// crashesUnder returns the crashes of endpoints recorded for a request.
func (fr *Front) crashesUnder(cl *call) []poison.Crash {
	sus := fr.set.Control.View().Suspects()
	if sus.Empty() {
		return nil
	}
	return sus.Crashes(cl.fingerprint())
}

// judgeEnd clears a request that an endpoint has run to completion of the suspicion that it makes endpoints
// crash. A failure status proves nothing, since the endpoint may have failed before it began. The end of a
// response that has no framing doesn't either: a crash ends it in the same way, so that the endpoint is
// probed.
func (fr *Front) judgeEnd(cl *call, tgt coord.Placement, rsp *relay.Response) {
	switch {
	case !rsp.Framing.ProvesEnd():
		fr.checkCrash(cl, tgt)
	case rsp.Status < http.StatusInternalServerError && len(fr.crashesUnder(cl)) > 0:
		fr.set.Control.RecordCompletion(cl.fingerprint())
	}
}

// quarantine refuses requests under which several endpoints have crashed: the next endpoint would
// crash too, and the other requests there would fail with it. When a quarantine is over, one
// attempt is admitted for a trial.
func (fr *Front) quarantine(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	sus := fr.set.Control.View().Suspects()
	switch {
	case sus.Empty() || !sus.OnTrial(cl.fingerprint()):
		return nxt(ctx, cl)
	case fr.isQuarantined(cl) || !fr.set.Control.BeginTrial(cl.fingerprint(), cl.attemptName()):
		return fr.refuseQuarantined(cl)
	}
	cl.trial = true
	res := nxt(ctx, cl)
	if res.IsRefusal() {
		fr.set.Control.CancelTrial(cl.fingerprint(), cl.attemptName())
	}
	return res
}

// attemptName identifies this attempt of the caller where an endpoint's name is expected.
func (cl *call) attemptName() ident.Process { return ident.Process("attempt " + cl.ask.ID) }

func (fr *Front) isQuarantined(cl *call) bool {
	sus := fr.set.Control.View().Suspects()
	return !cl.trial && !sus.Empty() && sus.Quarantined(cl.fingerprint(), fr.set.Clock.Now()) > 0
}

// refuseQuarantined returns the refusal of a quarantined request. It carries no retry-after delay:
// the same request would be refused again.
func (fr *Front) refuseQuarantined(cl *call) outcm.Result {
	now := fr.set.Clock.Now()
	crashes := fr.crashesUnder(cl)
	var listed []string
	for _, crash := range crashes[max(len(crashes)-maxListedCrashes, 0):] {
		listed = append(listed, fmt.Sprintf("%s %.1f s ago, reported by %s", crash.Endpoint, (now-crash.At).Seconds(), crash.By))
	}
	return outcm.New(outcm.NotRun, outcm.Quarantined, fmt.Sprintf("%d endpoints crashed under this request: %s", len(crashes), strings.Join(listed, "; ")))
}
