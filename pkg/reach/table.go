package reach

import (
	"maps"
	"slices"

	"amaranthvalve/pkg/clock"
)

const (
	// blindAddrs is the number of addresses, without a connection to any in between, that can't be
	// reached by an instance that is blind. Few endpoints are down at once; if fewer are known, it is
	// all of them.
	blindAddrs = 4
	// blindAfter is how long an instance must be blind before others are told: several endpoints that end
	// at once look like that until the next connection.
	blindAfter = 100 * clock.Milli(1)
	// downCounts is how long an address that no instance reached says nothing about this one.
	downCounts = 3 * clock.Second
	// downFor is how long an address that no instance reached isn't connected through relays.
	downFor = clock.Second
	// checkInterval is the minimum time between two checks whether this instance is blind.
	checkInterval = 200 * clock.Milli(1)
	// blindHold is how long after its end other instances are told that this one is blind: its role
	// as coordinator should not change hands each time that a path fails and recovers.
	blindHold = 3 * clock.Second
	// pruneSlack is the number of addresses that may be remembered beyond twice the known ones.
	pruneSlack = 64
	// retention is how long an address is remembered that isn't used.
	retention = clock.Minute
)

// Strategy is how a connection to an address is opened.
type Strategy int

// The strategies.
const (
	// DirectFirst: directly, and through a relay if that fails or takes long.
	DirectFirst Strategy = iota
	// RelayFirst: through a relay, and directly if that fails.
	RelayFirst
	// DirectOnly: directly, since no instance reached the address lately.
	DirectOnly
)

// entry is what is known of an address.
type entry struct {
	downUntil clock.Milli
	usedAt    clock.Milli
}

// Table records how connections to addresses ended. The zero value knows of no failure. It is not
// safe for concurrent use.
type Table struct {
	known  int
	byAddr map[string]*entry
	// severed has the addresses that relays reach and this instance doesn't, failed those that failed
	// directly since the last direct connection to any address, without those that are down.
	severed map[string]struct{}
	failed  map[string]struct{}
	// down has the addresses that no instance reached, with when that was last seen.
	down map[string]clock.Milli
	// connectedAt is when any address was last connected directly.
	connectedAt clock.Milli
	// checkedAt is when a check was last due, blindSince when this instance became blind, blindEndedAt
	// when it was last blind for longer than a moment.
	checkedAt    clock.Milli
	blindSince   clock.Milli
	blindEndedAt clock.Milli
	probed       int
}

// SetKnown sets the number of addresses at which endpoints are known.
func (tbl *Table) SetKnown(addrs int) { tbl.known = addrs }

func (tbl *Table) entry(addr string) *entry {
	ent, ok := tbl.byAddr[addr]
	if ok {
		return ent
	}
	if tbl.byAddr == nil {
		tbl.byAddr, tbl.severed, tbl.failed, tbl.down = map[string]*entry{}, map[string]struct{}{}, map[string]struct{}{}, map[string]clock.Milli{}
	}
	ent = &entry{}
	tbl.byAddr[addr] = ent
	return ent
}

// Strategy returns how a connection to an address is to be opened.
func (tbl *Table) Strategy(addr string, now clock.Milli) Strategy {
	ent := tbl.entry(addr)
	ent.usedAt = now
	tbl.prune(now)
	_, severed := tbl.severed[addr]
	switch {
	case now < ent.downUntil:
		return DirectOnly
	case severed || tbl.Blind():
		return RelayFirst
	}
	return DirectFirst
}

// prune forgets the addresses that are not used any more, once there are many of them.
func (tbl *Table) prune(now clock.Milli) {
	if len(tbl.byAddr) <= 2*tbl.known+pruneSlack {
		return
	}
	for addr, ent := range tbl.byAddr {
		if now-ent.usedAt > retention {
			tbl.forget(addr)
		}
	}
}

func (tbl *Table) forget(addr string) {
	delete(tbl.byAddr, addr)
	delete(tbl.severed, addr)
	delete(tbl.failed, addr)
	delete(tbl.down, addr)
}

// RecordDirect records the result of a direct connection. It reports whether a path that had been
// blocked is open again.
func (tbl *Table) RecordDirect(addr string, res Result, now clock.Milli) (healed bool) {
	ent := tbl.entry(addr)
	switch res {
	case Canceled:
		return false
	case Connected:
		tbl.connectedAt = now
		_, healed = tbl.severed[addr]
		if tbl.Blind() {
			healed = true
			if now-tbl.blindSince >= blindAfter {
				tbl.blindEndedAt = now
			}
		}
		clear(tbl.failed)
		delete(tbl.down, addr)
		ent.downUntil = 0
		if healed {
			// What blocked one path blocked the others; those that still are blocked fail again.
			clear(tbl.severed)
		}
		return healed
	}
	maps.DeleteFunc(tbl.down, func(_ string, at clock.Milli) bool { return now-at > downCounts })
	if _, down := tbl.down[addr]; down {
		return false
	}
	blind := tbl.Blind()
	if tbl.failed[addr] = struct{}{}; !blind {
		tbl.blindSince = now
	}
	return false
}

// RecordRelayed records a connection through a relay after the direct one failed or took long;
// connected is unset if a relay that reaches other endpoints didn't reach this one.
func (tbl *Table) RecordRelayed(addr string, connected bool, now clock.Milli) {
	ent := tbl.entry(addr)
	if connected {
		tbl.severed[addr], ent.downUntil = struct{}{}, 0
		delete(tbl.down, addr)
		return
	}
	delete(tbl.severed, addr)
	delete(tbl.failed, addr)
	tbl.down[addr] = now
	ent.downUntil = now + downFor
}

// Blind reports whether this instance reaches no endpoint directly.
func (tbl *Table) Blind() bool {
	return len(tbl.failed) > 0 && len(tbl.failed) >= min(blindAddrs, tbl.known-len(tbl.down))
}

// Idle returns how long no address was connected directly.
func (tbl *Table) Idle(now clock.Milli) clock.Milli { return now - tbl.connectedAt }

// Advertised reports whether other instances are told that this one is blind, and whether they are told
// that it is recovering: it may relay connections again.
func (tbl *Table) Advertised(now clock.Milli) (blind, recovering bool) {
	if tbl.Blind() {
		return now-tbl.blindSince >= blindAfter || now-tbl.blindEndedAt < blindHold && tbl.blindEndedAt > 0, false
	}
	held := tbl.blindEndedAt > 0 && now-tbl.blindEndedAt < blindHold
	return held, held
}

// CheckDue reports whether other addresses should be connected now to tell whether this instance is
// blind, and counts the check as made.
func (tbl *Table) CheckDue(now clock.Milli) bool {
	if tbl.Blind() || now-tbl.checkedAt < checkInterval {
		return false
	}
	tbl.checkedAt = now
	return true
}

// NeedsProbe reports whether any path is blocked.
func (tbl *Table) NeedsProbe() bool { return len(tbl.severed) > 0 || tbl.Blind() }

// NextProbe returns an address that only relays reach, each in turn; false if there is none. It
// forgets those that are not used any more.
func (tbl *Table) NextProbe(now clock.Milli) (string, bool) {
	for addr := range tbl.severed {
		if ent := tbl.byAddr[addr]; now-ent.usedAt > retention {
			tbl.forget(addr)
		}
	}
	addrs := slices.Sorted(maps.Keys(tbl.severed))
	if len(addrs) == 0 {
		return "", false
	}
	tbl.probed++
	return addrs[tbl.probed%len(addrs)], true
}

// Severed returns the number of addresses that only relays reach.
func (tbl *Table) Severed() int { return len(tbl.severed) }
