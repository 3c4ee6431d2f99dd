package claim

import (
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// ticketPrefix begins a key that is bound to one incarnation.
const ticketPrefix = "tk-"

// TicketKey makes a key that only the incarnation with this boot number will
// ever run. No log is needed for that, so that non-idempotent requests go on
// through an outage of the log; the price is that when the process ends before
// the log is back, what became of the key is unknown for good.
//
// A caller must keep a ticket's key before it sends it, as with any key. It must
// not turn to a ticket behind the back of whoever holds the first key: a repeat
// of that one, after the outage, would run the request a second time.
func TicketKey(boot string) string { return ticketPrefix + boot + "-" + ident.NewID() }

// TicketBoot gives the boot number that a key is bound to, if it is a ticket.
func TicketBoot(key string) (boot string, ok bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return "", false
	}
	boot, _, ok = strings.Cut(rest, "-")
	return boot, ok
}

// maxTickets bounds a desk. At 461 bytes a key it is 30 MB.
const maxTickets = 1 << 16

// Desk is the ledger of the tickets of one incarnation. It lives in that
// process's memory and nowhere else; [Judge] decides by its states as it does by
// the ledger's. The zero value is empty. The control thread owns it.
type Desk struct {
	keys map[string]State
}

// Find gives what is known of a ticket.
func (dsk *Desk) Find(key string) State { return dsk.keys[key] }

// Hold gives a free ticket to an attempt; false when the desk is full or the
// ticket is not free.
func (dsk *Desk) Hold(ent Entry, now clock.Milli) bool {
	if dsk.keys == nil {
		dsk.keys = map[string]State{}
	}
	if dsk.keys[ent.Key].phase != Free || len(dsk.keys) >= maxTickets && !dsk.forget(now) {
		return false
	}
	dsk.keys[ent.Key] = State{
		phase: Held, attempt: ent.Attempt, holder: ent.Holder, digest: ent.Digest,
		expires: ent.Expires, forget: now + MaxLife + Grace,
	}
	return true
}

// Release frees a ticket whose attempt ran nothing with an effect.
func (dsk *Desk) Release(key, attempt string) {
	if st := dsk.keys[key]; st.phase == Held && st.attempt == attempt {
		st.phase = Free
		dsk.keys[key] = st
	}
}

// Settle notes what became of a ticket's request.
func (dsk *Desk) Settle(ent Entry) {
	st := dsk.keys[ent.Key]
	if st.phase != Held || st.attempt != ent.Attempt {
		return
	}
	dsk.keys[ent.Key] = st.settled(ent)
}

// forget makes room and tells whether there is any.
func (dsk *Desk) forget(now clock.Milli) bool {
	for key, st := range dsk.keys {
		if st.forget <= now {
			delete(dsk.keys, key)
		}
	}
	return len(dsk.keys) < maxTickets
}
