package contr

import (
	"context"
	"sync/atomic"

	"amaranthvalve/internal/feed"
	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/platf"
	"amaranthvalve/pkg/claim"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/oplog"
	"amaranthvalve/pkg/outcm"
)

const (
	// maxLogAge is the age of the claims log up to which a claim is appended. Beyond it the
	// claim is refused at once, because its append is unlikely to be confirmed.
	maxLogAge = 3 * clock.Second
	// outageRetryAfter is the retry-after delay during an outage of the log.
	outageRetryAfter = 2 * clock.Second
	// settleTimeout bounds the attempts to append a release or a settlement.
	settleTimeout = claim.MaxLife
	// maxLargeAnswers bounds the answers kept in memory because they are too large for the log.
	maxLargeAnswers = 1024
	// lateClaimWindow is the time after which the claim of an abandoned attempt is no longer
	// expected in the log.
	lateClaimWindow = 10 * clock.Minute
	// discoveryGrace is the time that a new instance may need to discover the other members.
	discoveryGrace = 5 * clock.Second
)

// claimsCtl tracks the keys of non-idempotent requests.
type claimsCtl struct {
	ctl     *Control
	ldg     claim.Ledger
	tickets claim.Tickets
	app     *feed.Appender
	logAsOf clock.Milli
	waiting map[string][]*pendingClaim
	// abandoned has the attempts that were answered as not run while their claims may still
	// reach the log, with the time of abandonment.
	abandoned   map[string]clock.Milli
	answers     map[string]string
	answerOrder []string
}

// ClaimRequest identifies an attempt that asks to run under a key.
type ClaimRequest struct {
	// Boot is the boot number of the instance that issued the key, if the key is a ticket.
	Boot    string
	Key     string
	Attempt string
	Digest  string
	Expires clock.Milli
}

// ClaimResult is the outcome of a claim: Run, Answer or Refuse.
type ClaimResult struct {
	Move   claim.Move
	Result outcm.Result
	Answer string
	// LookedUp reports whether the state of the key was known. A refusal then applies to the
	// request as a whole and not only to this attempt.
	LookedUp bool
}

type pendingClaim struct {
	req ClaimRequest
	// requestedAt is set by the caller's goroutine.
	requestedAt clock.Milli
	appended    bool
	done        bool
	// cancelled has the same value as done, for the appender's goroutine.
	cancelled atomic.Bool
	reply     chan ClaimResult
}

func (cct *claimsCtl) tail(ctx context.Context) {
	feed.Tail(ctx, cct.ctl.feedSetup(), feed.Consumer{
		Do:     cct.ctl.Do,
		Stream: platf.StreamClaims,
		Next:   cct.ldg.Next,
		Apply: func(recs []oplog.Record, now clock.Milli) {
			changes, _ := cct.ldg.Apply(recs)
			for _, chg := range changes {
				cct.releaseLate(chg, now)
				cct.advanceAll(chg.Key, now)
			}
		},
		Restart:  func(start int64) { cct.ldg.Restart(start, cct.ctl.set.Clock.Now()) },
		CaughtUp: func(asOf clock.Milli) { cct.logAsOf = max(cct.logAsOf, asOf) },
	})
}

// releaseLate releases a claim that reached the log after its attempt was abandoned. Otherwise
// an attempt that never runs would hold the key, and every repeat would be answered unknown.
func (cct *claimsCtl) releaseLate(chg claim.Change, now clock.Milli) {
	if _, ok := cct.abandoned[chg.Attempt]; !ok || chg.State.Phase() != claim.Held || chg.State.Attempt() != chg.Attempt {
		return
	}
	cct.ctl.set.Meter.CountEvent(meter.EventLateRelease)
	cct.release(chg.Key, chg.Attempt, now)
}

func (cct *claimsCtl) step(now clock.Milli) {
	cct.ctl.set.Meter.SetGauge(meter.GaugeKeys, float64(cct.ldg.Len()))
	for key := range cct.waiting {
		cct.advanceAll(key, now)
	}
	for attempt, at := range cct.abandoned {
		if now-at > lateClaimWindow {
			delete(cct.abandoned, attempt)
		}
	}
}

func (cct *claimsCtl) advanceAll(key string, now clock.Milli) {
	var still []*pendingClaim
	for _, pcl := range cct.waiting[key] {
		if !pcl.done {
			cct.advance(pcl, now)
		}
		if !pcl.done {
			still = append(still, pcl)
		}
	}
	if len(still) == 0 {
		delete(cct.waiting, key)
		return
	}
	cct.waiting[key] = still
}

// advance takes a waiting request as far as the state of its key allows.
func (cct *claimsCtl) advance(pcl *pendingClaim, now clock.Milli) {
	st := cct.find(pcl.req.Key, pcl.req.Boot)
	qry := claim.Query{
		Attempt: pcl.req.Attempt, Digest: pcl.req.Digest, Expires: pcl.req.Expires,
		HolderLive: cct.isLive(st.Holder(), now),
	}
	move, res := claim.Judge(st, qry, now)
	switch move {
	case claim.Append:
		cct.append(pcl, now)
	case claim.Wait:
		// The log will deliver the holder's settlement or release.
	case claim.Answer:
		cct.answer(pcl, st, res)
	default:
		// Run or Refuse. LookedUp is set for both: either the ledger knows the key, or the key
		// has expired, and then the result is unknown anyway.
		cct.finish(pcl, ClaimResult{Move: move, Result: res, LookedUp: true})
	}
}

// isLive reports whether a holder may still settle its key. Within discoveryGrace of its own
// start this instance has not discovered all members and assumes every holder to be live.
func (cct *claimsCtl) isLive(who ident.Incarnation, now clock.Milli) bool {
	return cct.ctl.members.list.IsLive(who) || now-cct.ctl.startedAt < discoveryGrace
}

func (cct *claimsCtl) finish(pcl *pendingClaim, crs ClaimResult) {
	pcl.markDone()
	pcl.reply <- crs
}

func (cct *claimsCtl) append(pcl *pendingClaim, now clock.Milli) {
	if pcl.appended {
		return
	}
	if pcl.req.Boot != "" {
		cct.claimTicket(pcl, now)
		return
	}
	if !cct.ldg.IsComplete(now) || now-cct.logAsOf > maxLogAge {
		cct.finish(pcl, ClaimResult{Move: claim.Refuse, Result: outcm.Refuse(outcm.LogUnavailable, outageRetryAfter, "the claims log can't be read, so it is not known whether the key has run")})
		return
	}
	pcl.appended = true
	ent := cct.entry(pcl.req)
	rec := feed.Record{Body: ent.Encode(), Expires: min(pcl.req.Expires, now+clock.Minute), Cancelled: pcl.cancelled.Load}
	if !cct.app.Add(rec) {
		cct.finish(pcl, ClaimResult{Move: claim.Refuse, Result: outcm.Refuse(outcm.QueueFull, outageRetryAfter, "the queue of records for the claims log is full")})
	}
}

func (cct *claimsCtl) entry(req ClaimRequest) claim.Entry {
	return claim.Entry{
		Kind: claim.KindClaim, Key: req.Key, Attempt: req.Attempt,
		Holder: cct.ctl.set.Self, Digest: req.Digest, Expires: req.Expires,
	}
}

// isOurs reports whether a ticket was issued by this incarnation.
func (cct *claimsCtl) isOurs(boot string) bool { return boot != "" && boot == cct.ctl.set.Self.Boot() }

// find returns the state of a key: for tickets of this incarnation from the ticket table, for
// all other keys from the ledger.
func (cct *claimsCtl) find(key, boot string) claim.State {
	if cct.isOurs(boot) {
		return cct.tickets.Find(key)
	}
	return cct.ldg.Find(key)
}

// claimTicket claims a free ticket for the attempt if this incarnation issued it. A ticket of
// another incarnation is never run here, because it is not known whether it ran there.
func (cct *claimsCtl) claimTicket(pcl *pendingClaim, now clock.Milli) {
	switch {
	case !cct.isOurs(pcl.req.Boot) && cct.bootIsLive(pcl.req.Boot):
		cct.finish(pcl, ClaimResult{Move: claim.Refuse, Result: outcm.New(outcm.Unknown, outcm.TicketElsewhere, "the ticket was issued by another live instance; send the request there")})
	case !cct.isOurs(pcl.req.Boot):
		cct.finish(pcl, ClaimResult{Move: claim.Refuse, Result: outcm.New(outcm.Unknown, outcm.KeyHolderGone, "the instance that issued the ticket is no longer live; the request will not be run")})
	case !cct.tickets.Hold(cct.entry(pcl.req), now):
		cct.finish(pcl, ClaimResult{Move: claim.Refuse, Result: outcm.Refuse(outcm.QueueFull, outageRetryAfter, "the table of tickets is full")})
	default:
		cct.finish(pcl, ClaimResult{Move: claim.Run, LookedUp: true})
	}
}

func (cct *claimsCtl) bootIsLive(boot string) bool {
	for _, mbr := range cct.ctl.members.list.All() {
		if mbr.ID().Boot() == boot {
			return true
		}
	}
	return false
}

func (pcl *pendingClaim) markDone() {
	pcl.done = true
	pcl.cancelled.Store(true)
}

func (cct *claimsCtl) answer(pcl *pendingClaim, st claim.State, res outcm.Result) {
	text, inLog := st.Answer()
	if inLog {
		cct.finish(pcl, ClaimResult{Move: claim.Answer, Result: res, Answer: text, LookedUp: true})
		return
	}
	if own, ok := cct.answers[st.Attempt()]; ok {
		cct.finish(pcl, ClaimResult{Move: claim.Answer, Result: res, Answer: own, LookedUp: true})
		return
	}
	pcl.markDone()
	holder := st.Holder()
	cct.ctl.loop.Go(func(ctx context.Context) { pcl.reply <- cct.fetchAnswer(ctx, holder.Addr(), st.Attempt(), res) })
}

// fetchAnswer requests from the holder an answer that was too large for the log.
func (cct *claimsCtl) fetchAnswer(ctx context.Context, addr, attempt string, res outcm.Result) ClaimResult {
	lost := outcm.New(outcm.Unknown, outcm.AnswerLost, "the request ran once and ended as "+res.Outcome().String()+"; its answer was lost")
	if cct.ctl.set.Link == nil {
		return ClaimResult{Move: claim.Answer, Result: lost, LookedUp: true}
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	ans, err := cct.ctl.set.Link.Call(ctx, addr, peer.Message{Kind: peer.GetAnswer, From: cct.ctl.set.Self, Body: []byte(attempt)})
	if err != nil || ans.Kind != peer.OK {
		return ClaimResult{Move: claim.Answer, Result: lost, LookedUp: true}
	}
	return ClaimResult{Move: claim.Answer, Result: res, Answer: string(ans.Body), LookedUp: true}
}

// release appends a record that states that no stage with an effect was or will be dispatched.
func (cct *claimsCtl) release(key, attempt string, now clock.Milli) {
	ent := claim.Entry{Kind: claim.KindRelease, Key: key, Attempt: attempt}
	cct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + settleTimeout})
}

// abandon is called when the time of a request runs out before its claim is read back. The
// attempt never runs afterwards.
func (cct *claimsCtl) abandon(pcl *pendingClaim, now clock.Milli) {
	if pcl.done {
		return
	}
	pcl.markDone()
	cct.ctl.set.Log.Info().Str("attempt", pcl.req.Attempt).Int64("waited_ms", int64(now-pcl.requestedAt)).
		Bool("appended", pcl.appended).Int64("log_age_ms", int64(now-cct.logAsOf)).Msg("claim abandoned")
	cct.advanceAll(pcl.req.Key, now)
	if !pcl.appended {
		return
	}
	cct.abandoned[pcl.req.Attempt] = now
	if st := cct.ldg.Find(pcl.req.Key); st.Phase() == claim.Held && st.Attempt() == pcl.req.Attempt {
		cct.release(pcl.req.Key, pcl.req.Attempt, now)
	}
}

// IsFree reports whether no attempt that holds or settled the key is known to this instance.
func (ctl *Control) IsFree(ctx context.Context, req ClaimRequest) bool {
	free, _ := loop.Get(ctx, ctl.loop, func(clock.Milli) bool { return ctl.claims.find(req.Key, req.Boot).Phase() == claim.Free })
	return free
}

// Claim claims a key for an attempt and waits until the log confirms or refuses the claim, at
// most until the context ends.
func (ctl *Control) Claim(ctx context.Context, req ClaimRequest) ClaimResult {
	pcl := &pendingClaim{req: req, requestedAt: ctl.set.Clock.Now(), reply: make(chan ClaimResult, 1)}
	refused := ClaimResult{Move: claim.Refuse, Result: outcm.Refuse(outcm.LogUnavailable, outageRetryAfter, "the log did not confirm the claim in time")}
	entered := ctl.Do(ctx, func(now clock.Milli) {
		ctl.claims.waiting[req.Key] = append(ctl.claims.waiting[req.Key], pcl)
		ctl.claims.advanceAll(req.Key, now)
	})
	if entered {
		select {
		case crs := <-pcl.reply:
			return crs
		case <-ctx.Done():
		}
	}
	// The event above may still be queued at the control loop. The abandonment is an event too
	// and runs after it, so that the attempt ends in either case.
	var won *ClaimResult
	if !ctl.Do(ctl.loop.Context(), func(now clock.Milli) {
		if pcl.done {
			select {
			case crs := <-pcl.reply:
				won = &crs
			default:
			}
			return
		}
		ctl.claims.abandon(pcl, now)
	}) {
		return refused
	}
	if won != nil {
		return *won
	}
	if ctx.Err() == context.Canceled {
		refused.Result = outcm.New(outcm.NotRun, outcm.CallerGone, "the caller disconnected")
	}
	return refused
}

// Release frees the key of a request that ran nothing with an effect.
func (ctl *Control) Release(req ClaimRequest) {
	ctl.Do(ctl.loop.Context(), func(now clock.Milli) {
		if ctl.claims.isOurs(req.Boot) {
			ctl.claims.tickets.Release(req.Key, req.Attempt)
			ctl.claims.advanceAll(req.Key, now)
			return
		}
		ctl.claims.release(req.Key, req.Attempt, now)
	})
}

// Settle records the outcome of a request with a key. The caller is answered without waiting
// for the record: until it is in the log, a repeat at another instance waits, and if this
// instance crashes first, the repeat is answered unknown.
func (ctl *Control) Settle(req ClaimRequest, res outcm.Result, answer string) {
	ctl.Do(ctl.loop.Context(), func(now clock.Milli) { ctl.claims.settle(req, res, answer, now) })
}

func (cct *claimsCtl) settle(req ClaimRequest, res outcm.Result, answer string, now clock.Milli) {
	ent := claim.Entry{
		Kind: claim.KindSettle, Key: req.Key, Attempt: req.Attempt,
		Outcome: res.Outcome().String(), Reason: res.Reason().String(),
	}
	if len(answer) <= claim.MaxAnswer {
		ent.Answer = answer
	} else {
		ent.Large = true
		cct.storeAnswer(req.Attempt, answer)
	}
	if cct.isOurs(req.Boot) {
		// The claim is appended together with the settlement once the log is available again,
		// so that other instances can answer for the ticket after this one stops.
		cct.tickets.Settle(ent)
		cct.app.Add(feed.Record{Body: cct.entry(req).Encode(), Expires: now + settleTimeout})
		defer cct.advanceAll(req.Key, now)
	}
	cct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + settleTimeout})
}

func (cct *claimsCtl) storeAnswer(attempt, answer string) {
	cct.answers[attempt] = answer
	cct.answerOrder = append(cct.answerOrder, attempt)
	if len(cct.answerOrder) > maxLargeAnswers {
		delete(cct.answers, cct.answerOrder[0])
		cct.answerOrder = cct.answerOrder[1:]
	}
}
