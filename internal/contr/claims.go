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
	// logSilence is how long the claims' stream may be silent before a claim is
	// refused at once in place of being tried.
	logSilence = 3 * clock.Second
	// outageRetry is when to come back in an outage of the log.
	outageRetry = 2 * clock.Second
	// settleLife is how long a release or settlement is tried to be appended.
	settleLife = claim.MaxLife
	// maxAnswers bounds the large answers kept by their holder.
	maxAnswers = 1024
	// lateClaim is how long after giving up a claim may still appear.
	lateClaim = 10 * clock.Minute
	// meetFor is how long a new instance may need to meet the others.
	meetFor = 5 * clock.Second
)

// claimsCtl keeps the keys of non-idempotent requests.
type claimsCtl struct {
	ctl     *Control
	ldg     claim.Ledger
	desk    claim.Tickets
	app     *feed.Appender
	logAsOf clock.Milli
	waiting map[string][]*asking
	// abandoned are attempts that were answered without having been run while
	// their claim may still be on its way into the log.
	abandoned map[string]clock.Milli
	answers   map[string]string
	order     []string
}

// ClaimAsk is a request that wants to run under a key.
type ClaimAsk struct {
	// Boot is the boot number that the key is bound to, if it is a ticket.
	Boot    string
	Key     string
	Attempt string
	Digest  string
	Expires clock.Milli
}

// Claimed is what became of it: Run, Answer or Refuse.
type Claimed struct {
	Move   claim.Move
	Result outcm.Result
	Answer string
	// Looked tells that the key was found in the log, so that a refusal speaks
	// of the request and not of the attempt.
	Looked bool
}

type asking struct {
	ask ClaimAsk
	// since is when it was asked, by the caller's goroutine.
	since    clock.Milli
	appended bool
	done     bool
	// over is done for the appender's goroutine.
	over  atomic.Bool
	reply chan Claimed
}

func (cct *claimsCtl) tail(ctx context.Context) {
	feed.Tail(ctx, cct.ctl.feed(), feed.Consumer{
		Do:     cct.ctl.Do,
		Stream: platf.StreamClaims,
		Next:   cct.ldg.Next,
		Apply: func(recs []oplog.Record, now clock.Milli) {
			changes, _ := cct.ldg.Apply(recs)
			for _, chg := range changes {
				cct.clearLate(chg, now)
				cct.judgeAll(chg.Key, now)
			}
		},
		Restart:  func(start int64) { cct.ldg.Restart(start, cct.ctl.set.Clock.Now()) },
		CaughtUp: func(asOf clock.Milli) { cct.logAsOf = max(cct.logAsOf, asOf) },
	})
}

// clearLate releases a claim that came into the log after its attempt had been
// given up. Without it the key would be held by an attempt that nobody makes,
// and every repeat would be told "unknown".
func (cct *claimsCtl) clearLate(chg claim.Change, now clock.Milli) {
	if _, ok := cct.abandoned[chg.Attempt]; !ok || chg.State.Phase() != claim.Held || chg.State.Attempt() != chg.Attempt {
		return
	}
	cct.ctl.set.Meter.CountEvent(meter.EventLateRelease)
	cct.release(chg.Key, chg.Attempt, now)
}

func (cct *claimsCtl) step(now clock.Milli) {
	cct.ctl.set.Meter.SetGauge(meter.GaugeKeys, float64(cct.ldg.Len()))
	for key := range cct.waiting {
		cct.judgeAll(key, now)
	}
	for attempt, at := range cct.abandoned {
		if now-at > lateClaim {
			delete(cct.abandoned, attempt)
		}
	}
}

func (cct *claimsCtl) judgeAll(key string, now clock.Milli) {
	var still []*asking
	for _, akg := range cct.waiting[key] {
		if !akg.done {
			cct.judge(akg, now)
		}
		if !akg.done {
			still = append(still, akg)
		}
	}
	if len(still) == 0 {
		delete(cct.waiting, key)
		return
	}
	cct.waiting[key] = still
}

// judge moves one waiting request on by what the ledger says now.
func (cct *claimsCtl) judge(akg *asking, now clock.Milli) {
	st := cct.find(akg.ask.Key, akg.ask.Boot)
	ask := claim.Query{
		Attempt: akg.ask.Attempt, Digest: akg.ask.Digest, Expires: akg.ask.Expires,
		HolderLive: cct.isLive(st.Holder(), now),
	}
	move, res := claim.Judge(st, ask, now)
	switch move {
	case claim.Append:
		cct.append(akg, now)
	case claim.Wait:
		// The holder's settlement or release will be read from the log.
	case claim.Answer:
		cct.answer(akg, st, res)
	default:
		// A key in the ledger was looked up; an expired one says so itself.
		cct.finish(akg, Claimed{Move: move, Result: res, Looked: true})
	}
}

// isLive tells whether a holder may still settle its key. An instance that has
// just started has not met the others yet and takes nobody for gone.
func (cct *claimsCtl) isLive(who ident.Incarnation, now clock.Milli) bool {
	return cct.ctl.members.list.IsLive(who) || now-cct.ctl.startedAt < meetFor
}

func (cct *claimsCtl) finish(akg *asking, cld Claimed) {
	akg.end()
	akg.reply <- cld
}

func (cct *claimsCtl) append(akg *asking, now clock.Milli) {
	if akg.appended {
		return
	}
	if akg.ask.Boot != "" {
		cct.holdTicket(akg, now)
		return
	}
	if !cct.ldg.IsComplete(now) || now-cct.logAsOf > logSilence {
		cct.finish(akg, Claimed{Move: claim.Refuse, Result: outcm.Refuse(outcm.LogUnavailable, outageRetry, "the log can't be read, so nobody knows whether the key ran")})
		return
	}
	akg.appended = true
	ent := cct.entry(akg.ask)
	apg := feed.Record{Body: ent.Encode(), Expires: min(akg.ask.Expires, now+clock.Minute), Cancelled: akg.over.Load}
	if !cct.app.Add(apg) {
		cct.finish(akg, Claimed{Move: claim.Refuse, Result: outcm.Refuse(outcm.QueueFull, outageRetry, "too many records wait for the log")})
	}
}

func (cct *claimsCtl) entry(ask ClaimAsk) claim.Entry {
	return claim.Entry{
		Kind: claim.KindClaim, Key: ask.Key, Attempt: ask.Attempt,
		Holder: cct.ctl.set.Self, Digest: ask.Digest, Expires: ask.Expires,
	}
}

// isOurs tells whether a ticket is bound to this incarnation.
func (cct *claimsCtl) isOurs(boot string) bool { return boot != "" && boot == cct.ctl.set.Self.Boot() }

// find gives a key's state: of our own tickets the desk knows it, of all others
// the ledger.
func (cct *claimsCtl) find(key, boot string) claim.State {
	if cct.isOurs(boot) {
		return cct.desk.Find(key)
	}
	return cct.ldg.Find(key)
}

// holdTicket gives a free ticket to the attempt if it is one of ours. A ticket
// of another incarnation is never run here: whether it ran there is not known.
func (cct *claimsCtl) holdTicket(akg *asking, now clock.Milli) {
	switch {
	case !cct.isOurs(akg.ask.Boot) && cct.bootIsLive(akg.ask.Boot):
		cct.finish(akg, Claimed{Move: claim.Refuse, Result: outcm.New(outcm.Unknown, outcm.TicketElsewhere, "the ticket belongs to another instance, ask there")})
	case !cct.isOurs(akg.ask.Boot):
		cct.finish(akg, Claimed{Move: claim.Refuse, Result: outcm.New(outcm.Unknown, outcm.KeyHolderGone, "the instance that the ticket belongs to is gone; it will not be run")})
	case !cct.desk.Hold(cct.entry(akg.ask), now):
		cct.finish(akg, Claimed{Move: claim.Refuse, Result: outcm.Refuse(outcm.QueueFull, outageRetry, "too many tickets are remembered")})
	default:
		cct.finish(akg, Claimed{Move: claim.Run, Looked: true})
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

func (akg *asking) end() {
	akg.done = true
	akg.over.Store(true)
}

func (cct *claimsCtl) answer(akg *asking, st claim.State, res outcm.Result) {
	text, inLog := st.Answer()
	if inLog {
		cct.finish(akg, Claimed{Move: claim.Answer, Result: res, Answer: text, Looked: true})
		return
	}
	if own, ok := cct.answers[st.Attempt()]; ok {
		cct.finish(akg, Claimed{Move: claim.Answer, Result: res, Answer: own, Looked: true})
		return
	}
	akg.end()
	holder := st.Holder()
	cct.ctl.loop.Go(func(ctx context.Context) { akg.reply <- cct.fetch(ctx, holder.Addr(), st.Attempt(), res) })
}

// fetch asks the holder for an answer that was too large for the log.
func (cct *claimsCtl) fetch(ctx context.Context, addr, attempt string, res outcm.Result) Claimed {
	lost := outcm.New(outcm.Unknown, outcm.AnswerLost, "the request ran once and ended as "+res.Outcome().String()+"; its answer is gone")
	if cct.ctl.set.Link == nil {
		return Claimed{Move: claim.Answer, Result: lost, Looked: true}
	}
	ctx, cancel := context.WithTimeout(ctx, stateWait)
	defer cancel()
	ans, err := cct.ctl.set.Link.Call(ctx, addr, peer.Message{Kind: peer.GetAnswer, From: cct.ctl.set.Self, Body: []byte(attempt)})
	if err != nil || ans.Kind != peer.OK {
		return Claimed{Move: claim.Answer, Result: lost, Looked: true}
	}
	return Claimed{Move: claim.Answer, Result: res, Answer: string(ans.Body), Looked: true}
}

// release appends the word that nothing with an effect was or will be
// dispatched.
func (cct *claimsCtl) release(key, attempt string, now clock.Milli) {
	ent := claim.Entry{Kind: claim.KindRelease, Key: key, Attempt: attempt}
	cct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + settleLife})
}

// giveUp is called when a request's time ran out before its claim was read
// back. From here on the attempt never runs.
func (cct *claimsCtl) giveUp(akg *asking, now clock.Milli) {
	if akg.done {
		return
	}
	akg.end()
	cct.ctl.set.Log.Info().Str("attempt", akg.ask.Attempt).Int64("waited_ms", int64(now-akg.since)).
		Bool("appended", akg.appended).Int64("log_age_ms", int64(now-cct.logAsOf)).Msg("claim given up")
	cct.judgeAll(akg.ask.Key, now)
	if !akg.appended {
		return
	}
	cct.abandoned[akg.ask.Attempt] = now
	if st := cct.ldg.Find(akg.ask.Key); st.Phase() == claim.Held && st.Attempt() == akg.ask.Attempt {
		cct.release(akg.ask.Key, akg.ask.Attempt, now)
	}
}

// IsFree tells whether this instance knows of no attempt that holds or settled
// a key.
func (ctl *Control) IsFree(ctx context.Context, ask ClaimAsk) bool {
	free, _ := loop.Get(ctx, ctl.loop, func(clock.Milli) bool { return ctl.claims.find(ask.Key, ask.Boot).Phase() == claim.Free })
	return free
}

// Claim asks to run a request under a key and waits for the log's word, at most
// until the context ends.
func (ctl *Control) Claim(ctx context.Context, ask ClaimAsk) Claimed {
	akg := &asking{ask: ask, since: ctl.set.Clock.Now(), reply: make(chan Claimed, 1)}
	refused := Claimed{Move: claim.Refuse, Result: outcm.Refuse(outcm.LogUnavailable, outageRetry, "the log did not confirm the claim in time")}
	entered := ctl.Do(ctx, func(now clock.Milli) {
		ctl.claims.waiting[ask.Key] = append(ctl.claims.waiting[ask.Key], akg)
		ctl.claims.judgeAll(ask.Key, now)
	})
	if entered {
		select {
		case cld := <-akg.reply:
			return cld
		case <-ctx.Done():
		}
	}
	// The event may still be on its way to the control thread; giving up is
	// one too and comes after it, so that the attempt ends either way.
	var won *Claimed
	if !ctl.Do(ctl.loop.Context(), func(now clock.Milli) {
		if akg.done {
			select {
			case cld := <-akg.reply:
				won = &cld
			default:
			}
			return
		}
		ctl.claims.giveUp(akg, now)
	}) {
		return refused
	}
	if won != nil {
		return *won
	}
	if ctx.Err() == context.Canceled {
		refused.Result = outcm.New(outcm.NotRun, outcm.CallerGone, "the caller went away")
	}
	return refused
}

// Release gives a key back whose request ran nothing with an effect.
func (ctl *Control) Release(ask ClaimAsk) {
	ctl.Do(ctl.loop.Context(), func(now clock.Milli) {
		if ctl.claims.isOurs(ask.Boot) {
			ctl.claims.desk.Release(ask.Key, ask.Attempt)
			ctl.claims.judgeAll(ask.Key, now)
			return
		}
		ctl.claims.release(ask.Key, ask.Attempt, now)
	})
}

// Settle records what became of a request with a key. The caller is answered
// without waiting for it: until it is in the log a repeat elsewhere waits, and
// if this instance dies first the repeat is told "unknown".
func (ctl *Control) Settle(ask ClaimAsk, res outcm.Result, answer string) {
	ctl.Do(ctl.loop.Context(), func(now clock.Milli) { ctl.claims.settle(ask, res, answer, now) })
}

func (cct *claimsCtl) settle(ask ClaimAsk, res outcm.Result, answer string, now clock.Milli) {
	ent := claim.Entry{
		Kind: claim.KindSettle, Key: ask.Key, Attempt: ask.Attempt,
		Outcome: res.Outcome().String(), Reason: res.Reason().String(),
	}
	if len(answer) <= claim.MaxAnswer {
		ent.Answer = answer
	} else {
		ent.Large = true
		cct.keep(ask.Attempt, answer)
	}
	if cct.isOurs(ask.Boot) {
		// The claim goes into the log with its settlement, once the log is
		// back, so that others can answer for the ticket when we are gone.
		cct.desk.Settle(ent)
		cct.app.Add(feed.Record{Body: cct.entry(ask).Encode(), Expires: now + settleLife})
		defer cct.judgeAll(ask.Key, now)
	}
	cct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + settleLife})
}

func (cct *claimsCtl) keep(attempt, answer string) {
	cct.answers[attempt] = answer
	cct.order = append(cct.order, attempt)
	if len(cct.order) > maxAnswers {
		delete(cct.answers, cct.order[0])
		cct.order = cct.order[1:]
	}
}
