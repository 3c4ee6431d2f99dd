package claim

import (
	"encoding/json"
	"fmt"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/oplog"
	"amaranthvalve/pkg/outcm"
)

//go:generate go tool stringer -type=Phase -linecomment -output=phase_string.go

// Bounds of the life of a key.
const (
	// MaxLife is the maximum time from the record of a claim to its expiry.
	MaxLife = clock.Day
	// Grace is the additional time for which a key is remembered, so that late repeats are
	// refused as expired and not run.
	Grace = 6 * clock.Hour
	// MinRetention is the minimum retention of the log: MaxLife, Grace and a margin for
	// clock skew.
	MinRetention = MaxLife + Grace + clock.Hour
	// MaxAnswer is the maximum size in bytes of an answer stored in the log. A larger
	// answer is kept by the holder.
	MaxAnswer = 4 << 10
)

// The kinds of entry in the claims' stream.
const (
	KindClaim   = "claim"
	KindRelease = "release"
	KindSettle  = "settle"
)

// Entry is the body of a record in the claims' stream.
type Entry struct {
	Kind string `json:"kind"`
	// Key is the full key, see [FullKey].
	Key string `json:"key"`
	// Attempt is the id of the attempt; the same claim appended twice counts once.
	Attempt string `json:"attempt"`
	// Holder is the instance that makes the attempt.
	Holder ident.Incarnation `json:"holder,omitempty"`
	// Digest is a hash of the request; it prevents one key from being used for two
	// requests.
	Digest string `json:"digest,omitempty"`
	// Expires is the time from which the key is refused.
	Expires clock.Milli `json:"expires_ms,omitempty"`
	// Outcome, Reason and Answer are the result of the request, in a settlement.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Answer  string `json:"answer,omitempty"`
	// Large reports that the answer exceeds MaxAnswer and is kept by the holder.
	Large bool `json:"large,omitempty"`
}

// Encode returns the entry as a record body.
func (ent Entry) Encode() json.RawMessage {
	raw, err := json.Marshal(ent)
	if err != nil {
		panic(fmt.Sprintf("claim: encoding an entry: %v", err))
	}
	return raw
}

// FullKey joins workspace, service and key. A workspace that guesses another one's key
// forms a different full key and gains no access to it. Names contain no slash, so that
// full keys are unique.
func FullKey(workspace, service, key string) string {
	return workspace + "/" + service + "/" + key
}

// Phase is the phase of a key.
type Phase int

// The phases.
const (
	Free    Phase = iota // free
	Held                 // held
	Settled              // settled
)

// State is the ledger's state of one key. The zero value is a free key.
type State struct {
	phase    Phase
	attempt  string
	holder   ident.Incarnation
	digest   string
	expires  clock.Milli
	forgetAt clock.Milli
	outcome  outcm.Outcome
	reason   outcm.Reason
	answer   string
	large    bool
}

// Phase returns the phase of the key.
func (st State) Phase() Phase { return st.phase }

// Attempt returns the id of the attempt that holds or settled the key.
func (st State) Attempt() string { return st.attempt }

// Holder returns the instance that holds or settled the key.
func (st State) Holder() ident.Incarnation { return st.holder }

// Digest returns the hash of the request that the key identifies.
func (st State) Digest() string { return st.digest }

// Expires returns the time from which the key is refused.
func (st State) Expires() clock.Milli { return st.expires }

// Result returns the outcome of a settled request.
func (st State) Result() outcm.Result { return outcm.New(st.outcome, st.reason, "") }

// Answer returns a settled request's answer; inLog is false if it was too large for the log
// and must be requested from the holder.
func (st State) Answer() (text string, inLog bool) { return st.answer, !st.large }

// Ledger is the replicated state machine over the claims' stream. The zero value expects
// offset 1. It is owned by the control loop.
type Ledger struct {
	applied         int64
	logNow          clock.Milli
	incompleteUntil clock.Milli
	keys            map[string]State
	expiries        []expiry
}

type expiry struct {
	at  clock.Milli
	key string
}

// Applied returns the offset of the last applied record.
func (ldg *Ledger) Applied() int64 { return ldg.applied }

// Next returns the offset to read from.
func (ldg *Ledger) Next() int64 { return ldg.applied + 1 }

// Len returns the number of remembered keys.
func (ldg *Ledger) Len() int { return len(ldg.keys) }

// Find returns the state of a key.
func (ldg *Ledger) Find(key string) State { return ldg.keys[key] }

// Restart makes the ledger continue at the oldest offset that the log still has, because
// its next record has been trimmed, at the time now.
//
// The trimmed records are older than the log's retention, and so are all keys in them,
// because the platform guarantees a retention of at least MinRetention. A new reader has
// nothing else to rely on: the age of the oldest remaining record is no measure, since
// after some days without requests no record is left, and every booking would be refused
// for thirty hours. A ledger that has read before can detect a shorter retention: the
// missed records are younger than its last one. It then does not know all live keys until
// the missed ones have expired.
func (ldg *Ledger) Restart(start int64, now clock.Milli) {
	if start <= ldg.Next() {
		return
	}
	if ldg.applied > 0 && now-ldg.logNow < MinRetention {
		ldg.incompleteUntil = now + MaxLife + Grace
	}
	ldg.applied = start - 1
}

// IsComplete reports whether every key that can still be repeated is known at the time now.
func (ldg *Ledger) IsComplete(now clock.Milli) bool { return now >= ldg.incompleteUntil }

// Change is a change of a key's state by an applied record.
type Change struct {
	Key     string
	Attempt string
	State   State
}

// Apply applies the next records in the order of their offsets. It stops at a missing
// record, and gap is then true.
func (ldg *Ledger) Apply(recs []oplog.Record) (changes []Change, gap bool) {
	for _, rec := range recs {
		if rec.Offset < ldg.Next() {
			continue
		}
		if rec.Offset > ldg.Next() {
			return changes, true
		}
		ldg.applied = rec.Offset
		ldg.logNow = max(ldg.logNow, rec.At)
		ldg.forgetExpired()
		var ent Entry
		if json.Unmarshal(rec.Body, &ent) != nil || ent.Key == "" {
			continue
		}
		ldg.step(ent)
		changes = append(changes, Change{Key: ent.Key, Attempt: ent.Attempt, State: ldg.keys[ent.Key]})
	}
	return changes, false
}

func (ldg *Ledger) step(ent Entry) {
	cur := ldg.keys[ent.Key]
	switch ent.Kind {
	case KindClaim:
		if ldg.wins(cur, ent) {
			ldg.hold(ent)
		}
	case KindRelease:
		if cur.phase == Held && cur.attempt == ent.Attempt {
			ldg.release(ent.Key, cur)
		}
	case KindSettle:
		if cur.phase == Held && cur.attempt == ent.Attempt {
			ldg.settle(ent, cur)
		}
	}
}

// wins reports whether a claim takes the key. The expiry is compared with the log's clock,
// not the claimant's, since all instances must agree. A claim whose record was delayed
// beyond the key's expiry loses. So does a claim of an attempt that was released before: an
// append repeated after a lost reply may reach the log after the release, and would then
// hold the key for an attempt that was answered "not run".
func (ldg *Ledger) wins(cur State, ent Entry) bool {
	if cur.phase != Free {
		return false
	}
	if cur.attempt != "" && cur.attempt == ent.Attempt {
		return false
	}
	return ent.Expires > ldg.logNow && ent.Expires <= ldg.logNow+MaxLife
}

func (ldg *Ledger) hold(ent Entry) {
	if ldg.keys == nil {
		ldg.keys = map[string]State{}
	}
	until := ldg.logNow + MaxLife + Grace
	ldg.keys[ent.Key] = State{
		phase: Held, attempt: ent.Attempt, holder: ent.Holder,
		digest: ent.Digest, expires: ent.Expires, forgetAt: until,
	}
	ldg.expiries = append(ldg.expiries, expiry{at: until, key: ent.Key})
}

func (ldg *Ledger) release(key string, cur State) {
	cur.phase = Free
	ldg.keys[key] = cur
}

func (ldg *Ledger) settle(ent Entry, cur State) {
	if _, err := outcm.ParseOutcome(ent.Outcome); err == nil {
		ldg.keys[ent.Key] = cur.settled(ent)
	}
}

// settled returns the state after a settlement.
func (st State) settled(ent Entry) State {
	oc, err := outcm.ParseOutcome(ent.Outcome)
	if err != nil {
		oc = outcm.Unknown
	}
	rs, err := outcm.ParseReason(ent.Reason)
	if err != nil {
		rs = outcm.Internal
	}
	st.phase, st.outcome, st.reason = Settled, oc, rs
	st.answer, st.large = ent.Answer, ent.Large
	return st
}

// forgetExpired removes expired keys before each record is applied, not once per batch:
// readers receive the same records in different batches, and one that removed a key later
// would refuse a claim that wins for the others. The queue is ordered by the log's clock. A
// key that was claimed again after a release is in it twice and is removed with the later
// entry.
func (ldg *Ledger) forgetExpired() {
	n := 0
	for n < len(ldg.expiries) && ldg.expiries[n].at <= ldg.logNow {
		exp := ldg.expiries[n]
		if ldg.keys[exp.key].forgetAt <= ldg.logNow {
			delete(ldg.keys, exp.key)
		}
		n++
	}
	if n > 0 {
		ldg.expiries = append([]expiry(nil), ldg.expiries[n:]...)
	}
}
