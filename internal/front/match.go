package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/relay"
	"amaranthvalve/internal/serve"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/plan"
)

const (
	// maxDenyAge is the maximum age of a view for which "no such route" and "no such token" are
	// final: with an older view these may be wrong, since a newer version may have added them.
	maxDenyAge = 2 * clock.Second
	// staleRetryAfter is the retry-after delay, towards another instance, when the view is stale.
	staleRetryAfter = 300 * clock.Milli(1)
	// headerLineOverhead is the size of a header line beside name and value, in bytes.
	headerLineOverhead = 4
	// maxRequestTime bounds requests for which neither route nor caller sets a timeout.
	maxRequestTime = clock.Minute
)

// match finds the route and reads the request.
func (fr *Front) match(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	pln := cl.view.Plan()
	if pln == nil {
		return outcm.Refuse(outcm.StaleView, staleRetryAfter, "no documents are known yet")
	}
	if most := pln.Limits().HeaderBytes; most > 0 && headerSize(cl.http) > most {
		return outcm.New(outcm.NotRun, outcm.HeaderTooLarge, "the header exceeds the documents' limit")
	}
	ask, err := fr.set.Dialect.Read(cl.http)
	cl.ask = ask
	if err != nil {
		return outcm.New(outcm.NotRun, outcm.BadRequest, err.Error())
	}
	path, _, _ := strings.Cut(cl.http.RequestURI, "?")
	rte, ok := pln.Match(cl.http.Host, path)
	if !ok {
		return fr.deny(cl, outcm.New(outcm.NotRun, outcm.NoRoute, "no route matches this host and path"))
	}
	if err := relay.CheckTarget(cl.http.RequestURI); err != nil {
		return outcm.New(outcm.NotRun, outcm.BadRequest, err.Error())
	}
	cl.route = rte
	fr.setDeadlines(cl)
	if res := fr.readBody(cl, pln.Limits()); res.Outcome() != outcm.Pending {
		return res
	}
	ctx, cancel := context.WithDeadline(ctx, fr.set.Clock.Deadline(cl.deadline))
	defer cancel()
	return nxt(ctx, cl)
}

// setDeadlines sets the deadline, the due time and the rank of the request.
func (fr *Front) setDeadlines(cl *call) {
	span := maxRequestTime
	if cl.ask.Remaining > 0 {
		span = min(span, cl.ask.Remaining)
	}
	if tmo := cl.route.Timeout(); tmo > 0 {
		span = min(span, tmo)
	}
	cl.deadline = cl.arrived + span
	cl.due = cl.deadline
	if target := cl.route.TargetLatency(); target > 0 {
		cl.due = min(cl.deadline, cl.arrived+target)
	}
	cl.rank = cl.view.Plan().Rank(cl.route, nil)
}

// deny returns a final denial, or a refusal with a retry-after delay if the view is so old that a
// newer version may allow the request.
func (fr *Front) deny(cl *call, res outcm.Result) outcm.Result {
	if cl.view.Age(fr.set.Clock.Now()) > maxDenyAge {
		return outcm.Refuse(outcm.StaleView, staleRetryAfter, "the documents here may be stale: "+res.Detail())
	}
	return res
}

// headerSize returns the approximate size of a request's header as it was sent, in bytes.
func headerSize(req *http.Request) int {
	size := len(req.Method) + len(req.RequestURI) + len(req.Host) + len("Host: HTTP/1.1") + 2*headerLineOverhead
	for name, vals := range req.Header {
		for _, val := range vals {
			size += len(name) + len(val) + headerLineOverhead
		}
	}
	return size
}

// readBody reads the whole body before anything is forwarded. An endpoint may answer before it has
// read the body; with the body buffered, the caller's connection stays in sync whatever the
// endpoint does, and the same body can be sent to a second endpoint.
func (fr *Front) readBody(cl *call, lim plan.Limits) outcm.Result {
	if serve.Ambiguous(cl.http) {
		cl.out.closeAfter = true
		return outcm.New(outcm.NotRun, outcm.BadRequest, "the body has both a length and chunks, or follows a request that has not been answered yet")
	}
	most := lim.BodyBytes
	if most > 0 && cl.http.ContentLength > most {
		return outcm.New(outcm.NotRun, outcm.BodyTooLarge, "the body exceeds the documents' limit")
	}
	rdr := io.Reader(cl.http.Body)
	if most > 0 {
		rdr = io.LimitReader(rdr, most+1)
	}
	body, err := fr.readInTime(cl, rdr)
	switch {
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded) && cl.http.Context().Err() == nil:
		cl.out.closeAfter = true
		return outcm.Refuse(outcm.DeadlinePassed, minRetryAfter, "the body did not arrive before the deadline")
	case err != nil && errors.Is(err, io.ErrUnexpectedEOF):
		return outcm.New(outcm.NotRun, outcm.CallerGone, "the body ended before it was complete")
	case err != nil:
		return outcm.New(outcm.NotRun, outcm.BadRequest, "the body can't be read: "+err.Error())
	case most > 0 && int64(len(body)) > most:
		return outcm.New(outcm.NotRun, outcm.BodyTooLarge, "the body exceeds the documents' limit")
	}
	cl.req = relay.Request{
		ID: cl.ask.ID, Method: cl.http.Method, Host: cl.http.Host, Target: cl.http.RequestURI,
		Header: cl.http.Header, Body: body,
	}
	return outcm.Result{}
}

// readInTime reads a body up to the request's deadline. Without that bound a slow body would be
// read on after its caller has stopped waiting for the response.
func (fr *Front) readInTime(cl *call, rdr io.Reader) ([]byte, error) {
	if cl.out.ctl.SetReadDeadline(fr.set.Clock.Deadline(cl.deadline)) != nil {
		return io.ReadAll(rdr)
	}
	if ctx := cl.http.Context(); ctx.Err() != nil {
		// A planned shutdown has just canceled the request.
		return nil, context.Cause(ctx)
	}
	body, err := io.ReadAll(rdr)
	if err == nil {
		_ = cl.out.ctl.SetReadDeadline(time.Time{})
	}
	return body, err
}

// identify finds the workspace by its token. Tokens are accepted only while the view is recent
// enough: a revoked token must not run anything anywhere, also not on an instance that has
// received no update since.
func (fr *Front) identify(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	if cl.route.Open() || !cl.view.Plan().RequiresToken() {
		return nxt(ctx, cl)
	}
	wsp, ok := cl.view.Plan().Workspace(cl.ask.Token)
	if !ok {
		return fr.deny(cl, outcm.New(outcm.NotRun, outcm.BadToken, "the token belongs to no workspace"))
	}
	if !fr.confirmsTokens(cl.view) {
		return refuseUnconfirmed()
	}
	cl.wsp = wsp.Name()
	cl.rank = cl.view.Plan().Rank(cl.route, wsp)
	return nxt(ctx, cl)
}

// refuseUnconfirmed refuses a request whose token may have been revoked.
func refuseUnconfirmed() outcm.Result {
	return outcm.Refuse(outcm.StaleView, staleRetryAfter, "the documents here may be stale: the token may have been revoked")
}

// confirmsTokens reports whether a view is recent enough for its tokens to be accepted.
func (fr *Front) confirmsTokens(vw *state.View) bool {
	return vw.Age(fr.set.Clock.Now()) <= fr.set.TokenMaxViewAge
}

// tokenValid checks the token again right before something is sent: a request may have waited
// seconds for its stages, and its token may have been revoked meanwhile.
func (fr *Front) tokenValid(cl *call) bool {
	if cl.wsp == "" {
		return true
	}
	vw := fr.set.Control.View()
	wsp, ok := vw.Plan().Workspace(cl.ask.Token)
	return ok && wsp.Name() == cl.wsp && fr.confirmsTokens(vw)
}
