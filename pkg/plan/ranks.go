package plan

import (
	"cmp"
	"slices"
)

// urgency orders requests: by the workspace's priority, and among those of equal
// workspaces by their route's. Where a workspace has none the route's stands in for it.
//
// A workspace's priority goes first, but most documents give all workspaces the same.
// Taken alone it would make all kinds of request equally urgent, and in an overload
// the drafts that can wait would keep summaries waiting that a caller is waiting for.
type urgency struct {
	workspace int
	route     int
}

func (urg urgency) compare(oth urgency) int {
	return cmp.Or(cmp.Compare(urg.workspace, oth.workspace), cmp.Compare(urg.route, oth.route))
}

func urgencyOf(rte *Route, wsp *Workspace) urgency {
	urg := urgency{workspace: rte.raw.Priority, route: rte.raw.Priority}
	if wsp != nil && wsp.ranked {
		urg.workspace = wsp.priority
	}
	return urg
}

// rank notes the urgencies that requests can have, the most urgent first.
func (pln *Plan) rank() {
	for _, rte := range pln.routes {
		pln.urgencies = append(pln.urgencies, urgencyOf(rte, nil))
		for _, wsp := range pln.tokens {
			pln.urgencies = append(pln.urgencies, urgencyOf(rte, wsp))
		}
	}
	slices.SortFunc(pln.urgencies, urgency.compare)
	pln.urgencies = slices.Compact(pln.urgencies)
}

// Rank gives how urgent a workspace's requests on a route are among all that the plan
// allows: 0 first, and one more for each step. The workspace is nil on open routes.
func (pln *Plan) Rank(rte *Route, wsp *Workspace) int {
	at, _ := slices.BinarySearchFunc(pln.urgencies, urgencyOf(rte, wsp), urgency.compare)
	return at
}
