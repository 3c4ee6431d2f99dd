package plan

import (
	"cmp"
	"slices"
)

// urgency orders requests by the priority of the workspace, then by that of the route.
// The priority of the route replaces that of a workspace without one.
//
// Most documents give all workspaces the same priority. By that alone all requests would
// be equally urgent, and in an overload deferrable drafts would delay summaries that a
// caller is waiting for.
type urgency struct {
	workspace int
	route     int
}

func (urg urgency) compare(oth urgency) int {
	return cmp.Or(cmp.Compare(urg.workspace, oth.workspace), cmp.Compare(urg.route, oth.route))
}

func urgencyOf(rte *Route, wsp *Workspace) urgency {
	urg := urgency{workspace: rte.draft.Priority, route: rte.draft.Priority}
	if wsp != nil && wsp.hasPriority {
		urg.workspace = wsp.priority
	}
	return urg
}

// collectUrgencies collects the distinct urgencies of requests, the most urgent first.
func (pln *Plan) collectUrgencies() {
	for _, rte := range pln.routes {
		pln.urgencies = append(pln.urgencies, urgencyOf(rte, nil))
		for _, wsp := range pln.tokens {
			pln.urgencies = append(pln.urgencies, urgencyOf(rte, wsp))
		}
	}
	slices.SortFunc(pln.urgencies, urgency.compare)
	pln.urgencies = slices.Compact(pln.urgencies)
}

// collectRanked collects the routes that share a stage pool with a route of another priority.
func (pln *Plan) collectRanked() {
	pln.ranked = map[*Route]bool{}
	byPool := map[string][]*Route{}
	for _, rte := range pln.routes {
		for _, stg := range rte.Stages() {
			byPool[stg.Pool] = append(byPool[stg.Pool], rte)
		}
	}
	for _, list := range byPool {
		if !slices.ContainsFunc(list, func(rte *Route) bool { return rte.draft.Priority != list[0].draft.Priority }) {
			continue
		}
		for _, rte := range list {
			pln.ranked[rte] = true
		}
	}
}

// Ranked reports whether a route shares a stage pool with a route of another priority: its requests
// are then admitted by rank.
func (pln *Plan) Ranked(rte *Route) bool { return pln.ranked[rte] }

// Rank returns the position of a workspace's requests on a route in the order of
// urgency; 0 is the most urgent. The workspace is nil on open routes.
func (pln *Plan) Rank(rte *Route, wsp *Workspace) int {
	at, _ := slices.BinarySearchFunc(pln.urgencies, urgencyOf(rte, wsp), urgency.compare)
	return at
}
