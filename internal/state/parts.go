package state

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
)

const (
	// maxAnswers bounds the parts of which answers are remembered.
	maxAnswers = 8192
	// grantTimeout bounds the request for a trial, some round trips between data centres.
	grantTimeout = 200 * clock.Milli(1)
	// minGrantTenure is how long an instance has been the first coordinator of a pool before it grants trials:
	// its predecessor's trials have reached it by then.
	minGrantTenure = 2 * clock.Second
)

// answerLog remembers when this instance's latest answers to prompts with a part began, for [poison.AnswerMemory]
// at least unless there are too many. Its zero value is empty.
type answerLog struct {
	mtx sync.Mutex
	// recent has the parts seen since turned, older those of the span before.
	recent, older map[poison.Fingerprint]clock.Milli
	turned        clock.Milli
}

func (alg *answerLog) add(parts []poison.Fingerprint, began, now clock.Milli) {
	alg.mtx.Lock()
	defer alg.mtx.Unlock()
	if alg.recent == nil || now-alg.turned >= poison.AnswerMemory || len(alg.recent)+len(parts) > maxAnswers/2 {
		alg.recent, alg.older, alg.turned = map[poison.Fingerprint]clock.Milli{}, alg.recent, now
	}
	for _, fpr := range parts {
		alg.recent[fpr] = max(alg.recent[fpr], began)
	}
}

// latest returns when the latest answer with a part began.
func (alg *answerLog) latest(fpr poison.Fingerprint) (clock.Milli, bool) {
	alg.mtx.Lock()
	defer alg.mtx.Unlock()
	if at, ok := alg.recent[fpr]; ok {
		return at, true
	}
	at, ok := alg.older[fpr]
	return at, ok
}

// RecordAnswer records that an endpoint answered a prompt with these parts without a crash; began is when its
// answer did.
func (ctl *Control) RecordAnswer(parts []poison.Fingerprint, began clock.Milli) {
	if len(parts) == 0 {
		return
	}
	ctl.facts.answers.add(parts, began, ctl.set.Clock.Now())
	if len(ctl.View().Suspects().Exonerate(parts, ctl.facts.answers.latest)) > 0 {
		ctl.loop.Offer(func(now clock.Milli) { ctl.facts.addLocal(ctl.facts.shareAnswers(parts, now), now) })
	}
}

// shareAnswers changes the facts on suspected parts by this instance's answers, and returns those that changed.
func (fcl *factsCtl) shareAnswers(parts []poison.Fingerprint, now clock.Milli) []gossip.Fact {
	var fresh []gossip.Fact
	for key, value := range fcl.suspects.Exonerate(parts, fcl.answers.latest) {
		if fct, ok := fcl.spread.Amend(gossip.CrashedUnder, key, value, now); ok {
			fresh = append(fresh, fct)
		}
	}
	return fresh
}

// logConvicted logs and counts the parts that are newly convicted.
func (fcl *factsCtl) logConvicted(before *poison.List, now clock.Milli) {
	for _, prt := range fcl.suspects.NewlyConvicted(before) {
		fcl.ctl.set.Meter.CountEvent(meter.EventPartQuarantined)
		evt := fcl.ctl.set.Log.Warn().Stringer("mark", prt.Fingerprint()).Int("crashes", len(prt.Crashes())).Int("trials", prt.Trials()).
			Bool("confirmed", prt.Confirmed()).Int64("quarantine_ms", int64(prt.Quarantined(now)))
		for _, crash := range prt.Crashes()[max(len(prt.Crashes())-maxLoggedCrashes, 0):] {
			evt = evt.Str(string(crash.Endpoint), crash.By).Int64(string(crash.Endpoint)+"_age_ms", int64(now-crash.At))
		}
		evt.Msg("part of prompts quarantined")
	}
}

// Trial is the trial of a request whose quarantine is over, or that of parts of its prompt.
type Trial struct {
	Pool string `cbor:"1,keyasint"`
	// Attempt identifies the attempt.
	Attempt string `cbor:"2,keyasint"`
	// Request is the request's fingerprint, if that was quarantined.
	Request []poison.Fingerprint `cbor:"3,keyasint,omitempty"`
	// Parts are the convicted parts.
	Parts []poison.Fingerprint `cbor:"4,keyasint,omitempty"`
}

// keys returns the keys of the facts that record the trial.
func (trl Trial) keys() []string {
	var keys []string
	for _, fpr := range trl.Request {
		keys = append(keys, poison.Key(fpr, poison.TrialName(trl.Attempt)))
	}
	for _, fpr := range trl.Parts {
		keys = append(keys, poison.PartKey(fpr, poison.TrialName(trl.Attempt)))
	}
	return keys
}

// BeginTrial asks the pool's coordinator to admit a request for a trial. The coordinator records the trial before
// the request is sent to any endpoint, so that no other instance admits one at the same time.
func (ctl *Control) BeginTrial(trl Trial) bool {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout.Duration())
	defer cancel()
	owner := ctl.set.Self
	if list := ctl.View().Coordinators(trl.Pool); len(list) > 0 {
		owner = list[0]
	}
	var facts []gossip.Fact
	if owner == ctl.set.Self || ctl.set.Link == nil {
		facts, _ = loop.Get(ctx, ctl.loop, func(now clock.Milli) []gossip.Fact { return ctl.facts.grant(trl, now) })
	} else {
		facts = ctl.requestGrant(ctx, owner, trl)
	}
	ctl.set.Log.Info().Str("request", trl.Attempt).Str("pool", trl.Pool).Int("parts", len(trl.Parts)).Str("granter", string(owner)).
		Bool("granted", len(facts) > 0).Msg("trial of a quarantined request")
	return len(facts) > 0
}

// requestGrant asks another instance to grant a trial, and returns the trial's facts; none if it doesn't.
func (ctl *Control) requestGrant(ctx context.Context, owner ident.Incarnation, trl Trial) []gossip.Fact {
	body, err := cbor.Marshal(trl)
	if err != nil {
		return nil
	}
	ans, err := ctl.set.Link.Call(ctx, owner.Addr(), peer.Message{Kind: peer.BeginTrial, From: ctl.set.Self, To: owner, Body: body})
	if err != nil || ans.Kind != peer.OK {
		return nil
	}
	// The trial may be withdrawn before gossip brings its facts.
	learned := ctl.loop.Do(ctx, func(now clock.Milli) {
		if ctl.facts.spread.Receive(ans.Facts, true, now) {
			ctl.facts.refresh(now)
		}
	})
	if !learned {
		return nil
	}
	return ans.Facts
}

// grant records a trial and returns its facts; none if the trial isn't due, or if this instance has not
// coordinated the pool for long enough.
func (fcl *factsCtl) grant(trl Trial, now clock.Milli) []gossip.Fact {
	vw := fcl.ctl.View()
	since, mine := vw.CoordinatorSince(trl.Pool)
	if !fcl.known || fcl.ctl.set.Link != nil && (!mine || now-since < minGrantTenure) {
		return nil
	}
	fcl.settle(now)
	convicted := fcl.suspects.Convicted(trl.Parts)
	if len(convicted) < len(trl.Parts) {
		return nil
	}
	for _, prt := range convicted {
		if prt.Quarantined(now) > 0 {
			return nil
		}
	}
	for _, fpr := range trl.Request {
		if !fcl.suspects.OnTrial(fpr) || fcl.suspects.Quarantined(fpr, now) > 0 {
			return nil
		}
	}
	var fresh []gossip.Fact
	for _, key := range trl.keys() {
		if fct, ok := fcl.spread.Set(gossip.CrashedUnder, key, fcl.ctl.set.Self.Addr(), now); ok {
			fresh = append(fresh, fct)
		}
	}
	fcl.addLocal(fresh, now)
	fcl.settle(now)
	return fresh
}

// answerTrial answers another instance's request for a trial.
func (ctl *Control) answerTrial(msg peer.Message, now clock.Milli) peer.Message {
	var trl Trial
	if cbor.Unmarshal(msg.Body, &trl) != nil {
		return ctl.nack()
	}
	facts := ctl.facts.grant(trl, now)
	if len(facts) == 0 {
		return ctl.nack()
	}
	return peer.Message{Kind: peer.OK, From: ctl.set.Self, Facts: facts}
}

// CancelTrial withdraws the facts of a trial that sent nothing to an endpoint, or at whose end the endpoint goes on.
func (ctl *Control) CancelTrial(trl Trial) {
	ctl.loop.Queue(func(now clock.Milli) {
		ctl.facts.recordCrashes(trl.keys(), poison.Cleared, now)
	})
}

// RecordCrash records that an endpoint crashed while a request with this fingerprint was in flight there, and
// these parts in its prompt. The view has the crash when it returns.
func (ctl *Control) RecordCrash(fpr poison.Fingerprint, id ident.Process, parts ...poison.Fingerprint) {
	ctx, cancel := context.WithTimeout(context.Background(), factsTimeout)
	defer cancel()
	ctl.loop.Do(ctx, func(now clock.Milli) {
		keys := []string{poison.Key(fpr, id)}
		for _, prt := range parts {
			// Another instance may have recorded it, and answers may have changed the fact since.
			if key := poison.PartKey(prt, id); !ctl.facts.spread.Has(gossip.CrashedUnder, key) {
				keys = append(keys, key)
			}
		}
		ctl.facts.recordCrashes(keys, ctl.set.Self.Addr(), now)
		ctl.publish(now)
	})
}
