package admit

import (
	"math"
	"math/bits"

	"amaranthvalve/pkg/clock"
)

//go:generate go tool stringer -type=Class -linecomment -output=class_string.go

const (
	// starvedShare is the share of the service of all requests below which a group is starved.
	// Operators were promised a quarter, and half is the aim. The counts of an instance lag behind, and
	// what is admitted as the most urgent is not always served: with 0.5, a route whose last pool was
	// overloaded twice was served 0.36 to 0.5 times as often as all.
	starvedShare = 0.6
	// recentHalfLife is the half-life of the counts in milliseconds. With 195 instances an instance
	// sees a request of a route every four seconds, and must remember some before it.
	recentHalfLife = 20_000.0
	// priorRequests is the number of requests, served as often as all, that are added to the counts of
	// a group. Without them a single refusal would make the requests of a rare group urgent for minutes,
	// and with 195 instances all groups are rare.
	priorRequests = 0.5
	// maxRecent bounds the number of groups whose counts are kept, 200 bytes each.
	maxRecent = 1024
)

// Class is what the requests of a group have in common.
type Class int

// The classes.
const (
	NoClass   Class = iota // none
	Route                  // route
	Workspace              // workspace
	Size                   // size
)

// Group is a group of requests whose service is compared with that of all.
type Group struct {
	Class Class
	Route string
	// Workspace is set in groups of a workspace, Bits in groups of a size: the number of bits of the
	// number of items.
	Workspace string
	Bits      int
}

// Groups returns the groups of a request.
func Groups(route, workspace string, items int) []Group {
	groups := []Group{{Class: Route, Route: route}, {Class: Size, Route: route, Bits: bits.Len(uint(max(items, 0)))}}
	if workspace != "" {
		groups = append(groups, Group{Class: Workspace, Workspace: workspace})
	}
	return groups
}

// counts are the requests of a group, decayed.
type counts struct {
	at       clock.Milli
	arrived  float64
	admitted float64
}

func (cnt *counts) decay(now clock.Milli) {
	keep := math.Exp2(-float64(max(now-cnt.at, 0)) / recentHalfLife)
	cnt.arrived, cnt.admitted, cnt.at = cnt.arrived*keep, cnt.admitted*keep, max(now, cnt.at)
}

// Recent counts the requests of the last seconds by group, and how many of them were admitted. The
// zero value has no counts. It is not safe for concurrent use.
type Recent struct {
	all    counts
	groups map[Group]*counts
}

// Starved returns the class by which a request with the given groups is starved: a group of that
// class was admitted less than starvedShare times as often as all requests. It returns NoClass if there is none.
func (rct *Recent) Starved(groups []Group, now clock.Milli) Class {
	rct.all.decay(now)
	usual := min(rct.all.admitted/max(rct.all.arrived, 1), 1)
	for _, grp := range groups {
		cnt, ok := rct.groups[grp]
		if !ok {
			continue
		}
		cnt.decay(now)
		if cnt.admitted+priorRequests*usual < starvedShare*usual*(cnt.arrived+priorRequests) {
			return grp.Class
		}
	}
	return NoClass
}

// Record counts a decision. A request that returns after a refusal has been counted as arrived
// before, possibly by another instance.
func (rct *Recent) Record(groups []Group, returned, admitted bool, now clock.Milli) {
	arrivals, admissions := 1.0, 0.0
	if returned {
		arrivals = 0
	}
	if admitted {
		admissions = 1
	}
	rct.add(groups, arrivals, admissions, now)
}

// Revoke takes back the count of an admission: the request was refused later.
func (rct *Recent) Revoke(groups []Group, now clock.Milli) { rct.add(groups, 0, -1, now) }

func (rct *Recent) add(groups []Group, arrivals, admissions float64, now clock.Milli) {
	if rct.groups == nil || len(rct.groups) > maxRecent {
		rct.groups = map[Group]*counts{}
	}
	change := func(cnt *counts) {
		cnt.decay(now)
		cnt.arrived += arrivals
		cnt.admitted = max(cnt.admitted+admissions, 0)
	}
	change(&rct.all)
	for _, grp := range groups {
		if rct.groups[grp] == nil {
			rct.groups[grp] = &counts{at: now}
		}
		change(rct.groups[grp])
	}
}
