package evac

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
)

// Position is the position of a read in the store's log. The zero value precedes all reads of a log
// with records.
type Position struct {
	Era int64 `cbor:"1,keyasint,omitempty"`
	// End is the end of the log.
	End int64 `cbor:"2,keyasint,omitempty"`
}

// Before reports whether a position precedes another one: it is of a lower era, or of the same one
// with a lower end.
func (pos Position) Before(oth Position) bool {
	return cmp.Or(cmp.Compare(pos.Era, oth.Era), cmp.Compare(pos.End, oth.End)) < 0
}

// Mark identifies a set: its position, and a digest of the names of its data centres, zero for none. Releases is
// the number of releases that the sender knows of: a data centre that was evacuated and released meanwhile leaves
// no other trace.
type Mark struct {
	Position
	Sum      uint64 `cbor:"3,keyasint,omitempty"`
	Releases int    `cbor:"4,keyasint,omitempty"`
}

// Outdates reports whether the set with this mark is later than the one with another mark and has other data
// centres, or more releases.
func (mrk Mark) Outdates(oth Mark) bool {
	return oth.Before(mrk.Position) && (oth.Sum != mrk.Sum || oth.Releases < mrk.Releases)
}

// Zone is a data centre with the time since an event, in milliseconds. Count is the number of its releases.
type Zone struct {
	Name  string      `cbor:"1,keyasint"`
	Age   clock.Milli `cbor:"2,keyasint,omitempty"`
	Count int         `cbor:"3,keyasint,omitempty"`
}

// Records are what one read of the store found, as instances send them to each other. Ages are
// relative, since instances have different clocks.
type Records struct {
	Position
	// Evacuated are the data centres with a record, Released those that were released before.
	Evacuated []Zone `cbor:"3,keyasint,omitempty"`
	Released  []Zone `cbor:"4,keyasint,omitempty"`
}

// Named returns the records of a read that found the given data centres.
func Named(pos Position, names ...string) Records {
	rec := Records{Position: pos}
	for _, name := range names {
		rec.Evacuated = append(rec.Evacuated, Zone{Name: name})
	}
	return rec
}

// Set is the set of evacuated data centres. The zero value is empty and precedes all others. Methods
// return changed copies, so that a set may be read while its successor is in use.
type Set struct {
	pos Position
	// zones has the data centres with a record, with the instant since which they are evacuated.
	zones map[string]clock.Milli
	// held has the data centres that were evacuated in the era before and have no record in this
	// one.
	held map[string]hold
	// released has the instant at which each data centre was last released.
	released map[string]clock.Milli
	// releases counts them by data centre.
	releases map[string]int
}

// hold is an evacuation without a record, which ends at an instant unless a record appears.
type hold struct {
	since, until clock.Milli
}

// Change is what a step did to one data centre.
type Change struct {
	Zone string
	// Released is set if the data centre was released, unset if it was evacuated.
	Released bool
	// Since is the instant since which it was evacuated.
	Since clock.Milli
}

// Apply returns the set after a read, and how it differs, sorted by name. A read at an earlier or at
// the same position changes nothing. settle is how long data centres stay evacuated that a new era
// lacks; now is an instant of the local clock, as are all instants of the set.
func (set Set) Apply(rec Records, settle, now clock.Milli) (Set, []Change) {
	if !set.pos.Before(rec.Position) {
		return set, nil
	}
	next := Set{pos: rec.Position, zones: map[string]clock.Milli{}, held: maps.Clone(set.held), released: maps.Clone(set.released), releases: maps.Clone(set.releases)}
	for _, zon := range rec.Evacuated {
		next.zones[zon.Name] = now - max(zon.Age, 0)
		if since, ok := set.since(zon.Name); ok {
			next.zones[zon.Name] = since
		}
		delete(next.held, zon.Name)
	}
	if rec.Era > set.pos.Era {
		for _, name := range set.names() {
			if _, ok := next.zones[name]; !ok {
				since, _ := set.since(name)
				next.hold(name, hold{since: since, until: now + settle})
			}
		}
	}
	for _, zon := range rec.Released {
		next.release(zon.Name, now-max(zon.Age, 0), zon.Count)
	}
	return next, set.changes(&next, now)
}

// Expire returns the set without the data centres that a new era lacks for too long, and which these
// are.
func (set Set) Expire(now clock.Milli) (Set, []Change) {
	if len(set.held) == 0 {
		return set, nil
	}
	next := set
	next.held, next.released, next.releases = maps.Clone(set.held), maps.Clone(set.released), maps.Clone(set.releases)
	maps.DeleteFunc(next.held, func(_ string, hld hold) bool { return now >= hld.until })
	return next, set.changes(&next, now)
}

// changes returns how a set differs from the one before, and records in it what was released.
func (set Set) changes(next *Set, now clock.Milli) []Change {
	var list []Change
	for _, name := range set.names() {
		if since, _ := set.since(name); !next.Has(name) {
			next.release(name, now, set.releases[name]+1)
			list = append(list, Change{Zone: name, Released: true, Since: since})
		}
	}
	for _, name := range next.names() {
		if since, _ := next.since(name); !set.Has(name) {
			list = append(list, Change{Zone: name, Since: since})
		}
	}
	slices.SortFunc(list, func(x, y Change) int { return cmp.Compare(x.Zone, y.Zone) })
	return list
}

func (set *Set) hold(name string, hld hold) {
	if set.held == nil {
		set.held = map[string]hold{}
	}
	set.held[name] = hld
}

// release records a release, unless a later one is known, and how many there were at least.
func (set *Set) release(name string, at clock.Milli, count int) {
	if set.released == nil {
		set.released = map[string]clock.Milli{}
	}
	if set.releases == nil {
		set.releases = map[string]int{}
	}
	set.releases[name] = max(set.releases[name], count)
	if last, ok := set.released[name]; !ok || at > last {
		set.released[name] = at
	}
}

// since returns the instant since which a data centre is evacuated; false if it is not.
func (set Set) since(name string) (clock.Milli, bool) {
	if since, ok := set.zones[name]; ok {
		return since, true
	}
	hld, ok := set.held[name]
	return hld.since, ok
}

// names returns the evacuated data centres, sorted.
func (set Set) names() []string {
	list := slices.AppendSeq(slices.Collect(maps.Keys(set.zones)), maps.Keys(set.held))
	slices.Sort(list)
	return list
}

// Has reports whether a data centre is evacuated.
func (set Set) Has(zone string) bool {
	_, ok := set.since(zone)
	return ok
}

// Len returns the number of evacuated data centres.
func (set Set) Len() int { return len(set.zones) + len(set.held) }

// Position returns the position of the read that the set comes from.
func (set Set) Position() Position { return set.pos }

// Released returns the instant at which a data centre was last released; false if it never was, as
// far as is known.
func (set Set) Released(zone string) (at clock.Milli, ok bool) {
	at, ok = set.released[zone]
	return at, ok
}

// Zones returns the evacuated data centres with the time since when, sorted by name.
func (set Set) Zones(now clock.Milli) []Zone {
	var list []Zone
	for _, name := range set.names() {
		since, _ := set.since(name)
		list = append(list, Zone{Name: name, Age: now - since})
	}
	return list
}

// Mark returns what identifies the set. Data centres without a record are left out: each instance
// holds these by itself.
func (set Set) Mark() Mark {
	mrk := Mark{Position: set.pos}
	for _, count := range set.releases {
		mrk.Releases += count
	}
	if len(set.zones) == 0 {
		return mrk
	}
	sum := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(set.zones)) {
		_, _ = sum.WriteString(name)
		_, _ = sum.WriteString("\x00")
	}
	mrk.Sum = sum.Sum64()
	return mrk
}

// Lacks reports whether another instance, whose set has the given mark, has a later one with other
// data centres or more releases, so that it must be fetched.
func (set Set) Lacks(mrk Mark) bool { return mrk.Outdates(set.Mark()) }

// Advance returns the set at the later position of one with the same data centres and no more releases. It
// changes nothing if the marks differ otherwise, or if data centres are held.
func (set Set) Advance(mrk Mark) Set {
	if own := set.Mark(); set.pos.Before(mrk.Position) && own.Sum == mrk.Sum && own.Releases >= mrk.Releases && (mrk.Era == set.pos.Era || len(set.held) == 0) {
		set.pos = mrk.Position
	}
	return set
}

// Records returns what another instance needs to have the same set.
func (set Set) Records(now clock.Milli) Records {
	rec := Records{Position: set.pos}
	for _, name := range slices.Sorted(maps.Keys(set.zones)) {
		rec.Evacuated = append(rec.Evacuated, Zone{Name: name, Age: now - set.zones[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(set.released)) {
		rec.Released = append(rec.Released, Zone{Name: name, Age: now - set.released[name], Count: set.releases[name]})
	}
	return rec
}
