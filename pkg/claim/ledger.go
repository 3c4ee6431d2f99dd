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

// Bounds of a key's life.
const (
	// MaxLife is the longest span from a claim's record to its expiry.
	MaxLife = clock.Day
	// Grace is how much longer a key is remembered, so that late repeats are
	// told "expired" and are not run.
	Grace = 6 * clock.Hour
	// MinRetention is the shortest time for which the log must keep records:
	// MaxLife, Grace and room for clocks that differ.
	MinRetention = MaxLife + Grace + clock.Hour
	// MaxAnswer is the longest answer kept in the log, in bytes. A larger one
	// stays with its holder.
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
	// Attempt names the attempt; the same claim appended twice counts once.
	Attempt string `json:"attempt"`
	// Holder is the instance that makes the attempt.
	Holder ident.Incarnation `json:"holder,omitempty"`
	// Digest is a hash of the request, so that one key can't name two.
	Digest string `json:"digest,omitempty"`
	// Expires is the instant after which the key is refused.
	Expires clock.Milli `json:"expires_ms,omitempty"`
	// Outcome, Reason, Answer: what became of the request, in a settlement.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Answer  string `json:"answer,omitempty"`
	// Large tells that the answer was too long and stays with the holder.
	Large bool `json:"large,omitempty"`
}

// Encode gives the entry as a record body.
func (ent Entry) Encode() json.RawMessage {
	raw, err := json.Marshal(ent)
	if err != nil {
		panic(fmt.Sprintf("claim: an entry of plain values can't be encoded: %v", err))
	}
	return raw
}

// FullKey joins workspace, service and key. A workspace that guesses another's
// key names a different full key and gets nothing of it. Names contain no
// slash, so no two triples meet.
func FullKey(workspace, service, key string) string {
	return workspace + "/" + service + "/" + key
}

// Phase is where a key stands.
type Phase int

// The phases.
const (
	Free    Phase = iota // free
	Held                 // held
	Settled              // settled
)

// State is what the ledger knows of one key. The zero value is a free key.
type State struct {
	phase   Phase
	attempt string
	holder  ident.Incarnation
	digest  string
	expires clock.Milli
	forget  clock.Milli
	outcome outcm.Outcome
	reason  outcm.Reason
	answer  string
	large   bool
}

// Phase gives where the key stands.
func (st State) Phase() Phase { return st.phase }

// Attempt names the attempt that holds or settled the key.
func (st State) Attempt() string { return st.attempt }

// Holder gives the instance that holds or settled the key.
func (st State) Holder() ident.Incarnation { return st.holder }

// Digest gives the hash of the request that the key names.
func (st State) Digest() string { return st.digest }

// Expires gives the instant after which the key is refused.
func (st State) Expires() clock.Milli { return st.expires }

// Result gives what became of a settled request.
func (st State) Result() outcm.Result { return outcm.New(st.outcome, st.reason, "") }

// Answer gives a settled request's answer; inLog is false when it was too
// large for the log and is to be asked of the holder.
func (st State) Answer() (text string, inLog bool) { return st.answer, !st.large }

// Ledger is the fold over the claims' stream. The zero value expects offset 1.
// The control thread owns it.
type Ledger struct {
	applied int64
	logNow  clock.Milli
	blind   clock.Milli
	keys    map[string]State
	queue   []forgetting
}

type forgetting struct {
	at  clock.Milli
	key string
}

// Applied gives the offset of the last record applied.
func (ldg *Ledger) Applied() int64 { return ldg.applied }

// Next gives the offset to read from.
func (ldg *Ledger) Next() int64 { return ldg.applied + 1 }

// Len gives the number of keys remembered.
func (ldg *Ledger) Len() int { return len(ldg.keys) }

// Find gives what is known of a key.
func (ldg *Ledger) Find(key string) State { return ldg.keys[key] }

// Restart makes the ledger go on at the oldest offset that the log still has,
// because its next record has been forgotten, at the instant now.
//
// What was forgotten is older than the log's retention, and so are all keys in
// it, for the retention is at least MinRetention: that is the platform's word, and
// a new reader has nothing else to go by. (Going by the age of the oldest record
// left was tried first: after a closure of some days no record is left, and every
// booking was refused for thirty hours.) A reader that has read before can tell
// when the word was not kept: the records that it missed are younger than its
// last one. It then knows less than all living keys for as long as they live.
func (ldg *Ledger) Restart(start int64, now clock.Milli) {
	if start <= ldg.Next() {
		return
	}
	if ldg.applied > 0 && now-ldg.logNow < MinRetention {
		ldg.blind = now + MaxLife + Grace
	}
	ldg.applied = start - 1
}

// Covers tells whether every key that can still be repeated is known, at the
// instant now.
func (ldg *Ledger) Covers(now clock.Milli) bool { return now >= ldg.blind }

// Change tells that a key's state changed with an applied record.
type Change struct {
	Key     string
	Attempt string
	State   State
}

// Apply takes the next records in the order of their offsets; gap is true when
// one is missing, and the records after it are left.
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
		ldg.forget()
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

// wins tells whether a claim takes the key. The log's clock decides about the
// expiry, not the claimant's: all instances must agree. A claim record that was
// delayed beyond the key's expiry loses, and so does one whose own attempt was
// released before: an append repeated after a lost reply may reach the log after
// the release, and would then hold the key for an attempt that has been answered
// "not run".
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
		digest: ent.Digest, expires: ent.Expires, forget: until,
	}
	ldg.queue = append(ldg.queue, forgetting{at: until, key: ent.Key})
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

// settled gives the state after a settlement.
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

// forget drops the keys whose time has come, before each record is applied and
// not once a batch: readers get the same records in different batches, and one
// that forgot later would refuse a claim which the others let win. The queue is in the order of the
// log's clock; a key that was claimed again after a release stands in it twice
// and goes with its later entry.
func (ldg *Ledger) forget() {
	n := 0
	for n < len(ldg.queue) && ldg.queue[n].at <= ldg.logNow {
		ent := ldg.queue[n]
		if ldg.keys[ent.key].forget <= ldg.logNow {
			delete(ldg.keys, ent.key)
		}
		n++
	}
	if n > 0 {
		ldg.queue = append([]forgetting(nil), ldg.queue[n:]...)
	}
}
