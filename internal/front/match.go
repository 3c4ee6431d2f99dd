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
	// deniedUpTo is the age of a view up to which "no such route" and "no such
	// token" are told: a newer version may have added them, and then the answer
	// would be wrong.
	deniedUpTo = 2 * clock.Second
	// staleRetry is when to come back, to another instance.
	staleRetry = 300 * clock.Milli(1)
	// lineBytes is what a header line takes beside name and value.
	lineBytes = 4
	// longestWait bounds requests whose route and caller name no time.
	longestWait = clock.Minute
)

// match finds the route and reads the request.
func (fr *Front) match(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	pln := cl.view.Plan()
	if pln == nil {
		return outcm.Refuse(outcm.StaleView, staleRetry, "no documents are known yet")
	}
	if most := pln.Limits().HeaderBytes; most > 0 && headerSize(cl.http) > most {
		return outcm.New(outcm.NotRun, outcm.HeaderTooLarge, "the header is longer than the documents allow")
	}
	ask, err := fr.set.Dialect.Read(cl.http)
	cl.ask = ask
	if err != nil {
		return outcm.New(outcm.NotRun, outcm.BadRequest, err.Error())
	}
	path, _, _ := strings.Cut(cl.http.RequestURI, "?")
	rte, ok := pln.Match(cl.http.Host, path)
	if !ok {
		return fr.deny(cl, outcm.New(outcm.NotRun, outcm.NoRoute, "no route has this host and path"))
	}
	cl.route = rte
	fr.bound(cl)
	if res := fr.read(cl, pln.Limits()); res.Outcome() != outcm.Pending {
		return res
	}
	ctx, cancel := context.WithDeadline(ctx, fr.set.Clock.Deadline(cl.until))
	defer cancel()
	return nxt(ctx, cl)
}

// bound sets the instants that bound the request.
func (fr *Front) bound(cl *call) {
	span := longestWait
	if cl.ask.Left > 0 {
		span = min(span, cl.ask.Left)
	}
	if tmo := cl.route.Timeout(); tmo > 0 {
		span = min(span, tmo)
	}
	cl.until = cl.arrived + span
	cl.due = cl.until
	if goal := cl.route.Goal(); goal > 0 {
		cl.due = min(cl.until, cl.arrived+goal)
	}
	cl.rank = cl.view.Plan().Rank(cl.route, nil)
}

// deny gives a final no, unless a newer version may allow it.
func (fr *Front) deny(cl *call, res outcm.Result) outcm.Result {
	if cl.view.Age(fr.set.Clock.Now()) > deniedUpTo {
		return outcm.Refuse(outcm.StaleView, staleRetry, "the documents here may be old: "+res.Detail())
	}
	return res
}

// headerSize gives the bytes of a request's head, roughly as it was sent.
func headerSize(req *http.Request) int {
	size := len(req.Method) + len(req.RequestURI) + len(req.Host) + len("Host: HTTP/1.1") + 2*lineBytes
	for name, vals := range req.Header {
		for _, val := range vals {
			size += len(name) + len(val) + lineBytes
		}
	}
	return size
}

// read reads the whole body before anything is sent on. An endpoint may answer
// before it has read a body; with the body in hand the caller's connection stays
// in order whatever the endpoint does, and a second endpoint can be sent the same.
func (fr *Front) read(cl *call, lim plan.Limits) outcm.Result {
	if serve.Ambiguous(cl.http) {
		cl.out.last = true
		return outcm.New(outcm.NotRun, outcm.BadRequest, "the body has a length and chunks, or follows a request that wasn't answered yet")
	}
	most := lim.BodyBytes
	if most > 0 && cl.http.ContentLength > most {
		return outcm.New(outcm.NotRun, outcm.BodyTooLarge, "the body is longer than the documents allow")
	}
	rdr := io.Reader(cl.http.Body)
	if most > 0 {
		rdr = io.LimitReader(rdr, most+1)
	}
	body, err := fr.readBy(cl, rdr)
	switch {
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded) && cl.http.Context().Err() == nil:
		cl.out.last = true
		return outcm.Refuse(outcm.DeadlinePassed, soonest, "the body did not come in time")
	case err != nil && errors.Is(err, io.ErrUnexpectedEOF):
		return outcm.New(outcm.NotRun, outcm.CallerGone, "the body ended early")
	case err != nil:
		return outcm.New(outcm.NotRun, outcm.BadRequest, "the body can't be read: "+err.Error())
	case most > 0 && int64(len(body)) > most:
		return outcm.New(outcm.NotRun, outcm.BodyTooLarge, "the body is longer than the documents allow")
	}
	cl.req = relay.Request{
		ID: cl.ask.ID, Method: cl.http.Method, Host: cl.http.Host, Target: cl.http.RequestURI,
		Header: cl.http.Header, Body: body,
	}
	return outcm.Result{}
}

// readBy reads a body up to the request's end. Without a bound of its own a body that comes
// slowly is read on when nobody waits for its answer any more.
func (fr *Front) readBy(cl *call, rdr io.Reader) ([]byte, error) {
	if cl.out.ctl.SetReadDeadline(fr.set.Clock.Deadline(cl.until)) != nil {
		return io.ReadAll(rdr)
	}
	if ctx := cl.http.Context(); ctx.Err() != nil {
		// A planned stop ended the reading right before.
		return nil, context.Cause(ctx)
	}
	body, err := io.ReadAll(rdr)
	if err == nil {
		_ = cl.out.ctl.SetReadDeadline(time.Time{})
	}
	return body, err
}

// identify finds the workspace by its token. Tokens are honoured only while it is
// known that they were in force a short while ago: one that was taken away must
// not run anything anywhere, also on an instance that has heard nothing since.
func (fr *Front) identify(ctx context.Context, cl *call, nxt chain.Next[*call]) outcm.Result {
	if cl.route.Open() || !cl.view.Plan().Named() {
		return nxt(ctx, cl)
	}
	wsp, ok := cl.view.Plan().Workspace(cl.ask.Token)
	if !ok {
		return fr.deny(cl, outcm.New(outcm.NotRun, outcm.BadToken, "the token is not one of a workspace that may call"))
	}
	if !fr.honours(cl.view) {
		return notHonoured()
	}
	cl.wsp = wsp.Name()
	cl.rank = cl.view.Plan().Rank(cl.route, wsp)
	return nxt(ctx, cl)
}

// notHonoured refuses a request whose token may be in force no longer.
func notHonoured() outcm.Result {
	return outcm.Refuse(outcm.StaleView, staleRetry, "it is not known whether the token is still in force")
}

// honours tells whether a view is new enough for its tokens to be honoured.
func (fr *Front) honours(vw *state.View) bool {
	return vw.Age(fr.set.Clock.Now()) <= fr.set.TokensFor
}

// stillAllowed looks once more right before something is sent: a request may have
// waited for its stages for seconds, and its token may be gone meanwhile.
func (fr *Front) stillAllowed(cl *call) bool {
	if cl.wsp == "" {
		return true
	}
	vw := fr.set.Control.View()
	wsp, ok := vw.Plan().Workspace(cl.ask.Token)
	return ok && wsp.Name() == cl.wsp && fr.honours(vw)
}
