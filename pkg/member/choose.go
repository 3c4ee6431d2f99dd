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

// nextTarget goes round the neighbours in a fixed, instance-specific order,
// which bounds the time until each has been probed (the paper's round robin).
func (lst *List) nextTarget() (ident.Incarnation, bool) {
	if lst.turn >= len(lst.order) {
		lst.order, lst.turn = lst.Neighbours(), 0
	}
	for lst.turn < len(lst.order) {
		who := lst.order[lst.turn]
		lst.turn++
		if _, waiting := lst.pending[who]; !waiting && lst.IsLive(who) {
			return who, true
		}
	}
	return "", false
}

// IsMesh tells whether everybody is a neighbour of everybody.
func (lst *List) IsMesh() bool { return len(lst.members) <= MeshSize }

// Neighbours gives those whom this instance probes: everybody, or Fanout of them in a larger
// system, in which all are reached from each by neighbours of neighbours.
func (lst *List) Neighbours() []ident.Incarnation {
	var others []ident.Incarnation
	for who, mbr := range lst.members {
		if who != lst.self && mbr.news.Status != Dead {
			others = append(others, who)
		}
	}
	if len(others) > MeshSize {
		return rank(string(lst.self), others)[:Fanout]
	}
	return rank(string(lst.self), others)
}

// helpers picks those who probe a silent member for us.
func (lst *List) helpers(target ident.Incarnation) []ident.Incarnation {
	var picked []ident.Incarnation
	for _, who := range lst.Neighbours() {
		if who != target && lst.members[who].news.Status <= Leaving && len(picked) < IndirectProbes {
			picked = append(picked, who)
		}
	}
	return picked
}

// Home gives the live member that looks after a name, by rendezvous hashing
// (D. Thaler and C. Ravishankar, 1998): a member that goes moves only what it
// looked after. It spares doubled work and is never trusted for safety.
func (lst *List) Home(name string) ident.Incarnation {
	var serving []ident.Incarnation
	for who, mbr := range lst.members {
		if mbr.news.Status == Alive {
			serving = append(serving, who)
		}
	}
	if len(serving) == 0 {
		return lst.self
	}
	return rank(name, serving)[0]
}

// Homes lists the live members in the order in which they look after a name: the
// second takes over when the first can't be reached. Members are ranked by weighted
// rendezvous hashing (J. Mosheyev and others, "Weighted distributed hash tables", 2005,
// in the form of the logarithmic method), so that one of twice the capacity looks after
// twice as many names; those below weakBelow of the strongest come last, for a single
// name may be as much work as they can do at all.
//
// What is ranked is the address and not the incarnation, each address once. When all
// start again at once, an instance knows the addresses within milliseconds and the new
// incarnations only a second later. Ranked by incarnation, it was alone until then: each
// of hundreds had pieces made for itself and filled the endpoints for all others.
func (lst *List) Homes(name string) []ident.Incarnation {
	type scored struct {
		who   ident.Incarnation
		cores float64
		score float64
	}
	var serving []scored
	strongest := 0.0
	for _, mbr := range lst.latest() {
		serving = append(serving, scored{who: mbr.news.Who, cores: mbr.capacity(), score: mbr.score(name)})
		strongest = max(strongest, mbr.capacity())
	}
	slices.SortFunc(serving, func(x, y scored) int {
		weakX, weakY := x.cores < weakBelow*strongest, y.cores < weakBelow*strongest
		switch {
		case weakX && !weakY:
			return 1
		case weakY && !weakX:
			return -1
		case x.score != y.score:
			return cmp.Compare(y.score, x.score)
		}
		return compare(x.who, y.who)
	})
	whos := make([]ident.Incarnation, len(serving))
	for i, sc := range serving {
		whos[i] = sc.who
	}
	return whos
}

// latest gives the live member at each address: of several the one that was heard of
// last, for the others are of processes that have ended; or the one that was succeeded by a
// process whose name isn't known yet.
func (lst *List) latest() map[string]*Member {
	byAddr := make(map[string]*Member, len(lst.members))
	for who, mbr := range lst.members {
		if mbr.news.Status != Alive && !mbr.succeeded {
			continue
		}
		cur, ok := byAddr[who.Addr()]
		if !ok || mbr.after(cur) {
			byAddr[who.Addr()] = mbr
		}
	}
	return byAddr
}

// after tells whether a member is rather at an address than another one.
func (mbr *Member) after(oth *Member) bool {
	if mbr.succeeded != oth.succeeded {
		return oth.succeeded
	}
	if mbr.heard != oth.heard {
		return mbr.heard > oth.heard
	}
	return compare(mbr.Who(), oth.Who()) > 0
}

// weakBelow is the part of the strongest member's capacity below which a member looks
// after names only when nobody else does.
const weakBelow = 0.5

// capacity gives what a member said of its strength; one that says nothing counts 1.
func (mbr *Member) capacity() float64 {
	if mbr.news.Capacity <= 0 {
		return 1
	}
	return mbr.news.Capacity
}

// score is the member's rank for a name: its capacity over an exponential draw that
// only the name and the member's address decide.
func (mbr *Member) score(name string) float64 {
	hash := xxhash.Sum64String(name + "\x00" + mbr.news.Who.Addr())
	even := (float64(hash>>11) + 0.5) / (1 << 53)
	return mbr.capacity() / -math.Log(even)
}

// Rank gives the instance's place among the members in the order of their names,
// so that they can take turns at what one of them should do.
func (lst *List) Rank() int {
	place := 0
	for who, mbr := range lst.members {
		if mbr.news.Status != Dead && who < lst.self {
			place++
		}
	}
	return place
}

// MostHeard gives an instant since which more than half of the members, the
// instance itself included, have been heard of; false if not so many ever were.
// Those taken for dead count among all unless their end is proved: an instance
// that is cut off takes everybody else for dead after some seconds, and were the
// dead left out it would find itself to be most of the instances and go by old
// documents again.
func (lst *List) MostHeard(now clock.Milli) (since clock.Milli, ok bool) {
	all := 0
	var heard []clock.Milli
	for _, mbr := range lst.members {
		if mbr.news.Gone {
			continue
		}
		all++
		switch {
		case mbr.news.Who == lst.self:
			heard = append(heard, now)
		case mbr.news.Status != Dead:
			heard = append(heard, mbr.heard)
		}
	}
	most := all/2 + 1
	if len(heard) < most {
		return 0, false
	}
	slices.Sort(heard)
	return heard[len(heard)-most], true
}

// rank orders members by the hash of name and member, highest first.
func rank(name string, whos []ident.Incarnation) []ident.Incarnation {
	type scored struct {
		who   ident.Incarnation
		score uint64
	}
	list := make([]scored, len(whos))
	for i, who := range whos {
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

// Behind lists the members that may still go by a state older than offset:
// those not dead which have not reported it, and those taken for dead less
// than bound after their last sign of life, for they may not know it. Are more
// than half of all silent, then they may be in touch with one another and go on
// together; they are listed for as long as they are remembered.
func (lst *List) Behind(offset int64, bound, now clock.Milli) []ident.Incarnation {
	var late, lost []ident.Incarnation
	all := 0
	for who, mbr := range lst.members {
		dead := mbr.news.Status == Dead
		if !dead || !mbr.news.Gone {
			all++
		}
		switch {
		case mbr.news.Applied >= offset || mbr.news.Gone:
		case !dead || now-mbr.heard < bound:
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

// HomeIn gives the live member of a zone that looks after a name, or one of any
// zone when the zone has none.
func (lst *List) HomeIn(zone, name string) ident.Incarnation {
	var serving []ident.Incarnation
	for who, mbr := range lst.members {
		if mbr.news.Status == Alive && mbr.news.Zone == zone {
			serving = append(serving, who)
		}
	}
	if len(serving) == 0 {
		return lst.Home(name)
	}
	return rank(name, serving)[0]
}
