package admit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"amaranthvalve/pkg/admit"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
)

// Constants of the simulated deployment.
const (
	firstByteMs  = 250
	latencyMs    = 1
	queryTimeout = 30
	pollMs       = 20
	lightWeight  = 0.3
	retryMin     = 100
	retryMax     = 2000
)

// stageLoad is a stage of a simulated route: count items of the given weight, drawn from a share of the requests.
type stageLoad struct {
	pool   int
	share  float64
	count  float64
	weight float64
	after  []int
}

type routeLoad struct {
	perS     float64
	target   clock.Milli
	deadline clock.Milli
	rank     int
	stages   []stageLoad
}

type poolLoad struct {
	endpoints int
	spec      gather.Spec
}

// scene is a load: routes over pools for a time, with a burst of one route.
type scene struct {
	pools      []poolLoad
	routes     []routeLoad
	instances  int
	workspaces int
	span       clock.Milli
	burst      int
	burstFrom  clock.Milli
	burstUntil clock.Milli
	burstBy    float64
	// lost is the share of wait queries without an answer in time.
	lost float64
	// ranked is set if the routes have different priorities.
	ranked bool
}

// threeRoutes has three routes over three stage pools with one slot per endpoint.
func threeRoutes(instances int) scene {
	chain := []stageLoad{{pool: 0, share: 1, count: 1, weight: lightWeight}, {pool: 1, share: 1, count: 6, weight: 1, after: []int{0}}, {pool: 2, share: 1, count: 10, weight: 1, after: []int{1}}}
	return scene{
		pools: []poolLoad{
			{18, gather.Spec{Slots: 1, MaxItems: 10, BatchMs: 200, ItemMs: 17, TTL: 4000}},
			{15, gather.Spec{Slots: 1, MaxItems: 38, BatchMs: 200, ItemMs: 4.5, TTL: 4000}},
			{15, gather.Spec{Slots: 1, MaxItems: 54, BatchMs: 200, ItemMs: 3.2, TTL: 4000}},
		},
		routes: []routeLoad{
			{perS: 84, target: 2300, deadline: 6000, rank: 0, stages: chain},
			{perS: 64, target: 1600, deadline: 8000, rank: 1, stages: []stageLoad{{pool: 0, share: 0.7, count: 2.5, weight: 1}}},
			{perS: 50, target: 2300, deadline: 20000, rank: 2, stages: append(chain[:3:3], stageLoad{pool: 0, share: 0.4, count: 1.5, weight: 1})},
		},
		instances: instances, workspaces: 16, span: 18000, burst: 1, burstFrom: 5000, burstUntil: 12000, burstBy: 2.7, lost: 0.1, ranked: true,
	}
}

// tally counts the requests of a route by their ends.
type tally struct {
	all, onTime, late, refused, returned int
}

func (tly tally) served() float64 { return float64(tly.onTime+tly.late) / float64(max(tly.all, 1)) }

// report has the tallies by route, and the endpoint time in item-milliseconds used and wasted.
type report struct {
	routes     []tally
	workspaces []tally
	work       float64
	wasted     float64
}

func (rep report) total() tally {
	var sum tally
	for _, tly := range rep.routes {
		sum = tally{sum.all + tly.all, sum.onTime + tly.onTime, sum.late + tly.late, sum.refused + tly.refused, sum.returned + tly.returned}
	}
	return sum
}

func (rep report) String() string {
	text := ""
	for i, tly := range append(rep.routes[:len(rep.routes):len(rep.routes)], rep.total()) {
		name := fmt.Sprint("route ", i+1)
		if i == len(rep.routes) {
			name = "all"
		}
		per := func(n int) float64 { return 100 * float64(n) / float64(max(tly.all, 1)) }
		text += fmt.Sprintf("%s: %d, on time %.1f%%, late %.1f%%, refused %.1f%%, refusals at first %.1f%%; ", name, tly.all, per(tly.onTime), per(tly.late), per(tly.refused), per(tly.returned))
	}
	return text + fmt.Sprintf("work wasted %.1f%%", 100*rep.wasted/max(rep.work, 1))
}

// event is a function to be run at a time; equal times run in order of creation.
type event struct {
	at  clock.Milli
	seq int
	run func()
}

type events []event

func (evs events) Len() int { return len(evs) }
func (evs events) Less(i, j int) bool {
	return evs[i].at < evs[j].at || evs[i].at == evs[j].at && evs[i].seq < evs[j].seq
}
func (evs events) Swap(i, j int) { evs[i], evs[j] = evs[j], evs[i] }
func (evs *events) Push(x any)   { *evs = append(*evs, x.(event)) }
func (evs *events) Pop() any {
	old := *evs
	last := old[len(old)-1]
	*evs = old[:len(old)-1]
	return last
}

// simReq is a simulated request.
type simReq struct {
	route, workspace int
	first            clock.Milli
	// onRefusal, if set, is called when an admitted request is refused after all.
	onRefusal func()
	items     []int
	rank      int
	retried   bool
	pending   []int
	left      int
	work      float64
	ended     bool
}

// simItem maps an item to its request.
type simItem struct {
	req   *simReq
	stage int
}

// policy is the admission under test.
type policy interface {
	// admit returns whether a request is admitted at an instance, and else the retry-after delay. It sets the
	// rank of its items.
	admit(sim *simulation, inst int, req *simReq) (bool, clock.Milli)
}

type simulation struct {
	scene
	rng    *rand.Rand
	now    clock.Milli
	queue  events
	seq    int
	scheds []*gather.Scheduler
	wakeAt []clock.Milli
	items  map[int64]simItem
	nextID int64
	pol    policy
	rep    report
}

func simulate(scn scene, pol policy, seed uint64) report {
	sim := &simulation{scene: scn, rng: rand.New(rand.NewPCG(seed, 1)), items: map[int64]simItem{}, pol: pol, now: 1000}
	sim.rep.routes, sim.rep.workspaces = make([]tally, len(scn.routes)), make([]tally, scn.workspaces)
	for i, pld := range scn.pools {
		sch := &gather.Scheduler{}
		sch.SetSpec(pld.spec)
		var list []gather.Endpoint
		for j := range pld.endpoints {
			list = append(list, gather.Endpoint{ID: fmt.Sprintf("p%d-%d", i, j)})
		}
		sch.Sync(list)
		sim.scheds, sim.wakeAt = append(sim.scheds, sch), append(sim.wakeAt, 0)
	}
	for i := range scn.routes {
		sim.arrivals(i)
	}
	for len(sim.queue) > 0 {
		evt := heap.Pop(&sim.queue).(event)
		sim.now = max(sim.now, evt.at)
		evt.run()
	}
	return sim.rep
}

func (sim *simulation) after(span clock.Milli, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now + span, seq: sim.seq, run: run})
}

// arrivals schedules the arrivals of a route as a Poisson process.
func (sim *simulation) arrivals(route int) {
	rte := sim.routes[route]
	for at := 0.0; at < float64(sim.span); {
		rate := rte.perS
		if route == sim.burst && clock.Milli(at) >= sim.burstFrom && clock.Milli(at) < sim.burstUntil {
			rate *= sim.burstBy
		}
		at += sim.rng.ExpFloat64() * 1000 / rate
		req := &simReq{route: route, rank: rte.rank, workspace: min(sim.rng.IntN(sim.workspaces), sim.rng.IntN(sim.workspaces))}
		for _, stg := range rte.stages {
			n := 0
			if sim.rng.Float64() < stg.share {
				n = int(stg.count + sim.rng.Float64())
			}
			req.items = append(req.items, n)
		}
		sim.after(clock.Milli(at), func() {
			req.first = sim.now
			sim.rep.routes[route].all++
			sim.rep.workspaces[req.workspace].all++
			sim.arrive(req)
		})
	}
}

func (sim *simulation) arrive(req *simReq) {
	inst := sim.rng.IntN(sim.instances)
	ok, again := sim.pol.admit(sim, inst, req)
	if !ok {
		sim.refuse(req, again)
		return
	}
	req.ended, req.pending, req.left = false, make([]int, len(req.items)), 0
	for stg := range req.items {
		if req.items[stg] > 0 {
			req.left++
		}
	}
	if req.left == 0 {
		sim.after(firstByteMs, func() { sim.finish(req) })
		return
	}
	for stg, load := range sim.routes[req.route].stages {
		if len(load.after) == 0 {
			sim.start(req, stg)
		}
	}
}

// refuse ends an attempt; its caller comes back once.
func (sim *simulation) refuse(req *simReq, again clock.Milli) {
	req.ended = true
	if req.onRefusal != nil {
		req.onRefusal()
		req.onRefusal = nil
	}
	if req.retried {
		sim.rep.routes[req.route].refused++
		sim.rep.workspaces[req.workspace].refused++
		sim.rep.wasted += req.work
		return
	}
	req.retried = true
	sim.rep.routes[req.route].returned++
	span := float64(min(max(again, retryMin), retryMax)) * (1 + 0.25*sim.rng.Float64())
	if req.first+sim.routes[req.route].deadline <= sim.now+clock.Milli(span) {
		sim.refuse(req, 0)
		return
	}
	sim.rep.wasted += req.work
	req.work = 0
	sim.after(clock.Milli(span), func() { sim.arrive(req) })
}

func (sim *simulation) finish(req *simReq) {
	tly, wsp := &sim.rep.routes[req.route], &sim.rep.workspaces[req.workspace]
	if sim.now-req.first <= sim.routes[req.route].target {
		tly.onTime++
		wsp.onTime++
		return
	}
	tly.late++
	wsp.late++
}

func (sim *simulation) serviceTime(req *simReq, stg int) clock.Milli {
	spc, n := sim.pools[sim.routes[req.route].stages[stg].pool].spec, req.items[stg]
	if n == 0 {
		return 0
	}
	batches := (n + spc.MaxItems - 1) / spc.MaxItems
	return clock.Milli(spc.BatchMs + spc.ItemMs*float64(min(n, spc.MaxItems)) + spc.BatchMs*float64(batches-1))
}

// timeFrom returns the longest time of the stages from stg on, by the given time of a stage.
func (sim *simulation) timeFrom(req *simReq, stg int, span func(stg int) clock.Milli) clock.Milli {
	longest := clock.Milli(0)
	for i, load := range sim.routes[req.route].stages {
		for _, pre := range load.after {
			if pre == stg {
				longest = max(longest, sim.timeFrom(req, i, span))
			}
		}
	}
	return span(stg) + longest
}

// estimate returns the time to the first byte by the given waits of pools.
func (sim *simulation) estimate(req *simReq, waits []clock.Milli) clock.Milli {
	longest := clock.Milli(0)
	for stg := range req.items {
		longest = max(longest, sim.timeFrom(req, stg, func(i int) clock.Milli {
			if req.items[i] == 0 {
				return 0
			}
			return waits[sim.routes[req.route].stages[i].pool] + sim.serviceTime(req, i)
		}))
	}
	return firstByteMs + longest
}

func (sim *simulation) start(req *simReq, stg int) {
	if req.items[stg] == 0 {
		sim.next(req, stg)
		return
	}
	rte := sim.routes[req.route]
	pool, due := rte.stages[stg].pool, sim.due(req, stg)
	sim.nextID++
	job := sim.nextID
	req.pending[stg] = req.items[stg]
	for range req.items[stg] {
		sim.nextID++
		sim.items[sim.nextID] = simItem{req, stg}
		sim.scheds[pool].Add(gather.Item{ID: sim.nextID, Job: job, Added: sim.now, Due: due, Expires: due + rte.deadline - rte.target, Priority: req.rank, Ranked: sim.ranked})
	}
	sim.dispatch(pool)
}

// due returns when the items of a stage are due.
func (sim *simulation) due(req *simReq, stg int) clock.Milli {
	service := func(i int) clock.Milli { return sim.serviceTime(req, i) }
	return req.first + sim.routes[req.route].target - firstByteMs - sim.timeFrom(req, stg, service) + service(stg)
}

// next starts the stages that depend on a completed one, or the final call.
func (sim *simulation) next(req *simReq, stg int) {
	for i, load := range sim.routes[req.route].stages {
		for _, pre := range load.after {
			if pre == stg {
				sim.start(req, i)
			}
		}
	}
}

func (sim *simulation) dispatch(pool int) {
	sch := sim.scheds[pool]
	for {
		bat, ok := sch.Next(sim.now)
		if !ok {
			break
		}
		spc, took := sim.pools[pool].spec, sim.pools[pool].spec.BatchMs
		for _, itm := range bat.Items {
			si := sim.items[itm.ID]
			took += spc.ItemMs * sim.routes[si.req.route].stages[si.stage].weight
		}
		for _, itm := range bat.Items {
			req := sim.items[itm.ID].req
			sim.rep.work += took / float64(len(bat.Items))
			if req.ended {
				sim.rep.wasted += took / float64(len(bat.Items))
			}
			req.work += took / float64(len(bat.Items))
		}
		sim.after(clock.Milli(took), func() { sim.complete(pool, bat) })
	}
	for _, itm := range sch.TakeExpired(sim.now) {
		if si := sim.items[itm.ID]; !si.req.ended {
			sim.refuse(si.req, sch.Wait(sim.now))
		}
		delete(sim.items, itm.ID)
	}
	if sch.Waiting() == 0 || sim.wakeAt[pool] > sim.now {
		return
	}
	span := clock.Milli(pollMs)
	if space := sch.StartDelay(sim.now); space > 0 {
		span = min(span, space)
	}
	sim.wakeAt[pool] = sim.now + span
	sim.after(span, func() { sim.dispatch(pool) })
}

func (sim *simulation) complete(pool int, bat gather.Batch) {
	sim.scheds[pool].End(bat.ID, gather.Answered, nil, sim.now)
	for _, itm := range bat.Items {
		si := sim.items[itm.ID]
		delete(sim.items, itm.ID)
		if si.req.ended {
			continue
		}
		if si.req.pending[si.stage]--; si.req.pending[si.stage] > 0 {
			continue
		}
		if si.req.left--; si.req.left == 0 {
			sim.after(firstByteMs, func() { sim.finish(si.req) })
		}
		sim.next(si.req, si.stage)
	}
	sim.dispatch(pool)
}

// unranked admits by the waits of all queued items, whatever their ranks.
type unranked struct {
	known map[[2]int]estimated
}

type estimated struct{ span, at clock.Milli }

func (unr *unranked) admit(sim *simulation, inst int, req *simReq) (bool, clock.Milli) {
	if unr.known == nil {
		unr.known = map[[2]int]estimated{}
	}
	waits, contended := make([]clock.Milli, len(sim.pools)), false
	lost := sim.rng.Float64() < sim.lost
	for _, load := range sim.routes[req.route].stages {
		key := [2]int{inst, load.pool}
		if !lost {
			unr.known[key] = estimated{sim.scheds[load.pool].Wait(sim.now), sim.now}
		}
		waits[load.pool] = max(unr.known[key].span-(sim.now-unr.known[key].at), 0)
		spc := sim.pools[load.pool].spec
		contended = contended || float64(waits[load.pool]) > 0.5*float64(spc.Time(spc.MaxItems))
	}
	rte := sim.routes[req.route]
	bdg := admit.Budget{Estimate: sim.estimate(req, waits), ToDeadline: req.first + rte.deadline - sim.now, ToTarget: req.first + rte.target - sim.now, Contended: contended}
	return bdg.Judge() == admit.Admit, bdg.Excess()
}

// ranked admits by the waits at the rank of the request, and guards against starvation.
type ranked struct {
	waits  map[int]*admit.WaitTable
	recent map[int]*admit.Recent
	// unguarded turns the guard off.
	unguarded bool
	starved   int
}

func (rkd *ranked) admit(sim *simulation, inst int, req *simReq) (bool, clock.Milli) {
	if rkd.waits == nil {
		rkd.waits, rkd.recent = map[int]*admit.WaitTable{}, map[int]*admit.Recent{}
	}
	if rkd.waits[inst] == nil {
		rkd.waits[inst], rkd.recent[inst] = &admit.WaitTable{}, &admit.Recent{}
	}
	known, recent := rkd.waits[inst], rkd.recent[inst]
	waits, contended, items := make([]clock.Milli, len(sim.pools)), false, 0
	for _, n := range req.items {
		items += n
	}
	lost := sim.rng.Float64() < sim.lost
	rte := sim.routes[req.route]
	groups := admit.Groups(fmt.Sprint(req.route), fmt.Sprint(req.workspace), items)
	starved := recent.Starved(groups, sim.now)
	req.rank = rte.rank
	if starved != admit.NoClass && !rkd.unguarded {
		req.rank = 0
		rkd.starved++
	} else {
		starved = admit.NoClass
	}
	for stg, load := range rte.stages {
		name := fmt.Sprint(load.pool)
		if !lost {
			known.Note(name, req.rank, sim.scheds[load.pool].WaitFor(req.rank, sim.due(req, stg), sim.now), sim.now)
		}
		waits[load.pool] = known.At(name, req.rank, sim.now)
		spc := sim.pools[load.pool].spec
		contended = contended || float64(waits[load.pool]) > 0.5*float64(spc.Time(spc.MaxItems))
	}
	bdg := admit.Budget{Estimate: sim.estimate(req, waits), ToDeadline: req.first + rte.deadline - sim.now, ToTarget: req.first + rte.target - sim.now, Contended: contended, Starved: starved}
	if sim.ranked {
		bdg.Wait = slices.Max(waits)
	}
	admitted := bdg.Judge() == admit.Admit
	recent.Record(groups, req.retried, admitted, sim.now)
	if admitted {
		req.onRefusal = func() { recent.Revoke(groups, sim.now) }
	}
	return admitted, bdg.RetryAfter()
}
