package member

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// nextTarget returns the next neighbour to probe, in a fixed order specific to the
// instance. As in the paper, round robin bounds the time until each has been probed.
func (lst *List) nextTarget() (ident.Incarnation, bool) {
	if lst.nextIndex >= len(lst.order) {
		lst.order, lst.nextIndex = lst.Neighbours(), 0
	}
	for lst.nextIndex < len(lst.order) {
		who := lst.order[lst.nextIndex]
		lst.nextIndex++
		if _, waiting := lst.pending[who]; !waiting && lst.IsLive(who) {
			return who, true
		}
	}
	return "", false
}

// IsMesh reports whether every instance probes every other.
func (lst *List) IsMesh() bool { return len(lst.members) <= MeshSize }

// Neighbours returns the members that this instance probes: all of them, or Fanout in a
// larger system, in which the others are reached through neighbours of neighbours.
func (lst *List) Neighbours() []ident.Incarnation {
	var others []ident.Incarnation
	for who, mbr := range lst.members {
		if who != lst.self && mbr.update.Status != Dead {
			others = append(others, who)
		}
	}
	if len(others) > MeshSize {
		return rank(string(lst.self), others)[:Fanout]
	}
	return rank(string(lst.self), others)
}

// helpers returns the members that are asked to probe an unresponsive target.
func (lst *List) helpers(target ident.Incarnation) []ident.Incarnation {
	var picked []ident.Incarnation
	for _, who := range lst.Neighbours() {
		if who != target && lst.members[who].update.Status <= Leaving && len(picked) < IndirectProbes {
			picked = append(picked, who)
		}
	}
	return picked
}

// Owner returns the member that owns a name, by rendezvous hashing (D. Thaler and C.
// Ravishankar, 1998) over the members with status [Alive]: when a member ends, only the names
// that it owned move. It avoids duplicate work and is never trusted for safety.
func (lst *List) Owner(name string) ident.Incarnation {
	var serving []ident.Incarnation
	for who, mbr := range lst.members {
		if mbr.update.Status == Alive {
			serving = append(serving, who)
		}
	}
	if len(serving) == 0 {
		return lst.self
	}
	return rank(name, serving)[0]
}

// Owners returns the members with status [Alive] in the order in which they own a name: the
// second takes over when the first can't be reached. A member that has been replaced by an
// unknown incarnation counts for ReplacedFor. Members are ranked by weighted rendezvous hashing
// (J. Mosheyev and others, "Weighted distributed hash tables", 2005, in the form of the
// logarithmic method), so that a member with twice the capacity owns twice as many names.
// Members below weakFraction of the largest capacity come last, since a single name may
// take more work than they can do, and after them the blind ones.
//
// The ranking is by address and not by incarnation, each address once. When all instances
// restart at once, an instance knows the addresses within milliseconds and the new
// incarnations only a second later. With a ranking by incarnation, each of hundreds of
// instances considered itself the only owner until then, sent batches of its own items only
// and used up the capacity of the endpoints.
func (lst *List) Owners(name string) []ident.Incarnation {
	type scored struct {
		who   ident.Incarnation
		blind bool
		cores float64
		score float64
	}
	var serving []scored
	strongest := 0.0
	for _, mbr := range lst.byAddress() {
		serving = append(serving, scored{who: mbr.update.ID, blind: mbr.update.Blind, cores: mbr.capacity(), score: mbr.score(name)})
		strongest = max(strongest, mbr.capacity())
	}
	slices.SortFunc(serving, func(x, y scored) int {
		weakX, weakY := x.cores < weakFraction*strongest, y.cores < weakFraction*strongest
		switch {
		case x.blind != y.blind && x.blind:
			return 1
		case x.blind != y.blind:
			return -1
		case weakX && !weakY:
			return 1
		case weakY && !weakX:
			return -1
		case x.score != y.score:
			return cmp.Compare(y.score, x.score)
		}
		return compare(x.who, y.who)
	})
	ids := make([]ident.Incarnation, len(serving))
	for i, sc := range serving {
		ids[i] = sc.who
	}
	return ids
}

// byAddress returns the member with status [Alive] at each address: the one seen last where
// there are several, since the others have ended; or one that has been replaced by a process
// whose incarnation is not known yet.
func (lst *List) byAddress() map[string]*Member {
	byAddr := make(map[string]*Member, len(lst.members))
	for who, mbr := range lst.members {
		if mbr.update.Status != Alive && !mbr.replaced {
			continue
		}
		cur, ok := byAddr[who.Addr()]
		if !ok || mbr.supersedes(cur) {
			byAddr[who.Addr()] = mbr
		}
	}
	return byAddr
}

// supersedes reports whether a member is preferred over another one at the same address.
func (mbr *Member) supersedes(oth *Member) bool {
	if mbr.replaced != oth.replaced {
		return oth.replaced
	}
	if mbr.lastSeen != oth.lastSeen {
		return mbr.lastSeen > oth.lastSeen
	}
	return compare(mbr.ID(), oth.ID()) > 0
}

// weakFraction is the fraction of the largest capacity below which a member owns names only
// if no other member does.
const weakFraction = 0.5

// capacity returns the capacity that a member reported, 1 if it reported none.
func (mbr *Member) capacity() float64 {
	if mbr.update.Capacity <= 0 {
		return 1
	}
	return mbr.update.Capacity
}

// score is the member's rank for a name: its capacity divided by an exponential variate
// derived from the name and the member's address.
func (mbr *Member) score(name string) float64 {
	hash := xxhash.Sum64String(name + "\x00" + mbr.update.ID.Addr())
	even := (float64(hash>>11) + 0.5) / (1 << 53)
	return mbr.capacity() / -math.Log(even)
}

// Rank returns the instance's position among the members that are not dead, ordered by
// identity, so that they can take turns at a task that one of them should do.
func (lst *List) Rank() int {
	pos := 0
	for who, mbr := range lst.members {
		if mbr.update.Status != Dead && who < lst.self {
			pos++
		}
	}
	return pos
}

// MajoritySeen returns the latest time since which a majority of the members, including the
// instance itself, has been seen; false if those not declared dead are no majority. Members
// declared dead count towards the total unless their end is proved: a partitioned instance
// declares all others dead after some seconds, and without them it would form a majority alone
// and use outdated documents again.
func (lst *List) MajoritySeen(now clock.Milli) (since clock.Milli, ok bool) {
	all := 0
	var seen []clock.Milli
	for _, mbr := range lst.members {
		if mbr.update.Ended {
			continue
		}
		all++
		switch {
		case mbr.update.ID == lst.self:
			seen = append(seen, now)
		case mbr.update.Status != Dead:
			seen = append(seen, mbr.lastSeen)
		}
	}
	most := all/2 + 1
	if len(seen) < most {
		return 0, false
	}
	slices.Sort(seen)
	return seen[len(seen)-most], true
}

// isolatedAfter is how long an instance has no contact before it counts as isolated.
const isolatedAfter = 4 * Period

// IsIsolated reports whether this instance has lost contact: for isolatedAfter it has not seen a
// majority of the members or, above MeshSize, where most are heard of more rarely, any other member.
// The others have replaced it in its roles by then.
func (lst *List) IsIsolated(now clock.Milli) bool {
	if lst.IsMesh() {
		seen, ok := lst.MajoritySeen(now)
		return !ok || now-seen > isolatedAfter
	}
	last := clock.Milli(0)
	for who, mbr := range lst.members {
		if who != lst.self {
			last = max(last, mbr.lastSeen)
		}
	}
	return now-last > isolatedAfter
}

// IsMinority reports whether this instance is isolated, or has declared half of the members or more
// dead without a proof of their end. The others may have a majority and its roles then.
func (lst *List) IsMinority(now clock.Milli) bool {
	_, ok := lst.MajoritySeen(now)
	return !ok || lst.IsIsolated(now)
}

// rank orders members by the hash of the name and the member, highest first.
func rank(name string, ids []ident.Incarnation) []ident.Incarnation {
	type scored struct {
		who   ident.Incarnation
		score uint64
	}
	list := make([]scored, len(ids))
	for i, who := range ids {
		list[i] = scored{who: who, score: xxhash.Sum64String(name + "\x00" + string(who))}
	}
	slices.SortFunc(list, func(x, y scored) int {
		switch {
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		}
		return compare(x.who, y.who)
	})
	ranked := make([]ident.Incarnation, len(list))
	for i, sc := range list {
		ranked[i] = sc.who
	}
	return ranked
}

func compare(x, y ident.Incarnation) int { return strings.Compare(string(x), string(y)) }

// Lagging returns the members that may still use a state older than offset: those not dead
// that have not reported it, and those declared dead less than bound after their last sign
// of life, since they may not have noticed. If at least half of all members are
// unresponsive, they may be in contact with each other and continue together; they are
// returned for as long as they are remembered.
func (lst *List) Lagging(offset int64, bound, now clock.Milli) []ident.Incarnation {
	var late, lost []ident.Incarnation
	all := 0
	for who, mbr := range lst.members {
		dead := mbr.update.Status == Dead
		if !dead || !mbr.update.Ended {
			all++
		}
		switch {
		case mbr.update.Applied >= offset || mbr.update.Ended:
		case !dead || now-mbr.lastSeen < bound:
			late = append(late, who)
		default:
			lost = append(lost, who)
		}
	}
	if 2*len(lost) >= all {
		late = append(late, lost...)
	}
	slices.Sort(late)
	return late
}

// OwnerIn returns the member of a data centre that owns a name, or one of any data centre if
// that one has no member with status [Alive].
func (lst *List) OwnerIn(zone, name string) ident.Incarnation {
	var serving []ident.Incarnation
	for who, mbr := range lst.members {
		if mbr.update.Status == Alive && mbr.update.Zone == zone {
			serving = append(serving, who)
		}
	}
	if len(serving) == 0 {
		return lst.Owner(name)
	}
	return rank(name, serving)[0]
}
