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
	// MaxBody bounds a request's body, in bytes.
	MaxBody       = 4 << 20
	maxTokens     = 8192
	defaultTokens = 16
	// staleRetry and stopRetry are when to come back, elsewhere.
	staleRetry = clock.Second
	stopRetry  = 100 * clock.Milli(1)
)

var keyRule = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// ready refuses new work while it is not known that the documents are in force,
// and at the end of a planned stop.
func (chn *Chain) ready(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	if chn.ctl.Stopping() {
		return outcm.Refuse(outcm.Stopping, stopRetry, "this instance is stopping, use another address")
	}
	if ready, why := chn.ctl.View().Ready(chn.clk.Now()); !ready {
		return outcm.Refuse(outcm.StaleView, staleRetry, why+"; use another address")
	}
	return next(ctx, cl)
}

// document finds the service and the kind of request.
func (chn *Chain) document(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	hld, ok := chn.ctl.View().Doc(cl.Service)
	if !ok {
		return outcm.New(outcm.NotRun, outcm.UnknownService, fmt.Sprintf("no document names a service %q", cl.Service))
	}
	cl.doc = hld.Doc()
	kind, ok := cl.doc.Request(cl.Submit.Request)
	if !ok {
		return outcm.New(outcm.NotRun, outcm.UnknownRequestKind, fmt.Sprintf("request: service %s has no kind %q", cl.Service, cl.Submit.Request))
	}
	cl.kind = kind
	return next(ctx, cl)
}

// identify finds the workspace and checks its token. An unknown workspace and a
// wrong token are told in the same words, so that names can't be found out by
// trying.
func (chn *Chain) identify(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	wsp, ok := cl.doc.Workspace(cl.Workspace)
	if !ok || !tokenFits(wsp, cl.Token) {
		return outcm.New(outcm.NotRun, outcm.UnknownWorkspace, "the workspace may not call this service, or its token is wrong")
	}
	cl.wsp = wsp
	return next(ctx, cl)
}

func tokenFits(wsp svcdoc.Workspace, token string) bool {
	if wsp.TokenHash() == "" {
		return true
	}
	sum := sha256.Sum256([]byte(token))
	got := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(got), []byte(wsp.TokenHash())) == 1
}

// check looks at the request itself.
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

func bad(rs outcm.Reason, format string, args ...any) outcm.Result {
	return outcm.New(outcm.NotRun, rs, fmt.Sprintf(format, args...))
}

func (chn *Chain) checkDeadline(cl *Call) outcm.Result {
	span := cl.doc.Deadline()
	if cl.Submit.DeadlineMs < 0 {
		return bad(outcm.BadRequest, "deadline_ms: %d is below 0", cl.Submit.DeadlineMs)
	}
	if cl.Submit.DeadlineMs > 0 {
		span = min(span, cl.Submit.DeadlineMs)
	}
	cl.deadline = cl.arrived + span
	if cl.Submit.MaxTokens < 0 || cl.Submit.MaxTokens > maxTokens {
		return bad(outcm.BadRequest, "max_tokens: %d is not in 0 to %d", cl.Submit.MaxTokens, maxTokens)
	}
	if cl.Submit.MaxTokens == 0 {
		cl.Submit.MaxTokens = defaultTokens
	}
	return outcm.Result{}
}

func (chn *Chain) checkKey(cl *Call) outcm.Result {
	if !cl.kind.NonIdempotent() {
		if cl.Submit.Key != "" {
			return bad(outcm.BadRequest, "key: requests of kind %s are idempotent and take none", cl.kind.Name())
		}
		return outcm.Result{}
	}
	if cl.Submit.Key == "" {
		return bad(outcm.KeyMissing, "key: requests of kind %s run at most once and need a key with expires_ms", cl.kind.Name())
	}
	if !keyRule.MatchString(cl.Submit.Key) {
		return bad(outcm.BadRequest, "key: 1 to 128 of letters, digits, '.', '_', ':' and '-'")
	}
	if !expiryFits(cl.Submit.ExpiresMs, cl.arrived, cl.doc.KeyLife()) {
		return bad(outcm.BadRequest, "expires_ms: %d is not an instant within the next %d ms", cl.Submit.ExpiresMs, cl.doc.KeyLife())
	}
	return outcm.Result{}
}

// clockSkew is how far a caller's clock may be ahead of ours. A caller that asks for the
// longest life says an instant by its own clock, and was refused when that was a millisecond
// ahead. Ledgers keep room of an hour for it (package claim).
const clockSkew = 2 * clock.Second

// expiryFits tells whether an instant may be a key's expiry.
func expiryFits(expires, now, life clock.Milli) bool {
	return expires > 0 && expires <= now+min(life+clockSkew, claim.MaxLife)
}

func (chn *Chain) checkResume(cl *Call) outcm.Result {
	rsm := cl.Submit.Resume
	if rsm == nil {
		return outcm.Result{}
	}
	if cl.kind.NonIdempotent() {
		return bad(outcm.BadResume, "resume: a request with a key is repeated with its key, not resumed")
	}
	tkn, err := chn.keys.open(rsm.Token)
	if err != nil || tkn.Digest != cl.digest() {
		return bad(outcm.BadResume, "resume.token: it is not one of this request of this workspace")
	}
	if len(rsm.Have) > cl.Submit.MaxTokens {
		return bad(outcm.BadResume, "resume.have: %d texts are more than max_tokens %d", len(rsm.Have), cl.Submit.MaxTokens)
	}
	cl.requestID, cl.place = tkn.RequestID, tkn.Place
	return outcm.Result{}
}

// claim takes a non-idempotent request's key, or hands out what became of it.
func (chn *Chain) claim(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	if !cl.kind.NonIdempotent() {
		return next(ctx, cl)
	}
	cl.claim = contr.ClaimAsk{
		Key:     claim.FullKey(cl.Workspace, cl.Service, cl.Submit.Key),
		Attempt: ident.NewID(), Digest: cl.digest(), Expires: cl.Submit.ExpiresMs,
	}
	cl.claim.Boot, _ = claim.TicketBoot(cl.Submit.Key)
	cl.requestID = cl.claim.Key
	if res := chn.beforeClaim(ctx, cl); res.Outcome() != outcm.Pending {
		return res
	}
	wctx, cancel := context.WithDeadline(ctx, chn.clk.Deadline(cl.deadline))
	defer cancel()
	cld := chn.ctl.Claim(wctx, cl.claim)
	cl.looked = cld.Looked
	switch cld.Move {
	case claim.Run:
		return chn.runClaimed(ctx, cl, next)
	case claim.Answer:
		cl.output = cld.Answer
		if cld.Result.Outcome() == outcm.Done {
			return outcm.New(outcm.Done, outcm.Recorded, "the request ran before; this is its recorded answer")
		}
	}
	return cld.Result
}

// beforeClaim refuses what can't be answered in time before it costs an append:
// in an overload the log would otherwise take a claim and a release for each
// refused request. A key that is known here is not refused, for its answer may
// be recorded.
func (chn *Chain) beforeClaim(ctx context.Context, cl *Call) outcm.Result {
	if !chn.ctl.IsFree(ctx, cl.claim) {
		return outcm.Result{}
	}
	return chn.rnr.Admit(cl.job(chn))
}

// runClaimed runs a request whose key is held by this attempt, and then gives
// the key back or settles it. The caller's going away does not stop it: the
// effect may have begun, and the answer is wanted by a repeat.
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

// admit refuses at once what can't be answered in time.
func (chn *Chain) admit(ctx context.Context, cl *Call, next chain.Next[*Call]) outcm.Result {
	if res := chn.rnr.Admit(cl.job(chn)); res.Outcome() != outcm.Pending {
		return res
	}
	return next(ctx, cl)
}
