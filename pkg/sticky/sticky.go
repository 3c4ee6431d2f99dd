package sticky

import (
	"crypto/sha256"
	"encoding/binary"

	"amaranthvalve/pkg/clock"
)

const (
	// Retention is how long a binding is kept after it was last recorded. Callers wait a minute for an
	// answer at most, and may then try once more.
	Retention = 2 * clock.Minute
	// MaxBindings bounds the bindings of a table, some 100 B each. The oldest are dropped first.
	MaxBindings = 64 << 10
)

// Key identifies a stream by one of its names.
type Key [16]byte

// KeyOf returns the key of a name that consists of several parts.
func KeyOf(parts ...string) Key {
	sum := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = sum.Write(size[:])
		_, _ = sum.Write([]byte(part))
	}
	return Key(sum.Sum(nil)[:len(Key{})])
}

// Binding is the build at which a stream began. Builds are compared for equality only; an empty one is
// unknown or contradictory.
type Binding struct {
	Key   Key    `cbor:"1,keyasint"`
	Build string `cbor:"2,keyasint,omitempty"`
	// Age is the time since the binding was last recorded.
	Age clock.Milli `cbor:"3,keyasint,omitempty"`
}

type entry struct {
	build string
	at    clock.Milli
}

// record is an entry in the order of recording.
type record struct {
	key Key
	at  clock.Milli
}

// Table has the bindings of streams. The zero value is empty. It is not safe for concurrent use.
type Table struct {
	entries map[Key]entry
	// order has a record for each time that an entry was recorded, oldest first.
	order []record
}

// Add records a binding. If the key is bound to another build, it is bound to none from then on.
func (tbl *Table) Add(bnd Binding, now clock.Milli) {
	at := now - max(bnd.Age, 0)
	if now-at >= Retention {
		return
	}
	if tbl.entries == nil {
		tbl.entries = map[Key]entry{}
	}
	cur, known := tbl.entries[bnd.Key]
	if known = known && now-cur.at < Retention; !known {
		cur = entry{at: at}
	}
	if known && cur.build != bnd.Build {
		bnd.Build = ""
	}
	tbl.entries[bnd.Key] = entry{build: bnd.Build, at: max(cur.at, at)}
	if !known || at > cur.at {
		tbl.order = append(tbl.order, record{key: bnd.Key, at: at})
	}
	tbl.evict(now)
}

// evict drops the bindings that have expired, and the oldest beyond MaxBindings.
func (tbl *Table) evict(now clock.Milli) {
	for len(tbl.order) > 0 {
		rec := tbl.order[0]
		ent, known := tbl.entries[rec.key]
		switch {
		case !known || ent.at > rec.at:
		case now-rec.at >= Retention || len(tbl.entries) > MaxBindings:
			delete(tbl.entries, rec.key)
		default:
			return
		}
		tbl.order = tbl.order[1:]
	}
}

// Find returns the build to which a key is bound; false if it is bound to none.
func (tbl *Table) Find(key Key, now clock.Milli) (build string, ok bool) {
	ent, known := tbl.entries[key]
	if !known || now-ent.at >= Retention {
		return "", false
	}
	return ent.build, ent.build != ""
}

// Knows reports whether the table has a binding for a key, be it to no build.
func (tbl *Table) Knows(key Key, now clock.Milli) bool {
	ent, known := tbl.entries[key]
	return known && now-ent.at < Retention
}

// All returns all bindings.
func (tbl *Table) All(now clock.Milli) []Binding {
	list := make([]Binding, 0, len(tbl.entries))
	for key, ent := range tbl.entries {
		if now-ent.at < Retention {
			list = append(list, Binding{Key: key, Build: ent.build, Age: now - ent.at})
		}
	}
	return list
}
