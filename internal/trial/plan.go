package trial

import (
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/route"
)

// Policy is a combination of routing, admission and retry rules.
type Policy struct {
	Name     string
	Baseline route.Baseline
	// Admission refuses requests that can't be in time, and orders the queue; without it the queue
	// is first in, first out.
	Admission bool
	// BoundedRetries limits retries by attempts and by the retry budget.
	BoundedRetries bool
	// WeighsCost sets the owner's weight to "cost", which allows fewer retries.
	WeighsCost bool
	// AdmitsByMean uses the mean of the measured service times for admission instead of their
	// upper bound.
	AdmitsByMean bool
}

// Policies lists the gateway's own policies and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "own, weighs attainment", Baseline: route.Full, Admission: true, BoundedRetries: true},
		{Name: "own, weighs cost", Baseline: route.Full, Admission: true, BoundedRetries: true, WeighsCost: true},
		{Name: "own, with load reports", Baseline: route.Reports, Admission: true, BoundedRetries: true},
		{Name: "own, no prefixes", Baseline: route.NoPrefix, Admission: true, BoundedRetries: true},
		{Name: "random within the limits", Baseline: route.Within, Admission: true, BoundedRetries: true},
		{Name: "random", Baseline: route.Random, Admission: true, BoundedRetries: true},
		{Name: "round robin", Baseline: route.RoundRobin, Admission: true, BoundedRetries: true},
		{Name: "least reported load", Baseline: route.LeastReported, Admission: true, BoundedRetries: true},
		{Name: "own, admits by the mean", Baseline: route.Full, Admission: true, BoundedRetries: true, AdmitsByMean: true},
		{Name: "own, no admission", Baseline: route.Full, BoundedRetries: true},
		{Name: "own, unlimited retries", Baseline: route.Full, Admission: true},
		{Name: "random, no admission, unlimited", Baseline: route.Random},
	}
}

// stagePlan is one stage of a service.
type stagePlan struct {
	pool string
	// hasPrompt is set if the stage generates from a prompt, whose prefix engines cache.
	hasPrompt bool
}

// servicePlan is a service with its share of the requests.
type servicePlan struct {
	name     string
	priority int
	deadline clock.Milli
	share    float64
	stages   []stagePlan
}

// poolPlan is a pool of endpoints. An endpoint takes baseMs for a request when it is otherwise
// idle, and has the given number of slots.
type poolPlan struct {
	name    string
	servers int
	slots   int
	baseMs  float64
}

// workspacePlan is a workspace with its share of the requests; its weight is its share of the
// queue.
type workspacePlan struct {
	name   string
	share  float64
	weight int
}

// Deployment is a modelled deployment. The smallest workspace and the service of the highest
// priority, which results report separately, must be the last of their lists; the first workspace is
// the one that sends bursts.
type Deployment struct {
	Name       string
	instances  int
	pools      []poolPlan
	services   []servicePlan
	workspaces []workspacePlan
	bottleneck string
}

func ragStages(pool string) []stagePlan {
	return []stagePlan{{pool: "encoders"}, {pool: "retrievers"}, {pool: "rerankers"}, {pool: pool, hasPrompt: true}}
}

// Deployments returns the two modelled deployments, Corella and Shiretoko, at their present sizes.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "corella", instances: 9, bottleneck: "planners",
			pools: []poolPlan{
				{"encoders", 5, 8, 5},
				{"retrievers", 5, 8, 10},
				{"rerankers", 5, 8, 10},
				{"planners", 12, 16, 1000},
				{"booking", 5, 8, 30},
			},
			services: []servicePlan{
				{"planning", 3, 6 * clock.Second, .5, ragStages("planners")},
				{"notices", 5, 6 * clock.Second, .3, ragStages("planners")},
				{"booking", 9, 5 * clock.Second, .2, []stagePlan{{pool: "booking"}}},
			},
			workspaces: []workspacePlan{
				{"corella-track", .5, 4},
				{"corella-signals", .3, 3},
				{"downs-civil", .1, 1},
				{"granite-belt-plant", .06, 1},
				{"lockyer-survey", .04, 1},
			},
		},
		{
			Name: "shiretoko", instances: 8, bottleneck: "explainers",
			pools: []poolPlan{
				{"encoders", 3, 8, 5},
				{"retrievers", 3, 8, 10},
				{"rerankers", 3, 8, 10},
				{"explainers", 9, 16, 800},
				{"payroll", 4, 8, 60},
			},
			services: []servicePlan{
				{"explain", 3, 6 * clock.Second, .7, ragStages("explainers")},
				{"payroll", 9, 8 * clock.Second, .3, []stagePlan{{pool: "payroll"}}},
			},
			workspaces: []workspacePlan{
				{"tokachi-transport", .55, 3},
				{"kitami-logistics", .3, 2},
				{"nemuro-fisheries", .06, 1},
				{"abashiri-bus", .05, 1},
				{"shari-office", .04, 1},
			},
		},
	}
}

// Scenario is a load with the faults that occur under it.
type Scenario struct {
	Name string
	// Load is the request rate as a multiple of the capacity of the bottleneck pool.
	Load float64
	// reportLag is the age of load reports on arrival, at least minReportLag. With noPiggyback,
	// responses carry no newer reports.
	reportLag   clock.Milli
	noPiggyback bool
	// planFaults is called at the start and schedules the faults; nil for none.
	planFaults func(run *run)
}

// Faults last from faultStart to faultEnd, requests arrive until arrivalTime.
const (
	faultStart   = 15 * clock.Second
	faultEnd     = 45 * clock.Second
	arrivalTime  = 60 * clock.Second
	minReportLag = 500 * clock.Milli(1)
)

// Scenarios lists loads without faults, and loads with one fault each.
func Scenarios() []Scenario {
	faults := func(begin, end func(run *run)) func(run *run) {
		return func(run *run) {
			run.tln.after(faultStart, func() { begin(run) })
			run.tln.after(faultEnd, func() { end(run) })
		}
	}
	bottleneckFault := func(change func(srv *server, on bool)) func(run *run) {
		return faults(
			func(run *run) { change(run.bottleneckServer(0), true) },
			func(run *run) { change(run.bottleneckServer(0), false) },
		)
	}
	slowAll := func(factor float64) func(run *run) {
		return func(run *run) {
			for _, srv := range run.pools["rerankers"] {
				srv.slowdown = factor
			}
		}
	}
	failingAll := func(share float64) func(run *run) {
		return func(run *run) {
			for _, srv := range run.pools["rerankers"] {
				srv.failureShare = share
			}
		}
	}
	return []Scenario{
		{Name: "load 0.6", Load: .6},
		{Name: "load 0.9", Load: .9},
		{Name: "load 1.2", Load: 1.2},
		{Name: "load 2.0", Load: 2},
		{Name: "a stage ten times slower, load 0.6", Load: .6, planFaults: faults(slowAll(10), slowAll(1))},
		{Name: "a stage fails half its calls, load 0.9", Load: .9, planFaults: faults(failingAll(.5), failingAll(0))},
		{Name: "an engine ten times slower, load 0.6", Load: .6, planFaults: bottleneckFault(func(srv *server, on bool) { srv.setSlow(on) })},
		{Name: "an engine fails at once, load 0.6", Load: .6, planFaults: bottleneckFault(func(srv *server, on bool) { srv.failsAtOnce = on })},
		{Name: "an engine freezes, load 0.6", Load: .6, planFaults: bottleneckFault(func(srv *server, on bool) { srv.setFrozen(on) })},
		{Name: "an engine leaves, load 0.6", Load: .6, planFaults: func(run *run) {
			run.tln.after(faultStart, func() { run.bottleneckServer(0).leaving = true })
		}},
		{Name: "the largest workspace bursts fourfold, load 0.6", Load: .6, planFaults: faults(
			func(run *run) { run.burst = 4 }, func(run *run) { run.burst = 1 },
		)},
		{Name: "reports 5 s old, load 0.9", Load: .9, reportLag: 5 * clock.Second, noPiggyback: true},
	}
}

func (srv *server) setSlow(on bool) {
	srv.slowdown = 1
	if on {
		srv.slowdown = 10
	}
}

func (srv *server) setFrozen(on bool) {
	srv.frozen = on
	if !on {
		// The attempts that were running before the freeze have been cancelled meanwhile.
		srv.running = nil
		srv.startNext()
	}
}
