package claim

import (
	"strings"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// ticketPrefix is the prefix of keys that are bound to one incarnation.
const ticketPrefix = "tk-"

// TicketKey returns a new key that only the incarnation with this boot number will ever
// run. It needs no log, so that non-idempotent requests continue through an outage of the
// log. If the process ends before the log is available again, the outcome of the key stays
// unknown.
//
// As with any key, a caller must store a ticket's key before sending it. It must not switch
// to a ticket while an attempt with its first key may still be repeated: such a repeat
// after the outage would run the request a second time.
func TicketKey(boot string) string { return ticketPrefix + boot + "-" + ident.NewID() }

// TicketBoot returns the boot number that a key is bound to, if the key is a ticket.
func TicketBoot(key string) (boot string, ok bool) {
	rest, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return "", false
	}
	boot, _, ok = strings.Cut(rest, "-")
	return boot, ok
}

// maxTickets bounds the tickets of an incarnation: 30 MB at 461 bytes a key.
const maxTickets = 1 << 16

// Tickets is the ledger of the tickets of one incarnation. It exists only in the memory of
// that process; [Judge] decides from its states as from those of a [Ledger]. The zero value
// is empty. It is owned by the control loop.
type Tickets struct {
	keys map[string]State
}

// Find returns the state of a ticket.
func (tks *Tickets) Find(key string) State { return tks.keys[key] }

// Hold assigns a free ticket to an attempt. It returns false if the ticket is not free or
// the limit of tickets is reached.
func (tks *Tickets) Hold(ent Entry, now clock.Milli) bool {
	if tks.keys == nil {
		tks.keys = map[string]State{}
	}
	if tks.keys[ent.Key].phase != Free || len(tks.keys) >= maxTickets && !tks.forgetExpired(now) {
		return false
	}
	tks.keys[ent.Key] = State{
		phase: Held, attempt: ent.Attempt, holder: ent.Holder, digest: ent.Digest,
		expires: ent.Expires, forgetAt: now + MaxLife + Grace,
	}
	return true
}

// Release frees a ticket whose attempt ran nothing with an effect.
func (tks *Tickets) Release(key, attempt string) {
	if st := tks.keys[key]; st.phase == Held && st.attempt == attempt {
		st.phase = Free
		tks.keys[key] = st
	}
}

// Settle records the outcome of a ticket's request.
func (tks *Tickets) Settle(ent Entry) {
	st := tks.keys[ent.Key]
	if st.phase != Held || st.attempt != ent.Attempt {
		return
	}
	tks.keys[ent.Key] = st.settled(ent)
}

// forgetExpired removes expired tickets and reports whether there is capacity for another
// one.
func (tks *Tickets) forgetExpired(now clock.Milli) bool {
	for key, st := range tks.keys {
		if st.forgetAt <= now {
			delete(tks.keys, key)
		}
	}
	return len(tks.keys) < maxTickets
}
