package trial

import (
	"fmt"
	"math/rand/v2"

	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/route"
)

// Constants that follow package stage.
const (
	patience    = 4
	minPatience = 250 * clock.Milli(1)
	tickEvery   = 50 * clock.Milli(1)
	prefixes    = 40
	// stall is how long a generation may give no sign before it is taken up
	// elsewhere.
	stall = clock.Second
)

// run is one scenario under one policy.
type run struct {
	dpl   Deployment
	scn   Scenario
	pol   Policy
	rng   *rand.Rand
	tln   timeline
	pools map[string][]*server
	insts []*instance
	burst float64
	res   *Result
}

// instance is what one instance knows: a gate a pool, and measured needs.
type instance struct {
	run   *run
	gates map[string]*admit.Gate
	needs map[string]*admit.Estimator
	// first is the time to a generation's first token.
	first admit.Estimator
}

// Measure runs a scenario under a policy.
func Measure(dpl Deployment, scn Scenario, pol Policy, seed uint64) Result {
	rnn := &run{
		dpl: dpl, scn: scn, pol: pol, rng: rand.New(rand.NewPCG(seed, 7)), pools: map[string][]*server{},
		burst: 1, res: newResult(dpl, scn, pol),
	}
	rnn.build()
	if scn.at != nil {
		scn.at(rnn)
	}
	rnn.arrive()
	rnn.tln.run(runFor + 10*clock.Second)
	return *rnn.res
}

func (rnn *run) weak(i int) *server { return rnn.pools[rnn.dpl.bottleneck][i] }

func (rnn *run) build() {
	for _, pln := range rnn.dpl.pools {
		for i := range pln.servers {
			srv := &server{
				tln: &rnn.tln, id: fmt.Sprintf("%s-%d", pln.name, i), pool: pln.name,
				baseMs: pln.baseMs, places: pln.places, factor: 1, prefix: map[uint64]bool{}, rng: rnn.rng.Float64,
			}
			rnn.pools[pln.name] = append(rnn.pools[pln.name], srv)
		}
	}
	for range rnn.dpl.instances {
		rnn.insts = append(rnn.insts, rnn.newInstance())
	}
	rnn.tln.after(0, rnn.reports)
	rnn.tln.after(0, rnn.ticks)
}

func (rnn *run) newInstance() *instance {
	ins := &instance{run: rnn, gates: map[string]*admit.Gate{}, needs: map[string]*admit.Estimator{}}
	for _, pln := range rnn.dpl.pools {
		rt := route.New("dc1", rand.New(rand.NewPCG(rnn.rng.Uint64(), 1)))
		rt.UseBaseline(rnn.pol.Route)
		var eps []route.Endpoint
		for _, srv := range rnn.pools[pln.name] {
			eps = append(eps, route.Endpoint{ID: srv.id, Zone: "dc1"})
		}
		rt.Sync(eps)
		gate := admit.NewGate(rt)
		if !rnn.pol.Admission {
			gate.Queue().UseFIFO()
		}
		if !rnn.pol.Bounded {
			gate.UsePlainRetries()
		}
		ins.gates[pln.name] = gate
	}
	return ins
}

// reports brings each server's load to all instances, late.
func (rnn *run) reports() {
	lag := max(rnn.scn.reportLag, usualLag)
	for _, srvs := range rnn.pools {
		for _, srv := range srvs {
			load, leaving := srv.load(), srv.leaving
			rnn.tln.after(lag, func() { rnn.report(srv, load, leaving) })
		}
	}
	if rnn.tln.now < runFor {
		rnn.tln.after(clock.Second, rnn.reports)
	}
}

func (rnn *run) report(srv *server, load float64, leaving bool) {
	for _, ins := range rnn.insts {
		rt := ins.gates[srv.pool].Pool()
		if !srv.frozen {
			rt.Report(srv.id, load, rnn.tln.now)
		}
		if leaving {
			rt.Leave(srv.id)
		}
	}
}

func (rnn *run) ticks() {
	for _, ins := range rnn.insts {
		for _, pln := range rnn.dpl.pools {
			ins.gates[pln.name].Tick(rnn.tln.now)
		}
	}
	if rnn.tln.now < runFor+5*clock.Second {
		rnn.tln.after(tickEvery, rnn.ticks)
	}
}

// rate is the arrivals a second for a load of 1: what the bottleneck's servers
// can do when full, over the part of the arrivals that come to it.
func (rnn *run) rate() float64 {
	part := 0.0
	for _, svc := range rnn.dpl.services {
		for _, stg := range svc.stages {
			if stg.pool == rnn.dpl.bottleneck {
				part += svc.share
			}
		}
	}
	for _, pln := range rnn.dpl.pools {
		if pln.name == rnn.dpl.bottleneck {
			return float64(pln.servers*pln.places) / (pln.baseMs * 1.5 / 1000) / part
		}
	}
	return 0
}

func (rnn *run) arrive() {
	if rnn.tln.now >= runFor {
		return
	}
	rnn.offer(rnn.workspace())
	// A burst is the largest workspace's alone, on top of the others.
	for extra := rnn.burst - 1; extra > 0; extra-- {
		if wsp := rnn.workspace(); wsp == rnn.dpl.workspaces[0] {
			rnn.offer(wsp)
		}
	}
	gap := rnn.rng.ExpFloat64() * 1000 / (rnn.rate() * rnn.scn.Load)
	rnn.tln.after(clock.Milli(gap+rnn.rng.Float64()), rnn.arrive)
}

func (rnn *run) workspace() workspacePlan {
	at := rnn.rng.Float64()
	for _, wsp := range rnn.dpl.workspaces {
		if at -= wsp.share; at < 0 {
			return wsp
		}
	}
	return rnn.dpl.workspaces[0]
}

func (rnn *run) service() servicePlan {
	at := rnn.rng.Float64()
	for _, svc := range rnn.dpl.services {
		if at -= svc.share; at < 0 {
			return svc
		}
	}
	return rnn.dpl.services[0]
}

func (rnn *run) offer(wsp workspacePlan) {
	ins := rnn.insts[rnn.rng.IntN(len(rnn.insts))]
	req := &request{
		ins: ins, wsp: wsp, svc: rnn.service(), arrived: rnn.tln.now,
		prefix: 1 + uint64(rnn.rng.IntN(prefixes)),
	}
	req.deadline = req.arrived + req.svc.deadline
	rnn.res.offered(req)
	req.begin()
}

func (ins *instance) need(svc servicePlan, i int) *admit.Estimator {
	key := fmt.Sprintf("%s/%d", svc.name, i)
	ned, ok := ins.needs[key]
	if !ok {
		ned = &admit.Estimator{}
		ins.needs[key] = ned
	}
	return ned
}

// guess is the owner's first guess of a stage's time.
func (rnn *run) guess(pool string) clock.Milli {
	for _, pln := range rnn.dpl.pools {
		if pln.name == pool {
			return clock.Milli(pln.baseMs * 1.25)
		}
	}
	return 0
}
