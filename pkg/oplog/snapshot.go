package oplog

import (
	"encoding/json"
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/svcdoc"
)

// bootstrap is the state of a reader that starts where records are missing.
type bootstrap struct {
	start   int64
	next    int64
	records []Record
	texts   map[textKey]string
	marker  int64
	wanted  int64
}

type textKey struct {
	service  string
	revision int64
}

// Restart makes the registry start over at the oldest offset that the log
// still has, because its next record has been forgotten. The documents held
// stay in force until a usable manifest has been read; they are not dropped,
// for an instance with old documents knows that it is behind (see Ready), one
// without any would refuse every service as unknown.
func (reg *Registry) Restart(start int64) {
	if start <= reg.Next() {
		return
	}
	reg.boot = &bootstrap{start: start, next: start, texts: map[textKey]string{}}
}

func (reg *Registry) bootApply(rec Record) []Decision {
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
	case KindWanted:
		bst.wanted = rec.Offset
	case KindReset:
		if ent.AsOf >= bst.start && ent.AsOf > bst.marker {
			reg.load(State{Applied: rec.Offset, Marker: rec.Offset})
		} else {
			bst.marker = rec.Offset
		}
	}
	return nil
}

// Asked gives the offset of the last record that wants a state and is still
// without an answer, while a restart is under way; zero if there is none.
func (reg *Registry) Asked() int64 {
	if reg.boot == nil || reg.boot.wanted <= reg.boot.marker {
		return 0
	}
	return reg.boot.wanted
}

// usable tells whether the state after the manifest's as-of offset can be
// built: no record between that offset and the first one read is missing, and
// each listed text has been read.
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

// adopt builds the manifest's state and applies what was buffered after it.
func (reg *Registry) adopt(rec Record, ent Entry) []Decision {
	bst := reg.boot
	st := State{Applied: ent.AsOf, Tail: ent.Tail, Marker: ent.Marker}
	for service, revision := range ent.Revisions {
		text := bst.texts[textKey{service, revision}]
		st.Docs = append(st.Docs, StateDoc{Service: service, Revision: revision, Text: text, SeenAt: rec.At})
	}
	reg.load(st)
	reg.manifest = rec.At
	var decided []Decision
	for _, old := range bst.records {
		if old.Offset > reg.applied {
			decided = append(decided, reg.step(old)...)
		}
	}
	return decided
}

// State is a registry's content as one instance hands it to another, for a
// start while the log is out. It is complete as of Applied.
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

// State gives the registry's content for another instance; ok is false while a
// restart is under way.
func (reg *Registry) State() (st State, ok bool) {
	if !reg.Ready() {
		return State{}, false
	}
	st = State{Applied: reg.applied, Tail: reg.tailIDs(), Marker: reg.marker}
	for service, hld := range reg.held {
		st.Docs = append(st.Docs, StateDoc{Service: service, Revision: hld.revision, Text: hld.text, SeenAt: hld.seenAt})
	}
	return st, true
}

// Load takes another instance's state if it is newer than the registry's own
// and tells whether it did. An older one is ignored: the applied offset only
// grows.
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
	reg.held = map[string]Held{}
	for _, sdoc := range st.Docs {
		doc, _ := svcdoc.Parse([]byte(sdoc.Text))
		if doc == nil {
			// Another version of the program accepted what this one does not
			// know. Dropping the service is seen at once (unknown_service);
			// running it by half its rules is not.
			continue
		}
		reg.held[sdoc.Service] = Held{doc: doc, text: sdoc.Text, revision: sdoc.Revision, seenAt: sdoc.SeenAt}
	}
	reg.tail = nil
	for _, id := range st.Tail {
		reg.tail = append(reg.tail, Decision{id: id})
	}
}

func (reg *Registry) tailIDs() []string {
	ids := make([]string, len(reg.tail))
	for i, dec := range reg.tail {
		ids[i] = dec.id
	}
	return ids
}

// Snapshot gives the entries to append, in order, so that the state outlives
// the records that it came from: documents that were last appended before
// olderThan, then the manifest. It returns nothing while a restart is under
// way or while the last manifest is younger than olderThan.
func (reg *Registry) Snapshot(olderThan clock.Milli) []Entry {
	if !reg.Ready() || reg.applied == 0 || reg.manifest >= olderThan {
		return nil
	}
	var ents []Entry
	revisions := map[string]int64{}
	for service, hld := range reg.held {
		revisions[service] = hld.revision
		if hld.seenAt < olderThan {
			ents = append(ents, Entry{Kind: KindSnapshot, Service: service, Revision: hld.revision, Text: hld.text})
		}
	}
	slices.SortFunc(ents, func(x, y Entry) int { return int(x.Revision - y.Revision) })
	return append(ents, Entry{Kind: KindManifest, AsOf: reg.applied, Revisions: revisions, Tail: reg.tailIDs(), Marker: reg.marker})
}
