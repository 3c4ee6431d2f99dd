package oplog

import (
	"encoding/json"
	"maps"
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/svcdoc"
)

//go:generate go tool stringer -type=Verdict -linecomment -output=verdict_string.go

// Verdict is the decision on an offer.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota // undecided
	Accepted                 // accepted
	LostRace                 // lost_race
	Invalid                  // invalid
)

// historyLength is the number of decisions kept per service, recentLength the number of
// offer ids remembered to detect repeated appends. An append is repeated within seconds;
// 256 offers cover more than two minutes at the design's 17,000 changes a day, in bursts of
// a hundred times that rate.
const (
	historyLength = 32
	recentLength  = 256
)

// Decision is the decision on one offer.
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

// ID returns the id of the offer.
func (dec Decision) ID() string { return dec.id }

// Service returns the service of the offer.
func (dec Decision) Service() string { return dec.service }

// By returns the operator.
func (dec Decision) By() string { return dec.by }

// Base returns the revision that the offer is based on.
func (dec Decision) Base() int64 { return dec.base }

// Offset returns the offset of the offer in the log; it is the new revision if the offer is
// accepted.
func (dec Decision) Offset() int64 { return dec.offset }

// At returns the time at which the log appended the offer.
func (dec Decision) At() clock.Milli { return dec.at }

// Verdict returns the verdict.
func (dec Decision) Verdict() Verdict { return dec.verdict }

// Detail describes why an offer was not accepted; it is meant for people.
func (dec Decision) Detail() string { return dec.detail }

// DocVersion is a document in force with its revision.
type DocVersion struct {
	doc      *svcdoc.Document
	text     string
	revision int64
	seenAt   clock.Milli
}

// Doc returns the checked document.
func (dcv DocVersion) Doc() *svcdoc.Document { return dcv.doc }

// Text returns the document as its owner wrote it.
func (dcv DocVersion) Text() string { return dcv.text }

// Revision returns the offset of the offer that introduced the document.
func (dcv DocVersion) Revision() int64 { return dcv.revision }

// Registry is the replicated state machine over the documents' stream. The zero value has
// read nothing and expects offset 1. It is not safe for concurrent use; it is owned by the
// control loop.
type Registry struct {
	applied    int64
	docs       map[string]DocVersion
	history    map[string][]Decision
	recent     []Decision
	boot       *bootstrap
	manifestAt clock.Milli
	// marker is the offset of the last manifest or reset, stateRequest that of the last
	// state request.
	marker       int64
	stateRequest int64
}

// Applied returns the offset of the last record that the state includes.
func (reg *Registry) Applied() int64 { return reg.applied }

// Next returns the offset to read from.
func (reg *Registry) Next() int64 {
	if reg.boot != nil {
		return reg.boot.next
	}
	return reg.applied + 1
}

// Ready reports whether the state is complete as of some offset; it is not during a
// restart.
func (reg *Registry) Ready() bool { return reg.boot == nil }

// ManifestAt returns the time of the last manifest, zero if there was none.
func (reg *Registry) ManifestAt() clock.Milli { return reg.manifestAt }

// Current returns the document in force of a service.
func (reg *Registry) Current(service string) (DocVersion, bool) {
	dcv, ok := reg.docs[service]
	return dcv, ok
}

// All returns a copy of all documents in force, by service.
func (reg *Registry) All() map[string]DocVersion { return maps.Clone(reg.docs) }

// History returns a service's last decisions, oldest first.
func (reg *Registry) History(service string) []Decision {
	return slices.Clone(reg.history[service])
}

// Find returns the decision on an offer by its id, among the last decisions.
func (reg *Registry) Find(id string) (Decision, bool) {
	for i := len(reg.recent) - 1; i >= 0; i-- {
		if reg.recent[i].id == id {
			return reg.recent[i], true
		}
	}
	return Decision{}, false
}

// Apply applies the next records in the order of their offsets. Records that were applied
// before are skipped. It stops at a missing record, and gap is then true: the caller must
// read the missing records or restart.
func (reg *Registry) Apply(recs []Record) (decided []Decision, gap bool) {
	for _, rec := range recs {
		if rec.Offset < reg.Next() {
			continue
		}
		if rec.Offset > reg.Next() {
			return decided, true
		}
		if reg.boot != nil {
			decided = append(decided, reg.buffer(rec)...)
			continue
		}
		decided = append(decided, reg.step(rec)...)
	}
	return decided, false
}

// step applies one record to a state that is complete up to the record before.
func (reg *Registry) step(rec Record) []Decision {
	reg.applied = rec.Offset
	var ent Entry
	if json.Unmarshal(rec.Body, &ent) != nil {
		// Damaged or of unknown origin: every instance skips it alike.
		return nil
	}
	switch ent.Kind {
	case KindOffer:
		return reg.applyOffer(rec, ent)
	case KindSnapshot:
		reg.applySnapshot(rec, ent)
	case KindManifest:
		reg.manifestAt = max(reg.manifestAt, rec.At)
		reg.marker = rec.Offset
	case KindStateRequest:
		reg.stateRequest = rec.Offset
	case KindReset:
		reg.applyReset(rec, ent)
	}
	return nil
}

// applyReset drops all documents if the reset is valid. An instance with a state answers a
// state request with a manifest, so that a reset is valid only if no manifest and no other
// reset lies between the request and it. Otherwise a late or repeated reset would drop
// documents that were accepted since.
func (reg *Registry) applyReset(rec Record, ent Entry) {
	if ent.AsOf > reg.marker {
		reg.docs, reg.recent, reg.manifestAt = nil, nil, 0
	}
	reg.marker = rec.Offset
}

// StateRequested reports whether a state request is unanswered: no manifest or reset has
// followed it.
func (reg *Registry) StateRequested() bool { return reg.Ready() && reg.stateRequest > reg.marker }

func (reg *Registry) applyOffer(rec Record, ent Entry) []Decision {
	if _, seen := reg.Find(ent.ID); seen || ent.ID == "" {
		return nil
	}
	dec := Decision{id: ent.ID, service: ent.Service, by: ent.By, base: ent.Base, offset: rec.Offset, at: rec.At}
	doc, verdict, detail := reg.validate(ent)
	dec.verdict, dec.detail = verdict, detail
	if verdict == Accepted {
		reg.put(ent.Service, DocVersion{doc: doc, text: ent.Text, revision: rec.Offset, seenAt: rec.At})
	}
	reg.record(dec)
	return []Decision{dec}
}

func (reg *Registry) validate(ent Entry) (*svcdoc.Document, Verdict, string) {
	if len(ent.Text) > svcdoc.MaxBytes {
		return nil, Invalid, "the document is too large"
	}
	doc, fts := svcdoc.Parse([]byte(ent.Text))
	if doc == nil {
		return nil, Invalid, fts.Err().Error()
	}
	if doc.Name() != ent.Service {
		return nil, Invalid, "the document is of another service: " + doc.Name()
	}
	if cur := reg.docs[ent.Service].revision; cur != ent.Base {
		return nil, LostRace, "another change came first"
	}
	return doc, Accepted, ""
}

// applySnapshot records that a document was appended again, so that the next append is not
// due too soon. A snapshot of an older revision has no effect.
func (reg *Registry) applySnapshot(rec Record, ent Entry) {
	dcv, ok := reg.docs[ent.Service]
	if ok && dcv.revision == ent.Revision {
		dcv.seenAt = rec.At
		reg.docs[ent.Service] = dcv
	}
}

func (reg *Registry) put(service string, dcv DocVersion) {
	if reg.docs == nil {
		reg.docs = map[string]DocVersion{}
	}
	reg.docs[service] = dcv
}

func (reg *Registry) record(dec Decision) {
	if reg.history == nil {
		reg.history = map[string][]Decision{}
	}
	// A service that was never accepted has no history, so that offers with invented names
	// can't exhaust the memory.
	if _, ok := reg.docs[dec.service]; ok {
		reg.history[dec.service] = lastOf(append(reg.history[dec.service], dec), historyLength)
	}
	reg.recent = lastOf(append(reg.recent, dec), recentLength)
}

func lastOf(list []Decision, most int) []Decision {
	if len(list) <= most {
		return list
	}
	return slices.Clone(list[len(list)-most:])
}
