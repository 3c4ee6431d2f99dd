package oplog

import (
	"encoding/json"
	"maps"
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/svcdoc"
)

//go:generate go tool stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict is what the fold made of an offer.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota // undecided
	Accepted                 // accepted
	LostRace                 // lost_race
	Invalid                  // invalid
)

// historyLength bounds how many decisions are kept a service, and tailLength
// how many offer ids are remembered to recognise a doubled append. An append
// is repeated within seconds; 256 offers are more than two minutes at the
// design's 17,000 changes a day, bunched a hundredfold.
const (
	historyLength = 32
	tailLength    = 256
)

// Decision is the fold's answer to one offer.
type Decision struct {
	id      string
	service string
	by      string
	base    int64
	offset  int64
	at      clock.Milli
	verdict Verdict
	detail  string
}

// ID names the offer.
func (dec Decision) ID() string { return dec.id }

// Service names the service that the offer speaks of.
func (dec Decision) Service() string { return dec.service }

// By names the operator.
func (dec Decision) By() string { return dec.by }

// Base gives the revision that the offer was written against.
func (dec Decision) Base() int64 { return dec.base }

// Offset gives the offer's place in the log; it is the new revision when the
// verdict is accepted.
func (dec Decision) Offset() int64 { return dec.offset }

// At gives the instant at which the log took the offer.
func (dec Decision) At() clock.Milli { return dec.at }

// Verdict gives what became of the offer.
func (dec Decision) Verdict() Verdict { return dec.verdict }

// Detail tells a person why an offer was not accepted.
func (dec Decision) Detail() string { return dec.detail }

// Held is a document in force with its revision.
type Held struct {
	doc      *svcdoc.Document
	text     string
	revision int64
	seenAt   clock.Milli
}

// Doc gives the checked document.
func (hld Held) Doc() *svcdoc.Document { return hld.doc }

// Text gives the document as its owner wrote it.
func (hld Held) Text() string { return hld.text }

// Revision gives the offset of the offer that brought the document.
func (hld Held) Revision() int64 { return hld.revision }

// Registry is the fold over the documents' stream. The zero value has read
// nothing and expects offset 1. It is not safe for concurrent use: the control
// thread owns it.
type Registry struct {
	applied  int64
	held     map[string]Held
	history  map[string][]Decision
	tail     []Decision
	boot     *bootstrap
	manifest clock.Milli
	// marker is the offset of the last manifest or reset, wanted that of the
	// last record that asked for one.
	marker int64
	wanted int64
}

// Applied gives the offset of the last record that the state includes.
func (reg *Registry) Applied() int64 { return reg.applied }

// Next gives the offset to read from.
func (reg *Registry) Next() int64 {
	if reg.boot != nil {
		return reg.boot.next
	}
	return reg.applied + 1
}

// Ready tells whether the state is that of some offset; false while a restart
// is under way.
func (reg *Registry) Ready() bool { return reg.boot == nil }

// ManifestAt gives the instant of the last manifest seen, zero if none.
func (reg *Registry) ManifestAt() clock.Milli { return reg.manifest }

// Held gives a service's document in force.
func (reg *Registry) Held(service string) (Held, bool) {
	hld, ok := reg.held[service]
	return hld, ok
}

// All gives a copy of all documents in force, by service.
func (reg *Registry) All() map[string]Held { return maps.Clone(reg.held) }

// History gives a service's last decisions, oldest first.
func (reg *Registry) History(service string) []Decision {
	return slices.Clone(reg.history[service])
}

// Find looks an offer up by its id among the last decisions.
func (reg *Registry) Find(id string) (Decision, bool) {
	for i := len(reg.tail) - 1; i >= 0; i-- {
		if reg.tail[i].id == id {
			return reg.tail[i], true
		}
	}
	return Decision{}, false
}

// Apply takes the next records in the order of their offsets. Records that
// were applied before are skipped. A gap ends the call: the records after it
// are left, and gap is true, for the caller must read the missing ones or
// restart.
func (reg *Registry) Apply(recs []Record) (decided []Decision, gap bool) {
	for _, rec := range recs {
		if rec.Offset < reg.Next() {
			continue
		}
		if rec.Offset > reg.Next() {
			return decided, true
		}
		if reg.boot != nil {
			decided = append(decided, reg.bootApply(rec)...)
			continue
		}
		decided = append(decided, reg.step(rec)...)
	}
	return decided, false
}

// step applies one record to a state that is complete up to the one before.
func (reg *Registry) step(rec Record) []Decision {
	reg.applied = rec.Offset
	var ent Entry
	if json.Unmarshal(rec.Body, &ent) != nil {
		// Not ours, or damaged: every instance skips it alike.
		return nil
	}
	switch ent.Kind {
	case KindOffer:
		return reg.offer(rec, ent)
	case KindSnapshot:
		reg.refresh(rec, ent)
	case KindManifest:
		reg.manifest = max(reg.manifest, rec.At)
		reg.marker = rec.Offset
	case KindWanted:
		reg.wanted = rec.Offset
	case KindReset:
		reg.reset(rec, ent)
	}
	return nil
}

// reset drops all documents, if the reset holds: whoever has a state answers a
// record that wants one with a manifest, so that a reset holds only if no manifest
// and no other reset stands between. A reset that reaches the log late, or twice,
// would otherwise drop documents that were accepted since.
func (reg *Registry) reset(rec Record, ent Entry) {
	if ent.AsOf > reg.marker {
		reg.held, reg.tail, reg.manifest = nil, nil, 0
	}
	reg.marker = rec.Offset
}

// IsWanted tells whether a reader asked for the state and no manifest has come
// since.
func (reg *Registry) IsWanted() bool { return reg.Ready() && reg.wanted > reg.marker }

func (reg *Registry) offer(rec Record, ent Entry) []Decision {
	if _, seen := reg.Find(ent.ID); seen || ent.ID == "" {
		return nil
	}
	dec := Decision{id: ent.ID, service: ent.Service, by: ent.By, base: ent.Base, offset: rec.Offset, at: rec.At}
	doc, verdict, detail := reg.judge(ent)
	dec.verdict, dec.detail = verdict, detail
	if verdict == Accepted {
		reg.put(ent.Service, Held{doc: doc, text: ent.Text, revision: rec.Offset, seenAt: rec.At})
	}
	reg.note(dec)
	return []Decision{dec}
}

func (reg *Registry) judge(ent Entry) (*svcdoc.Document, Verdict, string) {
	if len(ent.Text) > svcdoc.MaxBytes {
		return nil, Invalid, "the document is too large"
	}
	doc, fts := svcdoc.Parse([]byte(ent.Text))
	if doc == nil {
		return nil, Invalid, fts.Err().Error()
	}
	if doc.Name() != ent.Service {
		return nil, Invalid, "the document names another service: " + doc.Name()
	}
	if cur := reg.held[ent.Service].revision; cur != ent.Base {
		return nil, LostRace, "another change came first"
	}
	return doc, Accepted, ""
}

// refresh notes that a document's text has been appended again, so that it is
// not appended anew too soon. A snapshot of an older revision changes nothing.
func (reg *Registry) refresh(rec Record, ent Entry) {
	hld, ok := reg.held[ent.Service]
	if ok && hld.revision == ent.Revision {
		hld.seenAt = rec.At
		reg.held[ent.Service] = hld
	}
}

func (reg *Registry) put(service string, hld Held) {
	if reg.held == nil {
		reg.held = map[string]Held{}
	}
	reg.held[service] = hld
}

func (reg *Registry) note(dec Decision) {
	if reg.history == nil {
		reg.history = map[string][]Decision{}
	}
	// A service that was never accepted has no history: offers with made-up
	// names would otherwise fill the memory.
	if _, ok := reg.held[dec.service]; ok {
		reg.history[dec.service] = lastOf(append(reg.history[dec.service], dec), historyLength)
	}
	reg.tail = lastOf(append(reg.tail, dec), tailLength)
}

func lastOf(list []Decision, most int) []Decision {
	if len(list) <= most {
		return list
	}
	return slices.Clone(list[len(list)-most:])
}
