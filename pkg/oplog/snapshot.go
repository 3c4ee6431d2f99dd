package oplog

import (
	"encoding/json"
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/svcdoc"
)

// bootstrap is the state of a reader that starts after trimmed records.
type bootstrap struct {
	start        int64
	next         int64
	records      []Record
	texts        map[textKey]string
	marker       int64
	stateRequest int64
}

type textKey struct {
	service  string
	revision int64
}

// Restart makes the registry start over at the oldest offset that the log still has,
// because its next record has been trimmed. The documents in force stay until a usable
// manifest has been read: an instance with outdated documents knows that it lags (see
// [Registry.Ready]), whereas one without documents would refuse every service as unknown.
func (reg *Registry) Restart(start int64) {
	if start <= reg.Next() {
		return
	}
	reg.boot = &bootstrap{start: start, next: start, texts: map[textKey]string{}}
}

func (reg *Registry) buffer(rec Record) []Decision {
	bst := reg.boot
	bst.next = rec.Offset + 1
	bst.records = append(bst.records, rec)
	var ent Entry
	if json.Unmarshal(rec.Body, &ent) != nil {
		return nil
	}
	switch ent.Kind {
	case KindOffer:
		bst.texts[textKey{ent.Service, rec.Offset}] = ent.Text
	case KindSnapshot:
		bst.texts[textKey{ent.Service, ent.Revision}] = ent.Text
	case KindManifest:
		if bst.usable(ent) {
			return reg.adopt(rec, ent)
		}
		bst.marker = rec.Offset
	case KindStateRequest:
		bst.stateRequest = rec.Offset
	case KindReset:
		if ent.AsOf >= bst.start && ent.AsOf > bst.marker {
			reg.load(State{Applied: rec.Offset, Marker: rec.Offset})
		} else {
			bst.marker = rec.Offset
		}
	}
	return nil
}

// PendingStateRequest returns the offset of the last unanswered state request during a
// restart; zero if there is none.
func (reg *Registry) PendingStateRequest() int64 {
	if reg.boot == nil || reg.boot.stateRequest <= reg.boot.marker {
		return 0
	}
	return reg.boot.stateRequest
}

// usable reports whether the state as of the manifest's offset can be built: no record
// between that offset and the first one read is missing, and each listed text has been
// read.
func (bst *bootstrap) usable(ent Entry) bool {
	if ent.AsOf < bst.start-1 {
		return false
	}
	for service, revision := range ent.Revisions {
		if _, ok := bst.texts[textKey{service, revision}]; !ok {
			return false
		}
	}
	return true
}

// adopt loads the manifest's state and applies the records buffered after it.
func (reg *Registry) adopt(rec Record, ent Entry) []Decision {
	bst := reg.boot
	st := State{Applied: ent.AsOf, Tail: ent.Tail, Marker: ent.Marker}
	for service, revision := range ent.Revisions {
		text := bst.texts[textKey{service, revision}]
		st.Docs = append(st.Docs, StateDoc{Service: service, Revision: revision, Text: text, SeenAt: rec.At})
	}
	reg.load(st)
	reg.manifestAt = rec.At
	var decided []Decision
	for _, buffered := range bst.records {
		if buffered.Offset > reg.applied {
			decided = append(decided, reg.step(buffered)...)
		}
	}
	return decided
}

// State is a registry's content, complete as of Applied. Instances exchange it to start
// while the log is unavailable.
type State struct {
	Applied int64      `cbor:"1,keyasint"`
	Docs    []StateDoc `cbor:"2,keyasint"`
	Tail    []string   `cbor:"3,keyasint"`
	Marker  int64      `cbor:"4,keyasint"`
}

// StateDoc is one document of a [State].
type StateDoc struct {
	Service  string      `cbor:"1,keyasint"`
	Revision int64       `cbor:"2,keyasint"`
	Text     string      `cbor:"3,keyasint"`
	SeenAt   clock.Milli `cbor:"4,keyasint"`
}

// State returns the registry's content for another instance; ok is false during a restart.
func (reg *Registry) State() (st State, ok bool) {
	if !reg.Ready() {
		return State{}, false
	}
	st = State{Applied: reg.applied, Tail: reg.recentIDs(), Marker: reg.marker}
	for service, dcv := range reg.docs {
		st.Docs = append(st.Docs, StateDoc{Service: service, Revision: dcv.revision, Text: dcv.text, SeenAt: dcv.seenAt})
	}
	return st, true
}

// Load replaces the state by that of another instance if that one is newer, and reports
// whether it did. An older one is ignored, since the applied offset never decreases.
func (reg *Registry) Load(st State) bool {
	if st.Applied <= reg.applied {
		return false
	}
	reg.load(st)
	return true
}

func (reg *Registry) load(st State) {
	reg.boot = nil
	reg.applied, reg.marker = st.Applied, st.Marker
	reg.docs = map[string]DocVersion{}
	for _, sdoc := range st.Docs {
		doc, _ := svcdoc.Parse([]byte(sdoc.Text))
		if doc == nil {
			// Another version of the program accepted a document that this one does not
			// support. Dropping the service is noticed at once (unknown_service); applying
			// only the supported part is not.
			continue
		}
		reg.docs[sdoc.Service] = DocVersion{doc: doc, text: sdoc.Text, revision: sdoc.Revision, seenAt: sdoc.SeenAt}
	}
	reg.recent = nil
	for _, id := range st.Tail {
		reg.recent = append(reg.recent, Decision{id: id})
	}
}

func (reg *Registry) recentIDs() []string {
	ids := make([]string, len(reg.recent))
	for i, dec := range reg.recent {
		ids[i] = dec.id
	}
	return ids
}

// Snapshot returns the entries to append, in order, so that the state outlives the records
// that it was built from: documents last appended before olderThan, then the manifest. It
// returns nothing during a restart or if the last manifest is not older than olderThan.
func (reg *Registry) Snapshot(olderThan clock.Milli) []Entry {
	if !reg.Ready() || reg.applied == 0 || reg.manifestAt >= olderThan {
		return nil
	}
	var ents []Entry
	revisions := map[string]int64{}
	for service, dcv := range reg.docs {
		revisions[service] = dcv.revision
		if dcv.seenAt < olderThan {
			ents = append(ents, Entry{Kind: KindSnapshot, Service: service, Revision: dcv.revision, Text: dcv.text})
		}
	}
	slices.SortFunc(ents, func(x, y Entry) int { return int(x.Revision - y.Revision) })
	return append(ents, Entry{Kind: KindManifest, AsOf: reg.applied, Revisions: revisions, Tail: reg.recentIDs(), Marker: reg.marker})
}
