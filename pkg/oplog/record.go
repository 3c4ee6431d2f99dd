package oplog

import (
	"encoding/json"
	"fmt"

	"amaranthvalve/pkg/clock"
)

// Record is one record of a stream as the log returns it.
type Record struct {
	Offset int64           `json:"offset"`
	At     clock.Milli     `json:"at_ms"`
	Body   json.RawMessage `json:"body"`
}

// Batch is the log's response to a read. Start is the oldest offset that the log still has,
// End the offset after the newest record.
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
	// KindStateRequest is a state request: the sender found records missing and no usable
	// manifest, and asks any instance with a state to append it.
	KindStateRequest = "wanted"
	// KindReset declares that no document is in force, since no instance answered the state
	// request at offset AsOf.
	KindReset = "reset"
)

// Entry is the body of a record in the documents' stream.
type Entry struct {
	Kind string `json:"kind"`
	// ID identifies an offer; the same id in two records counts once.
	ID string `json:"id,omitempty"`
	// Service and Text are the document of an offer or a snapshot.
	Service string `json:"service,omitempty"`
	Text    string `json:"text,omitempty"`
	// Base is the revision that an offer is based on; 0 offers a new service.
	Base int64 `json:"base,omitempty"`
	// By is the operator, for the history.
	By string `json:"by,omitempty"`
	// Revision is the revision of the document in a snapshot.
	Revision int64 `json:"revision,omitempty"`
	// AsOf and Revisions are a manifest's content: the revisions in force after the record
	// at offset AsOf.
	AsOf      int64            `json:"as_of,omitempty"`
	Revisions map[string]int64 `json:"revisions,omitempty"`
	// Tail lists the ids of the last offers as of a manifest, so that a reader that starts
	// from it still counts a repeated append once.
	Tail []string `json:"tail,omitempty"`
	// Marker is the offset of the last manifest or reset as of a manifest.
	Marker int64 `json:"marker,omitempty"`
}

// Encode returns the entry as a record body.
func (ent Entry) Encode() json.RawMessage {
	raw, err := json.Marshal(ent)
	if err != nil {
		panic(fmt.Sprintf("oplog: encoding an entry: %v", err))
	}
	return raw
}
