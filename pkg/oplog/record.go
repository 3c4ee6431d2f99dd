package oplog

import (
	"encoding/json"
	"fmt"

	"amaranthvalve/pkg/clock"
)

// Record is one record of a stream, as the log gave it.
type Record struct {
	Offset int64           `json:"offset"`
	At     clock.Milli     `json:"at_ms"`
	Body   json.RawMessage `json:"body"`
}

// Batch is one answer of the log to a read. Start is the oldest offset that it
// still has, End the offset after the newest.
type Batch struct {
	Records []Record `json:"records"`
	Start   int64    `json:"start"`
	End     int64    `json:"end"`
}

// The kinds of entry in the documents' stream.
const (
	KindOffer    = "offer"
	KindSnapshot = "snapshot"
	KindManifest = "manifest"
	// KindWanted asks whoever has a state to append it again: a reader found
	// records missing and no manifest that it can use.
	KindWanted = "wanted"
	// KindReset says that nobody answered: no document is in force. AsOf is the
	// offset of the record that asked.
	KindReset = "reset"
)

// Entry is the body of a record in the documents' stream.
type Entry struct {
	Kind string `json:"kind"`
	// ID names an offer; the same id in two records counts once.
	ID string `json:"id,omitempty"`
	// Service, Text: the document of an offer or a snapshot.
	Service string `json:"service,omitempty"`
	Text    string `json:"text,omitempty"`
	// Base is the revision that an offer was written against; 0 offers a new
	// service.
	Base int64 `json:"base,omitempty"`
	// By names the operator, for the history.
	By string `json:"by,omitempty"`
	// Revision is the revision that a snapshot speaks for.
	Revision int64 `json:"revision,omitempty"`
	// AsOf and Revisions are a manifest's: the state after that offset.
	AsOf      int64            `json:"as_of,omitempty"`
	Revisions map[string]int64 `json:"revisions,omitempty"`
	// Tail lists the ids of the last offers as of a manifest, so that a reader
	// that starts from it still counts a doubled append once.
	Tail []string `json:"tail,omitempty"`
	// Marker is the offset of the last manifest or reset as of a manifest.
	Marker int64 `json:"marker,omitempty"`
}

// Encode gives the entry as a record body.
func (ent Entry) Encode() json.RawMessage {
	raw, err := json.Marshal(ent)
	if err != nil {
		panic(fmt.Sprintf("oplog: an entry of plain values can't be encoded: %v", err))
	}
	return raw
}
