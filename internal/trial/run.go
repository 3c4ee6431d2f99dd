package trial

import (
	"fmt"
	"math/rand/v2"

	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/route"
)

// Constants of the simulation. timeoutFactor, minAttemptTimeout and stallTimeout must equal those of
// internal/stage.
const (
	// timeoutFactor is the multiple of the upper bound of a stage's time after which an attempt is
	// retried elsewhere, at the earliest after minAttemptTimeout.
	timeoutFactor     = 4
	minAttemptTimeout = 250 * clock.Milli(1)
	// tickInterval is the interval at which gates are updated.
	tickInterval = 50 * clock.Milli(1)
	// prefixCount is the number of different prompts.
	prefixCount = 40
	// stallTimeout is how long a generation may produce nothing before it is retried elsewhere.
	stallTimeout = clock.Second
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

// instance is the state of one instance: a gate for each pool, and measured service times.
type instance struct {
	run        *run
	gates      map[string]*admit.Gate
	estimators map[string]*admit.Estimator
	// firstToken estimates the time to a generation's first token.
	firstToken admit.Estimator
}

// Measure runs a scenario under a policy. The result depends only on its arguments.
func Measure(dpl Deployment, scn Scenario, pol Policy, seed uint64) Result {
	rnn := &run{
		dpl: dpl, scn: scn, pol: pol, rng: rand.New(rand.NewPCG(seed, 7)), pools: map[string][]*server{},
		burst: 1, res: newResult(dpl, scn, pol),
	}
	rnn.build()
	if scn.planFaults != nil {
		scn.planFaults(rnn)
	}
	rnn.nextArrival()
	rnn.tln.run(arrivalTime + 10*clock.Second)
	return *rnn.res
}

// bottleneckServer returns the i-th server of the pool that limits the deployment's capacity.
func (rnn *run) bottleneckServer(i int) *server { return rnn.pools[rnn.dpl.bottleneck][i] }

func (rnn *run) build() {
	for _, pln := range rnn.dpl.pools {
		for i := range pln.servers {
			srv := &server{
				tln: &rnn.tln, id: fmt.Sprintf("%s-%d", pln.name, i), pool: pln.name,
				baseMs: pln.baseMs, slots: pln.slots, slowdown: 1, cached: map[uint64]bool{}, random: rnn.rng.Float64,
			}
			rnn.pools[pln.name] = append(rnn.pools[pln.name], srv)
		}
	}
	for range rnn.dpl.instances {
		rnn.insts = append(rnn.insts, rnn.newInstance())
	}
	rnn.tln.after(0, rnn.sampleReports)
	rnn.tln.after(0, rnn.tickGates)
}

func (rnn *run) newInstance() *instance {
	ins := &instance{run: rnn, gates: map[string]*admit.Gate{}, estimators: map[string]*admit.Estimator{}}
	for _, pln := range rnn.dpl.pools {
		rt := route.New("dc1", rand.New(rand.NewPCG(rnn.rng.Uint64(), 1)))
		rt.UseBaseline(rnn.pol.Baseline)
		var eps []route.Endpoint
		for _, srv := range rnn.pools[pln.name] {
			eps = append(eps, route.Endpoint{ID: srv.id, Zone: "dc1"})
		}
		rt.Sync(eps)
		gate := admit.NewGate(rt)
		if !rnn.pol.Admission {
			gate.Queue().UseFIFO()
		}
		if !rnn.pol.BoundedRetries {
			gate.UsePlainRetries()
		}
		ins.gates[pln.name] = gate
	}
	return ins
}

// sampleReports samples the load of each server and schedules its delivery to all instances after
// the scenario's lag; it repeats every second.
func (rnn *run) sampleReports() {
	lag := max(rnn.scn.reportLag, minReportLag)
	for _, srvs := range rnn.pools {
		for _, srv := range srvs {
			load, leaving := srv.load(), srv.leaving
			rnn.tln.after(lag, func() { rnn.deliverReport(srv, load, leaving) })
		}
	}
	if rnn.tln.now < arrivalTime {
		rnn.tln.after(clock.Second, rnn.sampleReports)
	}
}

func (rnn *run) deliverReport(srv *server, load float64, leaving bool) {
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

func (rnn *run) tickGates() {
	for _, ins := range rnn.insts {
		for _, pln := range rnn.dpl.pools {
			ins.gates[pln.name].Tick(rnn.tln.now)
		}
	}
	if rnn.tln.now < arrivalTime+5*clock.Second {
		rnn.tln.after(tickInterval, rnn.tickGates)
	}
}

// fullLoadRate returns the requests per second at a load of 1: the throughput of the full servers
// of the bottleneck pool, divided by the share of requests that use this pool.
func (rnn *run) fullLoadRate() float64 {
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
			return float64(pln.servers*pln.slots) / (pln.baseMs * 1.5 / 1000) / part
		}
	}
	return 0
}

// nextArrival offers a request, and schedules the next one after an exponentially distributed gap.
func (rnn *run) nextArrival() {
	if rnn.tln.now >= arrivalTime {
		return
	}
	rnn.offer(rnn.drawWorkspace())
	// Only the largest workspace sends the additional requests of a burst.
	for extra := rnn.burst - 1; extra > 0; extra-- {
		if wsp := rnn.drawWorkspace(); wsp == rnn.dpl.workspaces[0] {
			rnn.offer(wsp)
		}
	}
	gap := rnn.rng.ExpFloat64() * 1000 / (rnn.fullLoadRate() * rnn.scn.Load)
	rnn.tln.after(clock.Milli(gap+rnn.rng.Float64()), rnn.nextArrival)
}

func (rnn *run) drawWorkspace() workspacePlan {
	pos := rnn.rng.Float64()
	for _, wsp := range rnn.dpl.workspaces {
		if pos -= wsp.share; pos < 0 {
			return wsp
		}
	}
	return rnn.dpl.workspaces[0]
}

func (rnn *run) drawService() servicePlan {
	pos := rnn.rng.Float64()
	for _, svc := range rnn.dpl.services {
		if pos -= svc.share; pos < 0 {
			return svc
		}
	}
	return rnn.dpl.services[0]
}

func (rnn *run) offer(wsp workspacePlan) {
	ins := rnn.insts[rnn.rng.IntN(len(rnn.insts))]
	req := &request{
		ins: ins, wsp: wsp, svc: rnn.drawService(), arrived: rnn.tln.now,
		prefix: 1 + uint64(rnn.rng.IntN(prefixCount)),
	}
	req.deadline = req.arrived + req.svc.deadline
	rnn.res.recordOffered(req)
	req.begin()
}

func (ins *instance) estimator(svc servicePlan, i int) *admit.Estimator {
	key := fmt.Sprintf("%s/%d", svc.name, i)
	est, ok := ins.estimators[key]
	if !ok {
		est = &admit.Estimator{}
		ins.estimators[key] = est
	}
	return est
}

// initialEstimate returns the owner's estimate of a stage's time, used until times have been
// measured.
func (rnn *run) initialEstimate(pool string) clock.Milli {
	for _, pln := range rnn.dpl.pools {
		if pln.name == pool {
			return clock.Milli(pln.baseMs * 1.25)
		}
	}
	return 0
}
