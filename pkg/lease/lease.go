// Package lease decides who may order endpoints about: one holder a name, with
// a fencing number that only grows.
//
// # Concepts
//
// A lease is a row of records in the log. The offset of the record that
// acquired it is the fencing number. The fold ([Book]) counts time by the log's
// clock alone, so that all instances agree who holds what; a holder itself
// counts by its own clock, from before it sent the append ([Grant.Valid]), and so
// always believes the lease to end earlier than the fold does.
//
// A holder can be paused between its last look at the clock and the write of an
// order. Two things keep such an order from doing harm. An endpoint that checks
// fencing numbers refuses it. For one that does not, a new holder can acquire
// only when the old lease has been over for Flight, the longest time that an
// order may be under way, and orders state a desired result and not a step; the
// new holder reads the state back and corrects it. What remains is a holder paused
// for longer than Flight with the bytes of an order already handed to the
// kernel: the correction then comes with the next read, see docs/PROOFS.md.
//
// Source: C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant
// mechanism for distributed file cache consistency", SOSP 1989.
package lease

import (
	"encoding/json"
	"fmt"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/oplog"
)

// Spans of a lease.
const (
	// TTL is how long a lease lasts from its record.
	TTL = 10 * clock.Second
	// Renew is when a holder appends again, counted from its last append.
	Renew = 3 * clock.Second
	// Flight is the longest time for which an order may be under way.
	Flight = 5 * clock.Second
)

// The kinds of entry in the leases' stream.
const (
	KindAcquire = "acquire"
	KindRelease = "release"
)

// Entry is the body of a record in the leases' stream.
type Entry struct {
	Kind   string            `json:"kind"`
	Name   string            `json:"name"`
	Holder ident.Incarnation `json:"holder"`
	// ID names the append, so that a holder knows which of its own appends
	// brought its lease up to date.
	ID string `json:"id"`
}

// Encode gives the entry as a record body.
func (ent Entry) Encode() json.RawMessage {
	raw, err := json.Marshal(ent)
	if err != nil {
		panic(fmt.Sprintf("lease: an entry of plain values can't be encoded: %v", err))
	}
	return raw
}

// Tenure is who holds a lease, by the log's clock.
type Tenure struct {
	holder ident.Incarnation
	fence  int64
	until  clock.Milli
	id     string
}

// ID names the append that brought the lease to its present end.
func (ten Tenure) ID() string { return ten.id }

// Holder gives the instance.
func (ten Tenure) Holder() ident.Incarnation { return ten.holder }

// Fence gives the fencing number: the offset of the acquiring record. A
// renewal keeps it.
func (ten Tenure) Fence() int64 { return ten.fence }

// Until gives the instant at which the lease ends, by the log's clock.
func (ten Tenure) Until() clock.Milli { return ten.until }

// Book is the fold over the leases' stream. The zero value expects offset 1.
type Book struct {
	applied int64
	logNow  clock.Milli
	held    map[string]Tenure
}

// Applied gives the offset of the last record applied.
func (bk *Book) Applied() int64 { return bk.applied }

// Next gives the offset to read from.
func (bk *Book) Next() int64 { return bk.applied + 1 }

// Find gives a lease's last tenure, over or not.
func (bk *Book) Find(name string) (Tenure, bool) {
	ten, ok := bk.held[name]
	return ten, ok
}

// All gives the names and tenures.
func (bk *Book) All() map[string]Tenure {
	all := make(map[string]Tenure, len(bk.held))
	for name, ten := range bk.held {
		all[name] = ten
	}
	return all
}

// Restart makes the book go on at the oldest offset that the log still has.
// Leases last seconds and records are kept for hours, so that an unread lease
// has long ended; its fencing number is smaller than any offset to come.
func (bk *Book) Restart(start int64) {
	if start > bk.Next() {
		bk.applied = start - 1
	}
}

// Apply takes the next records in the order of their offsets; gap is true when
// one is missing, and the records after it are left.
func (bk *Book) Apply(recs []oplog.Record) (gap bool) {
	for _, rec := range recs {
		if rec.Offset < bk.Next() {
			continue
		}
		if rec.Offset > bk.Next() {
			return true
		}
		bk.applied = rec.Offset
		bk.logNow = max(bk.logNow, rec.At)
		var ent Entry
		if json.Unmarshal(rec.Body, &ent) == nil && ent.Name != "" {
			bk.step(rec, ent)
		}
	}
	return false
}

func (bk *Book) step(rec oplog.Record, ent Entry) {
	if bk.held == nil {
		bk.held = map[string]Tenure{}
	}
	cur, ok := bk.held[ent.Name]
	mine := ok && cur.holder == ent.Holder
	switch ent.Kind {
	case KindAcquire:
		switch {
		case mine && rec.At < cur.until:
			cur.until, cur.id = rec.At+TTL, ent.ID
			bk.held[ent.Name] = cur
		case !ok || rec.At >= cur.until+Flight:
			bk.held[ent.Name] = Tenure{holder: ent.Holder, fence: rec.Offset, until: rec.At + TTL, id: ent.ID}
		}
	case KindRelease:
		if mine {
			cur.until = min(cur.until, rec.At)
			bk.held[ent.Name] = cur
		}
	}
}

// Open tells whether an acquisition appended at the instant now would probably
// succeed. It spares the log hopeless appends and is never trusted for safety.
func (bk *Book) Open(name string, now clock.Milli) bool {
	ten, ok := bk.held[name]
	return !ok || now >= ten.until+Flight
}

// Grant is a holder's own view of its lease.
type Grant struct {
	fence  int64
	sentAt clock.Milli
}

// NewGrant notes that the append which gave or renewed the lease was sent at
// sentAt by the holder's clock.
func NewGrant(fence int64, sentAt clock.Milli) Grant {
	return Grant{fence: fence, sentAt: sentAt}
}

// Fence gives the fencing number to send with each order.
func (gr Grant) Fence() int64 { return gr.fence }

// Valid tells whether the holder may act at the instant now. It is asked last
// thing before an order is written, never once for a row of orders. An hour's
// clock jump backwards must not revive a grant, so an instant before the append
// is not valid either.
func (gr Grant) Valid(now clock.Milli) bool {
	return gr.fence > 0 && now >= gr.sentAt && now < gr.sentAt+TTL
}
