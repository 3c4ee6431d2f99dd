package gossip

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
)

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of a fact.
type Kind uint8

// Kinds of facts.
const (
	// CrashedUnder: an endpoint crashed with a request in flight; the key identifies both.
	CrashedUnder Kind = iota + 1 // ended_under
	// DeclaredRate: the maximum request rate that an endpoint declares; the key is the endpoint.
	DeclaredRate // named_rate
	// DeclaredBrittle: the number of rejections within a second that an endpoint survives; the key is
	// the endpoint.
	DeclaredBrittle // brittle
	// Leaving: an endpoint has announced its end, or is gone; the key is the endpoint.
	Leaving // leaving
	// Cold: an endpoint is cold; the key is the endpoint, the value the time that it was cold for
	// when the fact was recorded.
	Cold // cold
	// ServedBuild: a pool has endpoints of a build; the key names both.
	ServedBuild // served_build
)

// Fact is the wire form of a fact.
type Fact struct {
	Kind    Kind   `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Value   string `cbor:"3,keyasint,omitempty"`
	Version uint64 `cbor:"4,keyasint"`
	// Age is the time since the instance that originated the fact recorded it.
	Age clock.Milli `cbor:"5,keyasint,omitempty"`
}

// Bounds limit the facts of one kind.
type Bounds struct {
	// Retention is the retention of a fact, counted from its origin.
	Retention clock.Milli
	// MaxFacts is the maximum number of facts. Beyond it the fact of the lowest weight is
	// evicted, the oldest of these first.
	MaxFacts int
	// Weight returns the weight of a fact; nil if all weigh the same.
	Weight func(key string) int
}

type factID struct {
	kind Kind
	key  string
}

type entry struct {
	value   string
	version uint64
	at      clock.Milli
}

// Table holds the facts known to an instance. The zero value is empty and accepts facts only of
// kinds set by [Table.Bound]. It is not safe for concurrent use.
type Table struct {
	bounds   map[Kind]Bounds
	facts    map[factID]entry
	counts   map[Kind]int
	rankings map[Kind]*ranking
	digest   uint64
	evicted  int
}

const (
	// rankedAtOnce is the number of facts that one ranking of a full table finds to evict, rankingLife how long it is
	// used: weights change, and ranking takes long.
	rankedAtOnce = 64
	rankingLife  = clock.Second
)

// rank is the place of a fact in the order of eviction.
type rank struct {
	weight int
	at     clock.Milli
}

func (rnk rank) compare(oth rank) int {
	return cmp.Or(cmp.Compare(rnk.weight, oth.weight), cmp.Compare(rnk.at, oth.at))
}

type rankedFact struct {
	rank
	fid factID
}

// ranking holds the facts of a kind that are below a rank, the least important one first, until a time.
type ranking struct {
	least []rankedFact
	below rank
	until clock.Milli
}

// insert adds a fact.
func (rkg *ranking) insert(rkd rankedFact) {
	if rkd.compare(rkg.below) < 0 {
		i, _ := slices.BinarySearchFunc(rkg.least, rkd.rank, func(oth rankedFact, rnk rank) int { return oth.compare(rnk) })
		rkg.least = slices.Insert(rkg.least, i, rkd)
	}
}

// Bound sets the bounds of a kind. Facts of kinds without bounds are ignored.
func (tbl *Table) Bound(kind Kind, bnd Bounds) {
	if tbl.bounds == nil {
		tbl.bounds, tbl.facts, tbl.counts, tbl.rankings = map[Kind]Bounds{}, map[factID]entry{}, map[Kind]int{}, map[Kind]*ranking{}
	}
	tbl.bounds[kind] = bnd
}

// Set records a fact that originates here and returns it for dissemination. It returns false if
// the table already has this value, or does not accept the fact.
func (tbl *Table) Set(kind Kind, key, value string, now clock.Milli) (Fact, bool) {
	if old, ok := tbl.facts[factID{kind, key}]; ok && old.value == value {
		return Fact{}, false
	}
	fct := tbl.Refresh(kind, key, value, now)
	_, _, ok := tbl.Get(kind, key)
	return fct, ok
}

// Refresh records a fact that originates here, even if the table already has this value, and
// returns it for dissemination. Its age counts from now.
func (tbl *Table) Refresh(kind Kind, key, value string, now clock.Milli) Fact {
	fct := Fact{Kind: kind, Key: key, Value: value, Version: tbl.facts[factID{kind, key}].version + 1}
	tbl.Learn([]Fact{fct}, now)
	return fct
}

// Amend changes the value of a known fact, which keeps its age, and returns it for dissemination. It returns false if
// the fact is unknown or has this value.
func (tbl *Table) Amend(kind Kind, key, value string, now clock.Milli) (Fact, bool) {
	old, ok := tbl.facts[factID{kind, key}]
	if !ok || old.value == value {
		return Fact{}, false
	}
	fct := Fact{Kind: kind, Key: key, Value: value, Version: old.version + 1, Age: max(now-old.at, 0)}
	return fct, len(tbl.Learn([]Fact{fct}, now)) > 0
}

// Has reports whether the table has a fact.
func (tbl *Table) Has(kind Kind, key string) bool {
	_, ok := tbl.facts[factID{kind, key}]
	return ok
}

// Learn merges facts from another instance and returns those that changed the table.
func (tbl *Table) Learn(list []Fact, now clock.Milli) []Fact {
	var fresh []Fact
	for _, fct := range list {
		if tbl.merge(fct, now) {
			fresh = append(fresh, fct)
		}
	}
	return fresh
}

// merge merges one fact and reports whether it changed the table.
func (tbl *Table) merge(fct Fact, now clock.Milli) bool {
	bnd, ok := tbl.bounds[fct.Kind]
	if !ok || fct.Age < 0 || fct.Age >= bnd.Retention {
		return false
	}
	fid := factID{fct.Kind, fct.Key}
	old, known := tbl.facts[fid]
	if known && cmp.Or(cmp.Compare(fct.Version, old.version), cmp.Compare(fct.Value, old.value)) <= 0 {
		return false
	}
	if known {
		tbl.drop(fid)
	} else if tbl.counts[fct.Kind] >= bnd.MaxFacts && !tbl.evict(fct, bnd, now) {
		return false
	}
	tbl.facts[fid] = entry{value: fct.Value, version: fct.Version, at: now - fct.Age}
	tbl.counts[fct.Kind]++
	if rkg := tbl.rankings[fct.Kind]; rkg != nil && now < rkg.until {
		rkg.insert(rankedFact{rank{bnd.weight(fct.Key), now - fct.Age}, fid})
	}
	tbl.digest ^= digest(fid, tbl.facts[fid])
	return true
}

// evict drops the least important fact to make room for a new one. It returns false if the new
// fact is the least important one itself.
func (tbl *Table) evict(fct Fact, bnd Bounds, now clock.Milli) bool {
	tbl.evicted++
	if tbl.counts[fct.Kind] == 0 {
		return false
	}
	fresh := rank{bnd.weight(fct.Key), now - fct.Age}
	rkg := tbl.rankings[fct.Kind]
	if rkg == nil || now >= rkg.until {
		rkg = tbl.rank(fct.Kind, bnd, now)
	}
	for {
		if len(rkg.least) == 0 {
			rkg = tbl.rank(fct.Kind, bnd, now)
		}
		least := rkg.least[0]
		if fresh.compare(least.rank) <= 0 {
			return false
		}
		rkg.least = rkg.least[1:]
		ent, found := tbl.facts[least.fid]
		current := rankedFact{rank{bnd.weight(least.fid.key), ent.at}, least.fid}
		if found && current == least {
			tbl.drop(least.fid)
			return true
		}
		if found {
			rkg.insert(current)
		}
	}
}

// rank ranks the facts of a kind.
func (tbl *Table) rank(kind Kind, bnd Bounds, now clock.Milli) *ranking {
	list := make([]rankedFact, 0, tbl.counts[kind])
	for fid, ent := range tbl.facts {
		if fid.kind == kind {
			list = append(list, rankedFact{rank{bnd.weight(fid.key), ent.at}, fid})
		}
	}
	slices.SortFunc(list, func(x, y rankedFact) int { return x.compare(y.rank) })
	count := min(len(list), rankedAtOnce)
	rkg := &ranking{least: slices.Clone(list[:count]), below: list[count-1].rank, until: now + rankingLife}
	tbl.rankings[kind] = rkg
	return rkg
}

func (bnd Bounds) weight(key string) int {
	if bnd.Weight == nil {
		return 0
	}
	return bnd.Weight(key)
}

func (tbl *Table) drop(fid factID) {
	tbl.digest ^= digest(fid, tbl.facts[fid])
	tbl.counts[fid.kind]--
	delete(tbl.facts, fid)
}

// Expire drops the facts that exceed their retention and reports whether there were any.
func (tbl *Table) Expire(now clock.Milli) bool {
	expired := false
	for fid, ent := range tbl.facts {
		if now-ent.at >= tbl.bounds[fid.kind].Retention {
			tbl.drop(fid)
			expired = true
		}
	}
	return expired
}

// Get returns the value of a fact and the time of its origin; false if the fact is unknown.
func (tbl *Table) Get(kind Kind, key string) (value string, at clock.Milli, ok bool) {
	ent, ok := tbl.facts[factID{kind, key}]
	return ent.value, ent.at, ok
}

// All returns the facts of a kind, sorted by key.
func (tbl *Table) All(kind Kind, now clock.Milli) []Fact {
	var list []Fact
	for fid, ent := range tbl.facts {
		if fid.kind == kind {
			list = append(list, Fact{Kind: kind, Key: fid.key, Value: ent.value, Version: ent.version, Age: now - ent.at})
		}
	}
	slices.SortFunc(list, func(x, y Fact) int { return cmp.Compare(x.Key, y.Key) })
	return list
}

// Sample returns up to most facts of all kinds. If there are more, half are those of the highest
// weight, for peers with an empty table, and half are a random sample, so that each exchange
// carries different ones.
func (tbl *Table) Sample(most int, now clock.Milli) []Fact {
	list := make([]Fact, 0, len(tbl.facts))
	for fid, ent := range tbl.facts {
		list = append(list, Fact{Kind: fid.kind, Key: fid.key, Value: ent.value, Version: ent.version, Age: now - ent.at})
	}
	if len(list) <= most {
		return list
	}
	weights := make([]int, len(list))
	for i, fct := range list {
		weights[i] = tbl.bounds[fct.Kind].weight(fct.Key)
	}
	sort.Sort(byWeight{list, weights})
	rest := list[most/2:]
	for i := range most - most/2 {
		j := i + rand.IntN(len(rest)-i)
		rest[i], rest[j] = rest[j], rest[i]
	}
	return list[:most]
}

// byWeight sorts facts by their weights, the highest first.
type byWeight struct {
	facts   []Fact
	weights []int
}

func (bwt byWeight) Len() int           { return len(bwt.facts) }
func (bwt byWeight) Less(i, j int) bool { return bwt.weights[i] > bwt.weights[j] }
func (bwt byWeight) Swap(i, j int) {
	bwt.facts[i], bwt.facts[j] = bwt.facts[j], bwt.facts[i]
	bwt.weights[i], bwt.weights[j] = bwt.weights[j], bwt.weights[i]
}

// Len returns the number of facts.
func (tbl *Table) Len() int { return len(tbl.facts) }

// Evicted returns the number of facts evicted or rejected because their kind was at its maximum.
func (tbl *Table) Evicted() int { return tbl.evicted }

// Digest returns a hash of the table's contents without the ages; zero if it is empty.
func (tbl *Table) Digest() uint64 { return tbl.digest }

// Digest returns a hash of a list of facts without the ages, comparable with that of a table;
// zero if the list is empty.
func Digest(list []Fact) uint64 {
	sum := uint64(0)
	for _, fct := range list {
		sum ^= digest(factID{fct.Kind, fct.Key}, entry{value: fct.Value, version: fct.Version})
	}
	return sum
}

func digest(fid factID, ent entry) uint64 {
	sum := xxhash.New()
	var head [10]byte
	head[0], head[1] = byte(fid.kind), byte(len(fid.key))
	binary.BigEndian.PutUint64(head[2:], ent.version)
	_, _ = sum.Write(head[:])
	_, _ = sum.WriteString(fid.key)
	_, _ = sum.WriteString(ent.value)
	return sum.Sum64()
}
