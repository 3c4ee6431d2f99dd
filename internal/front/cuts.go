package front

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/homes"
	"amaranthvalve/internal/relay"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/poison"
)

// namedEnds bounds the endpoints that a refusal names.
const namedEnds = 4

// mark names the request by what stays the same when its caller sends it again.
func (cl *call) mark() poison.Mark {
	cl.marking.Do(func() { cl.marked = poison.MarkOf(cl.http.Host, cl.http.RequestURI, cl.wsp, cl.req.Body) })
	return cl.marked
}

// wasCut examines an endpoint that has cut off an attempt. If it has ended, and not only the
// connection, the request is suspected, here and at all other instances.
func (fr *Front) wasCut(cl *call, tgt homes.Seat) {
	mrk, leaving := cl.mark(), fr.set.Control.View().IsLeaving(tgt.ID)
	go func() {
		ended := relay.Ended(context.Background(), tgt.Addr)
		switch counts := ended && !leaving; {
		case counts && !cl.trial:
			fr.set.Control.EndedUnder(mrk, tgt.ID)
		case !counts && cl.trial:
			fr.set.Control.CancelTrial(mrk, cl.trialName())
		}
		fr.set.Log.Info().Str("request", cl.ask.ID).Stringer("mark", mrk).Str("workspace", cl.wsp).Str("pool", cl.pool.Name()).
			Str("endpoint", string(tgt.ID)).Bool("ended", ended).Bool("leaving", leaving).Msg("cut off")
	}()
}

// endsUnder gives the endpoints that ended under a request.
func (fr *Front) endsUnder(cl *call) []poison.End {
	sus := fr.set.Control.View().Suspects()
	if sus.Empty() {
		return nil
	}
	return sus.Ends(cl.mark())
}

// ranWhole clears a request that an endpoint has run to its end. A failure proves nothing, since
// the endpoint may have failed before it began, and neither does an answer that ends
// with its connection: so does that of an endpoint which ends.
func (fr *Front) ranWhole(cl *call, rsp *relay.Response) {
	if rsp.Framed && rsp.Status < http.StatusInternalServerError && len(fr.endsUnder(cl)) > 0 {
		fr.set.Control.RanWhole(cl.mark())
	}
}

// quarantine refuses requests under which several endpoints have ended: the next one would
// end too, and break off what others have there.
func (fr *Front) quarantine(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	sus := fr.set.Control.View().Suspects()
	switch {
	case sus.Empty() || !sus.OnTrial(cl.mark()):
		return nxt(ctx, cl)
	case fr.isQuarantined(cl) || !fr.set.Control.BeginTrial(cl.mark(), cl.trialName()):
		return fr.quarantined(cl)
	}
	cl.trial = true
	res := nxt(ctx, cl)
	if res.IsRefusal() {
		fr.set.Control.CancelTrial(cl.mark(), cl.trialName())
	}
	return res
}

// trialName names this attempt of the caller's where an endpoint's name is expected.
func (cl *call) trialName() ident.Process { return ident.Process("attempt " + cl.ask.ID) }

func (fr *Front) isQuarantined(cl *call) bool {
	sus := fr.set.Control.View().Suspects()
	return !cl.trial && !sus.Empty() && sus.Quarantined(cl.mark(), fr.set.Clock.Now()) > 0
}

// quarantined gives the refusal of such a request. It names no time to come back: the same
// request would be refused again.
func (fr *Front) quarantined(cl *call) outcm.Result {
	now := fr.set.Clock.Now()
	ends := fr.endsUnder(cl)
	var told []string
	for _, end := range ends[max(len(ends)-namedEnds, 0):] {
		told = append(told, fmt.Sprintf("%s %.1f s ago, told by %s", end.Endpoint, (now-end.At).Seconds(), end.By))
	}
	return outcm.New(outcm.NotRun, outcm.Quarantined, fmt.Sprintf("%d endpoints ended under this request: %s", len(ends), strings.Join(told, "; ")))
}
