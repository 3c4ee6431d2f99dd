package node

import (
	"cmp"
	"net/http"
	"slices"

	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/pace"
)

// Reasons why an instance is not ready, as the operators' page lists them.
const (
	reasonNoDocuments = "no documents are known yet"
	reasonShutdown    = "a planned shutdown is in progress"
	reasonStale       = "the documents here may be out of date, and another instance has newer ones"
)

// serveStatus answers `amv status` on the metrics address, in the format that instances of
// the product's own protocol use.
func (nod *Node) serveStatus(wrt http.ResponseWriter, _ *http.Request) {
	wire.WriteJSON(wrt, http.StatusOK, nod.status(nod.clk.Now()))
}

func (nod *Node) status(now clock.Milli) wire.Status {
	vw := nod.ctl.View()
	st := wire.Status{
		Instance: string(nod.ctl.Self()), Zone: nod.set.Zone(), Ready: vw.Ready(now), Applied: vw.Offset(), LogAgeMs: vw.Age(now),
		Members: []wire.StatusMember{}, Services: []wire.StatusService{}, Endpoints: []wire.StatusEndpoint{},
		Leases: []wire.StatusLease{}, Refusals: nod.mtr.Refusals(),
	}
	pln := vw.Plan()
	switch {
	case pln == nil:
		st.NotReadyReason, st.LogAgeMs = reasonNoDocuments, 0
	case vw.Leaving():
		st.NotReadyReason = reasonShutdown
	case !st.Ready:
		st.NotReadyReason = reasonStale
	}
	for _, mbr := range vw.Members() {
		st.Members = append(st.Members, wire.StatusMember{
			Instance: string(mbr.ID()), Zone: mbr.Zone(), Status: mbr.Status().String(), Applied: mbr.Applied(), Load: mbr.Load(),
		})
	}
	for _, ep := range vw.Endpoints() {
		ste := wire.StatusEndpoint{Pool: ep.Pool, ID: string(ep.ID), Addr: ep.Addr, State: "ready"}
		if until, ok := vw.ColdUntil(ep.ID); ok {
			ste.State, ste.ColdLeftMs = "cold", max(int64(until-now), 0)
		}
		if pct := nod.pools.Pace(ep.Pool, ep.ID); pct != pace.Usual {
			ste.PacePct = pct
		}
		switch {
		case ep.Leaving:
			ste.State = "leaving"
		case ep.Withheld:
			ste.State = "evacuated"
		}
		st.Endpoints = append(st.Endpoints, ste)
	}
	for _, zon := range vw.Evacuations(now) {
		evacuated := wire.StatusEvacuation{Zone: zon.Name, SinceMs: zon.Age}
		for _, ep := range vw.Endpoints() {
			if ep.Zone == zon.Name {
				evacuated.Endpoints++
			}
		}
		st.Evacuated = append(st.Evacuated, evacuated)
	}
	if pln != nil {
		st.Services = append(st.Services, wire.StatusService{Service: "all routes", Revision: pln.Version()})
		for name, pol := range pln.Pools() {
			if crds := vw.Coordinators(name); pol.Batch() != nil && len(crds) > 0 {
				st.Coordinators = append(st.Coordinators, wire.StatusCoordinator{Pool: name, Instance: string(crds[0])})
			}
		}
	}
	slices.SortFunc(st.Coordinators, func(x, y wire.StatusCoordinator) int { return cmp.Compare(x.Pool, y.Pool) })
	for _, qst := range nod.coord.QueueStates() {
		st.Queues = append(st.Queues, wire.StatusQueue{Pool: qst.Pool, Waiting: qst.Waiting, OldestMs: qst.Oldest, PaceMs: qst.Pace})
	}
	return st
}
