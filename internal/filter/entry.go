package filter

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"regexp"

	"amaranthvalve/internal/chain"
	"amaranthvalve/internal/contr"
	"amaranthvalve/pkg/claim"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/outcm"
	"amaranthvalve/pkg/svcdoc"
)

// Bounds of a request.
const (
	// MaxBody bounds the body of a request, in bytes.
	MaxBody       = 4 << 20
	maxTokens     = 8192
	defaultTokens = 16
	// staleRetryAfter and stopRetryAfter are the retry-after delays of callers that are referred to
	// another instance.
	staleRetryAfter = clock.Second
	stopRetryAfter  = 100 * clock.Milli(1)
)

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// ready refuses new work while the documents may be outdated, and at the end of a planned
// shutdown.
func (chn *Chain) ready(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	if chn.ctl.Stopping() {
		return outcm.Refuse(outcm.Stopping, stopRetryAfter, "this instance is stopping; use another address")
	}
	if ready, why := chn.ctl.View().Ready(chn.clk.Now()); !ready {
		return outcm.Refuse(outcm.StaleView, staleRetryAfter, why+"; use another address")
	}
	return next(ctx, cl)
}

// document finds the service and the kind of request.
func (chn *Chain) document(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	dvr, ok := chn.ctl.View().Doc(cl.Service)
	if !ok {
		return outcm.New(outcm.NotRun, outcm.UnknownService, fmt.Sprintf("no document names a service %q", cl.Service))
	}
	cl.doc = dvr.Doc()
	kind, ok := cl.doc.Request(cl.Submit.Request)
	if !ok {
		return outcm.New(outcm.NotRun, outcm.UnknownRequestKind, fmt.Sprintf("request: service %s has no kind %q", cl.Service, cl.Submit.Request))
	}
	cl.kind = kind
	return next(ctx, cl)
}

// identify finds the workspace and checks its token. An unknown workspace and a wrong token get
// the same result, so that names of workspaces can't be found by trial.
func (chn *Chain) identify(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	wsp, ok := cl.doc.Workspace(cl.Workspace)
	if !ok || !tokenMatches(wsp, cl.Token) {
		return outcm.New(outcm.NotRun, outcm.UnknownWorkspace, "the workspace may not call this service, or its token is wrong")
	}
	cl.wsp = wsp
	return next(ctx, cl)
}

func tokenMatches(wsp svcdoc.Workspace, token string) bool {
	if wsp.TokenHash() == "" {
		return true
	}
	sum := sha256.Sum256([]byte(token))
	got := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(got), []byte(wsp.TokenHash())) == 1
}

// check validates the fields of the request.
func (chn *Chain) check(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	if res := chn.checkDeadline(cl); res.Outcome() != outcm.Pending {
		return res
	}
	if res := chn.checkKey(cl); res.Outcome() != outcm.Pending {
		return res
	}
	if res := chn.checkResume(cl); res.Outcome() != outcm.Pending {
		return res
	}
	return next(ctx, cl)
}

func invalid(rs outcm.Reason, format string, args ...any) outcm.Result {
	return outcm.New(outcm.NotRun, rs, fmt.Sprintf(format, args...))
}

func (chn *Chain) checkDeadline(cl *Call) outcm.Result {
	span := cl.doc.Deadline()
	if cl.Submit.DeadlineMs < 0 {
		return invalid(outcm.BadRequest, "deadline_ms: %d is below 0", cl.Submit.DeadlineMs)
	}
	if cl.Submit.DeadlineMs > 0 {
		span = min(span, cl.Submit.DeadlineMs)
	}
	cl.deadline = cl.arrivedAt + span
	if cl.Submit.MaxTokens < 0 || cl.Submit.MaxTokens > maxTokens {
		return invalid(outcm.BadRequest, "max_tokens: %d is not in 0 to %d", cl.Submit.MaxTokens, maxTokens)
	}
	if cl.Submit.MaxTokens == 0 {
		cl.Submit.MaxTokens = defaultTokens
	}
	return outcm.Result{}
}

func (chn *Chain) checkKey(cl *Call) outcm.Result {
	if !cl.kind.NonIdempotent() {
		if cl.Submit.Key != "" {
			return invalid(outcm.BadRequest, "key: requests of kind %s are idempotent and take no key", cl.kind.Name())
		}
		return outcm.Result{}
	}
	if cl.Submit.Key == "" {
		return invalid(outcm.KeyMissing, "key: requests of kind %s run at most once and require a key and expires_ms", cl.kind.Name())
	}
	if !keyPattern.MatchString(cl.Submit.Key) {
		return invalid(outcm.BadRequest, "key: it must have 1 to 128 characters of letters, digits, '.', '_', ':' and '-'")
	}
	if !isValidExpiry(cl.Submit.ExpiresMs, cl.arrivedAt, cl.doc.KeyLife()) {
		return invalid(outcm.BadRequest, "expires_ms: %d is not an instant within the next %d ms", cl.Submit.ExpiresMs, cl.doc.KeyLife())
	}
	return outcm.Result{}
}

// clockSkew is how far a caller's clock may be ahead of that of the instance. Without it, a
// caller that requests the longest key life by its own clock is refused if that clock is ahead
// by a millisecond. Ledgers allow for an hour of skew (package claim).
const clockSkew = 2 * clock.Second

// isValidExpiry reports whether an instant is valid as the expiry of a key.
func isValidExpiry(expires, now, life clock.Milli) bool {
	return expires > 0 && expires <= now+min(life+clockSkew, claim.MaxLife)
}

func (chn *Chain) checkResume(cl *Call) outcm.Result {
	rsm := cl.Submit.Resume
	if rsm == nil {
		return outcm.Result{}
	}
	if cl.kind.NonIdempotent() {
		return invalid(outcm.BadResume, "resume: requests of a non-idempotent kind can't be resumed; repeat the request with its key")
	}
	tkn, err := chn.sealer.open(rsm.Token)
	if err != nil || tkn.Digest != cl.digest() {
		return invalid(outcm.BadResume, "resume.token: it was not issued for this request of this workspace")
	}
	if len(rsm.Have) > cl.Submit.MaxTokens {
		return invalid(outcm.BadResume, "resume.have: %d tokens exceed max_tokens %d", len(rsm.Have), cl.Submit.MaxTokens)
	}
	cl.requestID, cl.stream = tkn.RequestID, tkn.Stream
	return outcm.Result{}
}

// claim claims the key of a non-idempotent request, or returns the outcome recorded for the
// key.
func (chn *Chain) claim(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	if !cl.kind.NonIdempotent() {
		return next(ctx, cl)
	}
	cl.claim = contr.ClaimRequest{
		Key:     claim.FullKey(cl.Workspace, cl.Service, cl.Submit.Key),
		Attempt: ident.NewID(), Digest: cl.digest(), Expires: cl.Submit.ExpiresMs,
	}
	cl.claim.Boot, _ = claim.TicketBoot(cl.Submit.Key)
	cl.requestID = cl.claim.Key
	if res := chn.admitBeforeClaim(ctx, cl); res.Outcome() != outcm.Pending {
		return res
	}
	wctx, cancel := context.WithDeadline(ctx, chn.clk.Deadline(cl.deadline))
	defer cancel()
	crs := chn.ctl.Claim(wctx, cl.claim)
	cl.lookedUp = crs.LookedUp
	switch crs.Move {
	case claim.Run:
		return chn.runClaimed(ctx, cl, next)
	case claim.Answer:
		cl.output = crs.Answer
		if crs.Result.Outcome() == outcm.Done {
			return outcm.New(outcm.Done, outcm.Recorded, "the request ran earlier; this is its recorded answer")
		}
	}
	return crs.Result
}

// admitBeforeClaim refuses a request that can't be answered in time before it costs an append:
// under overload the log would otherwise receive a claim and a release for each refused
// request. A request whose key is known here is not refused, because its answer may be
// recorded.
func (chn *Chain) admitBeforeClaim(ctx context.Context, cl *Call) outcm.Result {
	if !chn.ctl.IsFree(ctx, cl.claim) {
		return outcm.Result{}
	}
	return chn.rnr.Admit(cl.job(chn))
}

// runClaimed runs a request whose key is held by this attempt, then settles or releases the
// key. It continues if the caller disconnects: the effect may have begun, and a repeat needs
// the answer.
func (chn *Chain) runClaimed(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	res := next(context.WithoutCancel(ctx), cl)
	switch res.Outcome() {
	case outcm.Done, outcm.Unknown:
		chn.ctl.Settle(cl.claim, res, cl.output)
	default:
		chn.ctl.Release(cl.claim)
	}
	return res
}

// admit refuses a request at once if it can't be answered in time.
func (chn *Chain) admit(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	if res := chn.rnr.Admit(cl.job(chn)); res.Outcome() != outcm.Pending {
		return res
	}
	return next(ctx, cl)
}
