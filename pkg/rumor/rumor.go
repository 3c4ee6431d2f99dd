package rumor

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
)

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind is what a fact speaks of.
type Kind uint8

// The kinds.
const (
	// EndedUnder: an endpoint ended under a request; the key names both.
	EndedUnder Kind = iota + 1 // ended_under
	// NamedRate: an endpoint, which the key names, takes so many requests a second.
	NamedRate // named_rate
)

// Fact is one fact as it travels.
type Fact struct {
	Kind    Kind   `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Value   string `cbor:"3,keyasint,omitempty"`
	Version uint64 `cbor:"4,keyasint"`
	// Age is how long ago the fact was learned by whoever learned it first.
	Age clock.Milli `cbor:"5,keyasint,omitempty"`
}

// Bounds are those of a kind of fact.
type Bounds struct {
	// Keep is how long a fact is kept after it was learned.
	Keep clock.Milli
	// Most is how many facts are kept. Beyond it the ones of least weight go, of
	// these the oldest.
	Most int
	// Weight tells how much a fact matters; nil for all alike.
	Weight func(key string) int
}

type name struct {
	kind Kind
	key  string
}

type entry struct {
	value   string
	version uint64
	at      clock.Milli
}

// Table has the facts that an instance knows. The zero value knows none, and keeps none
// before [Table.Bound]. It is not safe for concurrent use.
type Table struct {
	bounds  map[Kind]Bounds
	facts   map[name]entry
	counts  map[Kind]int
	digest  uint64
	evicted int
}

// Bound sets the bounds of a kind; facts of other kinds are not kept.
func (tbl *Table) Bound(kind Kind, bnd Bounds) {
	if tbl.bounds == nil {
		tbl.bounds, tbl.facts, tbl.counts = map[Kind]Bounds{}, map[name]entry{}, map[Kind]int{}
	}
	tbl.bounds[kind] = bnd
}

// Set notes what this instance has learned, and gives the fact to be passed on; false if the
// table says so already.
func (tbl *Table) Set(kind Kind, key, value string, now clock.Milli) (Fact, bool) {
	if old, ok := tbl.facts[name{kind, key}]; ok && old.value == value {
		return Fact{}, false
	}
	fct := tbl.Renew(kind, key, value, now)
	_, _, ok := tbl.Get(kind, key)
	return fct, ok
}

// Renew notes what this instance has learned, though the table may say so already, and gives the
// fact to be passed on: its age counts from now.
func (tbl *Table) Renew(kind Kind, key, value string, now clock.Milli) Fact {
	fct := Fact{Kind: kind, Key: key, Value: value, Version: tbl.facts[name{kind, key}].version + 1}
	tbl.Learn([]Fact{fct}, now)
	return fct
}

// Learn takes facts from another instance, and gives those that changed the table.
func (tbl *Table) Learn(list []Fact, now clock.Milli) []Fact {
	var fresh []Fact
	for _, fct := range list {
		if tbl.learn(fct, now) {
			fresh = append(fresh, fct)
		}
	}
	return fresh
}

func (tbl *Table) learn(fct Fact, now clock.Milli) bool {
	bnd, ok := tbl.bounds[fct.Kind]
	if !ok || fct.Age < 0 || fct.Age >= bnd.Keep {
		return false
	}
	nme := name{fct.Kind, fct.Key}
	old, known := tbl.facts[nme]
	if known && cmp.Or(cmp.Compare(fct.Version, old.version), cmp.Compare(fct.Value, old.value)) <= 0 {
		return false
	}
	if known {
		tbl.drop(nme)
	} else if tbl.counts[fct.Kind] >= bnd.Most && !tbl.evict(fct, bnd, now) {
		return false
	}
	tbl.facts[nme] = entry{value: fct.Value, version: fct.Version, at: now - fct.Age}
	tbl.counts[fct.Kind]++
	tbl.digest ^= digest(nme, tbl.facts[nme])
	return true
}

// evict makes place for a fact; false if it matters less than all others.
func (tbl *Table) evict(fct Fact, bnd Bounds, now clock.Milli) bool {
	least, lightest, oldest := name{fct.Kind, fct.Key}, bnd.weight(fct.Key), now-fct.Age
	for nme, ent := range tbl.facts {
		if nme.kind != fct.Kind {
			continue
		}
		if weight := bnd.weight(nme.key); weight < lightest || weight == lightest && ent.at < oldest {
			least, lightest, oldest = nme, weight, ent.at
		}
	}
	tbl.evicted++
	if least.key == fct.Key {
		return false
	}
	tbl.drop(least)
	return true
}

func (bnd Bounds) weight(key string) int {
	if bnd.Weight == nil {
		return 0
	}
	return bnd.Weight(key)
}

func (tbl *Table) drop(nme name) {
	tbl.digest ^= digest(nme, tbl.facts[nme])
	tbl.counts[nme.kind]--
	delete(tbl.facts, nme)
}

// Expire drops the facts that are too old, and tells whether there were any.
func (tbl *Table) Expire(now clock.Milli) bool {
	expired := false
	for nme, ent := range tbl.facts {
		if now-ent.at >= tbl.bounds[nme.kind].Keep {
			tbl.drop(nme)
			expired = true
		}
	}
	return expired
}

// Get gives the value of a fact and when it was learned; false if nothing is known.
func (tbl *Table) Get(kind Kind, key string) (value string, at clock.Milli, ok bool) {
	ent, ok := tbl.facts[name{kind, key}]
	return ent.value, ent.at, ok
}

// All gives the facts of a kind, in the order of their keys.
func (tbl *Table) All(kind Kind, now clock.Milli) []Fact {
	var list []Fact
	for nme, ent := range tbl.facts {
		if nme.kind == kind {
			list = append(list, Fact{Kind: kind, Key: nme.key, Value: ent.value, Version: ent.version, Age: now - ent.at})
		}
	}
	slices.SortFunc(list, func(x, y Fact) int { return cmp.Compare(x.Key, y.Key) })
	return list
}

// Some gives up to most facts of all kinds. Where there are more, half are those of the
// greatest weight, for a peer that knows nothing yet, and half are any: each exchange carries
// other ones.
func (tbl *Table) Some(most int, now clock.Milli) []Fact {
	list := make([]Fact, 0, len(tbl.facts))
	for nme, ent := range tbl.facts {
		list = append(list, Fact{Kind: nme.kind, Key: nme.key, Value: ent.value, Version: ent.version, Age: now - ent.at})
	}
	if len(list) <= most {
		return list
	}
	weight := func(fct Fact) int { return tbl.bounds[fct.Kind].weight(fct.Key) }
	slices.SortStableFunc(list, func(x, y Fact) int { return weight(y) - weight(x) })
	rest := list[most/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return list[:most]
}

// Len gives the number of facts.
func (tbl *Table) Len() int { return len(tbl.facts) }

// Evicted gives how many facts found no place so far.
func (tbl *Table) Evicted() int { return tbl.evicted }

// Digest names what the table says, whatever the ages; zero for nothing.
func (tbl *Table) Digest() uint64 { return tbl.digest }

// Digest names what a list of facts says, whatever the ages; zero for nothing.
func Digest(list []Fact) uint64 {
	sum := uint64(0)
	for _, fct := range list {
		sum ^= digest(name{fct.Kind, fct.Key}, entry{value: fct.Value, version: fct.Version})
	}
	return sum
}

func digest(nme name, ent entry) uint64 {
	sum := xxhash.New()
	var head [10]byte
	head[0], head[1] = byte(nme.kind), byte(len(nme.key))
	binary.BigEndian.PutUint64(head[2:], ent.version)
	_, _ = sum.Write(head[:])
	_, _ = sum.WriteString(nme.key)
	_, _ = sum.WriteString(ent.value)
	return sum.Sum64()
}
