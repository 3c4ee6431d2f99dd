// Package lease decides which instance may send orders to endpoints: one holder per name,
// with a fencing number that only increases.
//
// # Concepts
//
// A lease is a sequence of records in the log. The offset of the record that acquired it is
// the fencing number. The state machine ([Table]) measures time by the log's clock alone, so
// that all instances agree on the holder. A holder itself measures by its own clock, from
// before it sent the append ([Grant.Valid]), and therefore always considers the lease over
// earlier than the state machine does.
//
// A holder can be paused between its last reading of the clock and the write of an order.
// Two measures keep such an order from doing harm. An endpoint that checks fencing numbers
// refuses it. For an endpoint that does not, a new holder can acquire the lease only
// [MaxOrderTime] after its end, the maximum time that an order may be in flight; and orders
// state a desired result, not a step, so that the new holder reads the state back and
// corrects it. One case remains: a holder paused for longer than MaxOrderTime with the bytes
// of an order already passed to the kernel. The correction then follows with the next read,
// see docs/PROOFS.md.
//
// Source: C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
// distributed file cache consistency", SOSP 1989.
package lease

import (
	"encoding/json"
	"fmt"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/oplog"
)

// Durations of a lease.
const (
	// TTL is the duration of a lease, from the time of its record.
	TTL = 10 * clock.Second
	// RenewInterval is the interval between appends of a holder.
	RenewInterval = 3 * clock.Second
	// MaxOrderTime is the maximum time that an order may be in flight.
	MaxOrderTime = 5 * clock.Second
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
	// ID identifies the append, so that a holder knows which of its own appends renewed its
	// lease last.
	ID string `json:"id"`
}

// Encode returns the entry as a record body.
func (ent Entry) Encode() json.RawMessage {
	raw, err := json.Marshal(ent)
	if err != nil {
		panic(fmt.Sprintf("lease: encoding an entry: %v", err))
	}
	return raw
}

// Tenure is the ownership of a lease by one holder, by the log's clock.
type Tenure struct {
	holder ident.Incarnation
	fence  int64
	until  clock.Milli
	id     string
}

// ID returns the id of the append that acquired the lease or renewed it last.
func (ten Tenure) ID() string { return ten.id }

// Holder returns the instance that holds the lease.
func (ten Tenure) Holder() ident.Incarnation { return ten.holder }

// Fence returns the fencing number: the offset of the acquiring record. A renewal keeps it.
func (ten Tenure) Fence() int64 { return ten.fence }

// Until returns the time at which the lease ends, by the log's clock.
func (ten Tenure) Until() clock.Milli { return ten.until }

// Table is the replicated state machine over the leases' stream. The zero value expects
// offset 1.
type Table struct {
	applied int64
	logNow  clock.Milli
	leases  map[string]Tenure
}

// Applied returns the offset of the last applied record.
func (tbl *Table) Applied() int64 { return tbl.applied }

// Next returns the offset to read from.
func (tbl *Table) Next() int64 { return tbl.applied + 1 }

// Find returns a lease's last tenure, whether it has ended or not.
func (tbl *Table) Find(name string) (Tenure, bool) {
	ten, ok := tbl.leases[name]
	return ten, ok
}

// All returns the tenures by name.
func (tbl *Table) All() map[string]Tenure {
	all := make(map[string]Tenure, len(tbl.leases))
	for name, ten := range tbl.leases {
		all[name] = ten
	}
	return all
}

// Restart makes the state machine continue at the oldest offset that the log still has.
// Leases last seconds and records are retained for hours, so that an unread lease has ended
// long ago; its fencing number is smaller than any later offset.
func (tbl *Table) Restart(start int64) {
	if start > tbl.Next() {
		tbl.applied = start - 1
	}
}

// Apply applies the next records in the order of their offsets. It stops at a missing
// record, and gap is then true.
func (tbl *Table) Apply(recs []oplog.Record) (gap bool) {
	for _, rec := range recs {
		if rec.Offset < tbl.Next() {
			continue
		}
		if rec.Offset > tbl.Next() {
			return true
		}
		tbl.applied = rec.Offset
		tbl.logNow = max(tbl.logNow, rec.At)
		var ent Entry
		if json.Unmarshal(rec.Body, &ent) == nil && ent.Name != "" {
			tbl.step(rec, ent)
		}
	}
	return false
}

func (tbl *Table) step(rec oplog.Record, ent Entry) {
	if tbl.leases == nil {
		tbl.leases = map[string]Tenure{}
	}
	cur, ok := tbl.leases[ent.Name]
	mine := ok && cur.holder == ent.Holder
	switch ent.Kind {
	case KindAcquire:
		switch {
		case mine && rec.At < cur.until:
			cur.until, cur.id = rec.At+TTL, ent.ID
			tbl.leases[ent.Name] = cur
		case !ok || rec.At >= cur.until+MaxOrderTime:
			tbl.leases[ent.Name] = Tenure{holder: ent.Holder, fence: rec.Offset, until: rec.At + TTL, id: ent.ID}
		}
	case KindRelease:
		if mine {
			cur.until = min(cur.until, rec.At)
			tbl.leases[ent.Name] = cur
		}
	}
}

// Available reports whether an acquisition appended at the time now would probably succeed.
// It avoids appends that can't succeed and is never trusted for safety.
func (tbl *Table) Available(name string, now clock.Milli) bool {
	ten, ok := tbl.leases[name]
	return !ok || now >= ten.until+MaxOrderTime
}

// Grant is a holder's own view of its lease.
type Grant struct {
	fence  int64
	sentAt clock.Milli
}

// NewGrant returns the grant of a lease whose last append was sent at sentAt by the
// holder's clock.
func NewGrant(fence int64, sentAt clock.Milli) Grant {
	return Grant{fence: fence, sentAt: sentAt}
}

// Fence returns the fencing number to send with each order.
func (gr Grant) Fence() int64 { return gr.fence }

// Valid reports whether the holder may act at the time now. It must be checked immediately
// before each order is written, not once for several orders. A time before the append is
// not valid either, so that a clock that jumps back, for example by an hour, can't make a
// grant valid again.
func (gr Grant) Valid(now clock.Milli) bool {
	return gr.fence > 0 && now >= gr.sentAt && now < gr.sentAt+TTL
}
