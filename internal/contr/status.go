package contr

import (
	"math/rand/v2"
	"sort"

	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/route"
)

func (ctl *Control) endpointStatus() []wire.StatusEndpoint {
	list := []wire.StatusEndpoint{}
	for pool, states := range ctl.set.Runner.EndpointStates() {
		for _, eps := range states {
			state := "well"
			switch {
			case eps.Leaving:
				state = "leaving"
			case eps.Ejected:
				state = "benched"
			}
			list = append(list, wire.StatusEndpoint{
				Pool: pool, ID: eps.ID, Addr: eps.Addr, InFlight: eps.InFlight, Limit: eps.Limit, Latency: eps.Latency, State: state,
			})
		}
	}
	return list
}

func sortStatus(st *wire.Status) {
	sort.Slice(st.Services, func(i, j int) bool { return st.Services[i].Service < st.Services[j].Service })
	sort.Slice(st.Leases, func(i, j int) bool { return st.Leases[i].Name < st.Leases[j].Name })
	sort.Slice(st.Endpoints, func(i, j int) bool {
		if st.Endpoints[i].Pool != st.Endpoints[j].Pool {
			return st.Endpoints[i].Pool < st.Endpoints[j].Pool
		}
		return st.Endpoints[i].ID < st.Endpoints[j].ID
	})
}

// Entries returns the addresses that are offered to callers: the live instances, best first.
func (ctl *Control) Entries(zone string, rng *rand.Rand) []wire.Entry {
	var cands []route.Entry
	for _, mbr := range ctl.View().Members() {
		if mbr.Status() == member.Alive {
			cands = append(cands, route.Entry{Addr: mbr.Caller(), Zone: mbr.Zone(), Boot: mbr.ID().Boot(), Load: mbr.Load()})
		}
	}
	list := []wire.Entry{}
	for _, ent := range route.Entries(cands, zone, rng) {
		list = append(list, wire.Entry{Addr: ent.Addr, Zone: ent.Zone, Boot: ent.Boot})
	}
	return list
}

// SetRates sets the function that returns this instance's requests per second by workspace. It
// must be called before Run.
func (ctl *Control) SetRates(rates func() map[string]float64) { ctl.endpts.rates = rates }

// OtherRates returns the requests per second of a workspace at each of the other live
// instances, for the division of its rate. It reads a copy made in each step of the
// controllers.
func (ctl *Control) OtherRates(workspace string) []float64 {
	table := ctl.demands.Load()
	if table == nil {
		return nil
	}
	list := make([]float64, 0, len(*table))
	for _, rates := range *table {
		list = append(list, rates[workspace])
	}
	return list
}

// RateShare returns this instance's share of a workspace's rate.
func (ctl *Control) RateShare(workspace string, rate, own float64) float64 {
	return limit.Share(rate, own, ctl.OtherRates(workspace))
}

// publishDemands publishes a copy of the live members' demands to the request path.
func (mct *membersCtl) publishDemands() {
	table := map[ident.Incarnation]map[string]float64{}
	for _, mbr := range mct.list.All() {
		if mbr.ID() != mct.ctl.set.Self {
			table[mbr.ID()] = mct.demand[mbr.ID()]
		}
	}
	for who := range mct.demand {
		if _, ok := table[who]; !ok {
			delete(mct.demand, who)
		}
	}
	mct.ctl.demands.Store(&table)
}
