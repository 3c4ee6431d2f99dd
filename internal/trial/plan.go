package trial

import (
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/route"
)

// Policy is a way to decide.
type Policy struct {
	Name      string
	Route     route.Baseline
	Admission bool
	Bounded   bool
	// Cost makes the owner's weight "cost": fewer retries. Mean admits by the
	// mean of the measured needs.
	Cost bool
	Mean bool
}

// Policies lists the daemon's own ways and the plain baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "own, weighs attainment", Route: route.Full, Admission: true, Bounded: true},
		{Name: "own, weighs cost", Route: route.Full, Admission: true, Bounded: true, Cost: true},
		{Name: "own, with load reports", Route: route.Reports, Admission: true, Bounded: true},
		{Name: "own, no prefixes", Route: route.NoPrefix, Admission: true, Bounded: true},
		{Name: "random within the limits", Route: route.Within, Admission: true, Bounded: true},
		{Name: "random", Route: route.Random, Admission: true, Bounded: true},
		{Name: "round robin", Route: route.RoundRobin, Admission: true, Bounded: true},
		{Name: "least reported load", Route: route.LeastReported, Admission: true, Bounded: true},
		{Name: "own, admits by the mean", Route: route.Full, Admission: true, Bounded: true, Mean: true},
		{Name: "own, no admission", Route: route.Full, Bounded: true},
		{Name: "own, unlimited retries", Route: route.Full, Admission: true},
		{Name: "random, no admission, unlimited", Route: route.Random},
	}
}

// stagePlan is one stage of a service.
type stagePlan struct {
	pool   string
	prefix bool
}

// servicePlan is a service with its share of the arrivals.
type servicePlan struct {
	name     string
	priority int
	deadline clock.Milli
	share    float64
	stages   []stagePlan
}

// poolPlan is a pool of endpoints.
type poolPlan struct {
	name    string
	servers int
	places  int
	baseMs  float64
}

// workspacePlan is a workspace with its share of the arrivals.
type workspacePlan struct {
	name   string
	share  float64
	weight int
}

// Deployment is one of the brief's two, at today's size.
type Deployment struct {
	Name       string
	instances  int
	pools      []poolPlan
	services   []servicePlan
	workspaces []workspacePlan
	bottleneck string
}

func ragStages(pool string) []stagePlan {
	return []stagePlan{{pool: "encoders"}, {pool: "retrievers"}, {pool: "rerankers"}, {pool: pool, prefix: true}}
}

// Deployments gives Corella and Shiretoko.
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

// Scenario is a load and what goes wrong.
type Scenario struct {
	Name string
	// Load is the arrivals in parts of what the bottleneck can do.
	Load float64
	// reportLag is how old reports are; piggyback tells whether answers carry
	// newer ones.
	reportLag clock.Milli
	stale     bool
	// at is called at the start, to plan what goes wrong.
	at func(run *run)
}

const (
	faultFrom = 15 * clock.Second
	faultTo   = 45 * clock.Second
	runFor    = 60 * clock.Second
	usualLag  = 500 * clock.Milli(1)
)

// Scenarios lists the loads and the faults.
func Scenarios() []Scenario {
	during := func(begin, end func(run *run)) func(run *run) {
		return func(run *run) {
			run.tln.after(faultFrom, func() { begin(run) })
			run.tln.after(faultTo, func() { end(run) })
		}
	}
	one := func(change func(srv *server, on bool)) func(run *run) {
		return during(
			func(run *run) { change(run.weak(0), true) },
			func(run *run) { change(run.weak(0), false) },
		)
	}
	slowAll := func(factor float64) func(run *run) {
		return func(run *run) {
			for _, srv := range run.pools["rerankers"] {
				srv.factor = factor
			}
		}
	}
	failing := func(share float64) func(run *run) {
		return func(run *run) {
			for _, srv := range run.pools["rerankers"] {
				srv.failing = share
			}
		}
	}
	return []Scenario{
		{Name: "load 0.6", Load: .6},
		{Name: "load 0.9", Load: .9},
		{Name: "load 1.2", Load: 1.2},
		{Name: "load 2.0", Load: 2},
		{Name: "a stage ten times slower, load 0.6", Load: .6, at: during(slowAll(10), slowAll(1))},
		{Name: "a stage fails half its calls, load 0.9", Load: .9, at: during(failing(.5), failing(0))},
		{Name: "an engine ten times slower, load 0.6", Load: .6, at: one(func(srv *server, on bool) { srv.slow(on) })},
		{Name: "an engine fails at once, load 0.6", Load: .6, at: one(func(srv *server, on bool) { srv.dead = on })},
		{Name: "an engine freezes, load 0.6", Load: .6, at: one(func(srv *server, on bool) { srv.freeze(on) })},
		{Name: "an engine leaves, load 0.6", Load: .6, at: func(run *run) {
			run.tln.after(faultFrom, func() { run.weak(0).leaving = true })
		}},
		{Name: "the largest workspace bursts fourfold, load 0.6", Load: .6, at: during(
			func(run *run) { run.burst = 4 }, func(run *run) { run.burst = 1 },
		)},
		{Name: "reports 5 s old, load 0.9", Load: .9, reportLag: 5 * clock.Second, stale: true},
	}
}

func (srv *server) slow(on bool) {
	srv.factor = 1
	if on {
		srv.factor = 10
	}
}

func (srv *server) freeze(on bool) {
	srv.frozen = on
	if !on {
		// What it held was given up long ago.
		srv.running = nil
		srv.next()
	}
}
