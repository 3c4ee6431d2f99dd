package route

import (
	"math/rand/v2"
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/limit"
)

// Constants of the choice.
const (
	// reportHalf is the age at which a report counts half.
	reportHalf = 500.0
	// ewmaShare is the weight of a new latency in the average.
	ewmaShare = 0.2
	// slowFactor times the pool's median latency makes an endpoint slow.
	slowFactor = 4.0
	// slowFloor is the latency below which nothing is called slow: a few
	// milliseconds are scheduling noise.
	slowFloor = 20.0
	// minSamples is how many latencies are needed before one is judged.
	minSamples = 5
	// failuresToBench in a row bench an endpoint.
	failuresToBench = 3
	// benchFor is the time until a benched endpoint is probed.
	benchFor = 2 * clock.Second
	// maxBench bounds the time, which doubles with each failed probe.
	maxBench = 16 * clock.Second
	// warmSaving is the share of the cost that a warm prefix saves.
	warmSaving = 0.5
	// prefixMemory is how many prefixes are remembered an endpoint.
	prefixMemory = 256
	// farPenalty is added to the load of an endpoint in another data centre:
	// a millisecond's way counts little against a queue.
	farPenalty = 0.25
)

// Endpoint is an endpoint as the instance list tells of it.
type Endpoint struct {
	ID      string
	Addr    string
	Zone    string
	Leaving bool
}

// Peer is one endpoint as the pool knows it.
type peer struct {
	ep       Endpoint
	inFlight int
	limiter  limit.Adaptive
	latency  float64
	samples  int
	failures int
	benched  clock.Milli
	bench    clock.Milli
	probing  bool
	leaving  bool
	reported float64
	reportAt clock.Milli
	turns    int
	prefixes map[uint64]struct{}
	recent   []uint64
}

// Pool is what one instance knows of a pool of endpoints. The zero value is an
// empty pool. It is not safe for concurrent use.
type Pool struct {
	zone  string
	peers []*peer
	byID  map[string]*peer
	rng   *rand.Rand
	// Plain switches parts off, for baselines.
	plain Baseline
}

// Baseline names a plain way to choose, to measure the package against.
type Baseline int

// The baselines; Full is the package's own way.
const (
	Full Baseline = iota
	Random
	RoundRobin
	LeastReported
	// Reports is Full with the load reports in the cost: measured, no better,
	// and dropped.
	Reports
	// NoPrefix is Full without regard to warm prefixes.
	NoPrefix
	// Within is a random choice within the limits.
	Within
)

// New returns an empty pool of an instance in a zone. The random numbers come
// from rng, so that a test can repeat a run.
func New(zone string, rng *rand.Rand) *Pool {
	return &Pool{zone: zone, rng: rng, byID: map[string]*peer{}}
}

// UseBaseline makes the pool choose by a plain rule.
func (pl *Pool) UseBaseline(bas Baseline) { pl.plain = bas }

// own tells whether limits and benches are in use.
func (pl *Pool) own() bool { return pl.plain == Full || pl.plain >= Reports }

// Sync makes the pool hold just these endpoints; what is known of those that
// stay is kept. An endpoint that was heard to be leaving stays so: the list
// lags behind the endpoint's own word.
func (pl *Pool) Sync(eps []Endpoint) {
	keep := map[string]bool{}
	for _, ep := range eps {
		keep[ep.ID] = true
		cur, ok := pl.byID[ep.ID]
		if !ok {
			cur = &peer{prefixes: map[uint64]struct{}{}}
			pl.byID[ep.ID] = cur
			pl.peers = append(pl.peers, cur)
		}
		cur.ep = ep
		cur.leaving = cur.leaving || ep.Leaving
	}
	pl.peers = slices.DeleteFunc(pl.peers, func(pr *peer) bool { return !keep[pr.ep.ID] })
	for id := range pl.byID {
		if !keep[id] {
			delete(pl.byID, id)
		}
	}
}

// Len gives the number of endpoints.
func (pl *Pool) Len() int { return len(pl.peers) }

// Ask is what is to be placed.
type Ask struct {
	// Prefix is a hash of the prompt's prefix, zero for none.
	Prefix uint64
	// Avoid lists endpoints that were tried for this request.
	Avoid []string
}

// Pick chooses an endpoint and counts the work as in flight there. It gives
// false when every endpoint is at its limit, leaving or avoided; the caller
// then waits or refuses.
func (pl *Pool) Pick(ask Ask, now clock.Milli) (Endpoint, bool) {
	if probe := pl.dueProbe(ask, now); probe != nil {
		probe.probing = true
		return pl.take(probe, ask), true
	}
	open := pl.eligible(ask, true)
	if len(open) == 0 {
		open = pl.eligible(ask, false)
	}
	if len(open) == 0 {
		return Endpoint{}, false
	}
	return pl.take(pl.choose(open, ask, now), ask), true
}

// Room tells whether Pick would find an endpoint.
func (pl *Pool) Room(ask Ask) bool {
	return len(pl.eligible(ask, true)) > 0 || len(pl.eligible(ask, false)) > 0
}

// Usable counts the endpoints that are not leaving.
func (pl *Pool) Usable() int {
	n := 0
	for _, pr := range pl.peers {
		if !pr.leaving {
			n++
		}
	}
	return n
}

// Capacity adds up the limits of the endpoints in use: those that are well, or
// all if none is, as Pick does.
func (pl *Pool) Capacity() int {
	well, all := 0, 0
	for _, pr := range pl.peers {
		if pr.leaving {
			continue
		}
		all += pr.limiter.Limit()
		if pr.benched == 0 {
			well += pr.limiter.Limit()
		}
	}
	if well == 0 {
		return all
	}
	return well
}

// InFlight adds up this instance's own work.
func (pl *Pool) InFlight() int {
	sum := 0
	for _, pr := range pl.peers {
		sum += pr.inFlight
	}
	return sum
}

func (pl *Pool) eligible(ask Ask, healthy bool) []*peer {
	var open []*peer
	anyWell := false
	for _, pr := range pl.peers {
		if pr.leaving || slices.Contains(ask.Avoid, pr.ep.ID) {
			continue
		}
		if pr.benched == 0 {
			anyWell = true
		}
		if healthy && pr.benched != 0 || pl.own() && pr.inFlight >= pr.limiter.Limit() {
			continue
		}
		open = append(open, pr)
	}
	if !healthy && anyWell && pl.own() {
		// Well endpoints exist and are full: wait for one of them. Spilling
		// over to the benched would send them the whole excess.
		return nil
	}
	return open
}

// dueProbe finds a benched endpoint whose time to be tried has come. Only one
// request at a time is risked.
func (pl *Pool) dueProbe(ask Ask, now clock.Milli) *peer {
	if !pl.own() {
		return nil
	}
	for _, pr := range pl.peers {
		if pr.benched != 0 && !pr.probing && !pr.leaving && now >= pr.benched && !slices.Contains(ask.Avoid, pr.ep.ID) {
			return pr
		}
	}
	return nil
}

func (pl *Pool) take(pr *peer, ask Ask) Endpoint {
	pr.inFlight++
	pr.turns++
	if ask.Prefix != 0 {
		pr.remember(ask.Prefix)
	}
	return pr.ep
}

func (pl *Pool) choose(open []*peer, ask Ask, now clock.Milli) *peer {
	switch pl.plain {
	case Random, Within:
		return open[pl.rng.IntN(len(open))]
	case RoundRobin:
		return slices.MinFunc(open, func(x, y *peer) int { return x.turns - y.turns })
	case LeastReported:
		return slices.MinFunc(open, func(x, y *peer) int { return int(1000 * (x.reported - y.reported)) })
	}
	best := open[pl.rng.IntN(len(open))]
	second := open[pl.rng.IntN(len(open))]
	if pl.cost(second, ask, now) < pl.cost(best, ask, now) {
		best = second
	}
	if ask.Prefix == 0 || pl.plain == NoPrefix {
		return best
	}
	for _, pr := range open {
		if pr.warm(ask.Prefix) && pl.cost(pr, ask, now) < pl.cost(best, ask, now) {
			best = pr
		}
	}
	return best
}

// cost estimates the wait at an endpoint, in relative units: what is ahead of
// the request times how slowly the endpoint works.
func (pl *Pool) cost(pr *peer, ask Ask, now clock.Milli) float64 {
	load := float64(pr.inFlight)
	if pl.plain == Reports {
		load += pr.others(now)
	}
	if pr.ep.Zone != pl.zone {
		load += farPenalty
	}
	cost := (load + 1) * max(pr.latency, 1)
	if ask.Prefix != 0 && pr.warm(ask.Prefix) && pl.plain != NoPrefix {
		cost *= 1 - warmSaving
	}
	return cost
}

// others estimates the work that other instances have there: the report less
// our own part, counting less as it ages.
func (pr *peer) others(now clock.Milli) float64 {
	if pr.reportAt == 0 {
		return 0
	}
	age := float64(now - pr.reportAt)
	return pr.reported * reportHalf / (reportHalf + max(age, 0))
}

func (pr *peer) warm(prefix uint64) bool {
	_, ok := pr.prefixes[prefix]
	return ok
}

func (pr *peer) remember(prefix uint64) {
	if pr.warm(prefix) {
		return
	}
	pr.prefixes[prefix] = struct{}{}
	pr.recent = append(pr.recent, prefix)
	if len(pr.recent) > prefixMemory {
		delete(pr.prefixes, pr.recent[0])
		pr.recent = slices.Clone(pr.recent[1:])
	}
}
