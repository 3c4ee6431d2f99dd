package route

import (
	"math/rand/v2"
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/pace"
)

// Parameters of the selection.
const (
	// reportHalfAge is the age in milliseconds at which a load report has half its weight.
	reportHalfAge = 500.0
	// ewmaWeight is the weight of a new sample in the average latency.
	ewmaWeight = 0.2
	// slowFactor is the multiple of the pool's median latency above which an endpoint
	// is slow.
	slowFactor = 4.0
	// slowFloor is the latency in milliseconds below which no endpoint is slow, since
	// differences of a few milliseconds are scheduling noise.
	slowFloor = 20.0
	// minSamples is the number of latencies needed before an endpoint is judged.
	minSamples = 5
	// failuresToEject is the number of consecutive failures that eject an endpoint.
	failuresToEject = 3
	// minEjection is the time from the first ejection to a probe.
	minEjection = 2 * clock.Second
	// maxEjection bounds that time, which doubles with each failed probe.
	maxEjection = 16 * clock.Second
	// warmSaving is the share of the cost that a warm prefix saves.
	warmSaving = 0.5
	// maxPrefixes is the number of prefixes remembered for each endpoint.
	maxPrefixes = 256
	// remotePenalty is added to the load of an endpoint in another data centre. It is
	// small, as a millisecond of network delay matters little compared to a queue.
	remotePenalty = 0.25
)

// Endpoint is an endpoint in the instance list.
type Endpoint struct {
	ID      string
	Addr    string
	Zone    string
	Leaving bool
	// Withheld is set while the endpoint must be sent nothing. Unlike Leaving, a later Sync takes it back.
	Withheld bool
}

// peer is the state of one endpoint.
type peer struct {
	ep       Endpoint
	inFlight int
	limiter  limit.Adaptive
	// latency is the moving average in milliseconds.
	latency float64
	// usual is the moving average without what the endpoint's pace added to each sample, so that the cost
	// doesn't count a slow period both by its latencies and by the pace. It equals latency if the
	// endpoint reports no pace.
	usual    float64
	pace     pace.Pace
	samples  int
	failures int
	// ejectedUntil is the time of the next probe, zero if the endpoint isn't ejected;
	// ejection is the length of the current or last ejection.
	ejectedUntil clock.Milli
	ejection     clock.Milli
	probing      bool
	leaving      bool
	// reported is the load by other instances in the last report.
	reported float64
	reportAt clock.Milli
	// sent counts the requests sent, for round robin.
	sent int
	// prefixes are the prefixes probably cached, recent lists them in order of insertion.
	prefixes map[uint64]struct{}
	recent   []uint64
}

// Pool is the state of a pool of endpoints at one instance. Use [New] to make one. It is
// not safe for concurrent use.
type Pool struct {
	zone  string
	peers []*peer
	byID  map[string]*peer
	rng   *rand.Rand
	// policy is the selection policy; all but Full are baselines for measurements.
	policy Baseline
}

// Baseline is a selection policy that the default one is compared with.
type Baseline int

// Selection policies.
const (
	// Full is the default policy.
	Full Baseline = iota
	// Random selects any endpoint that is not leaving.
	Random
	// RoundRobin selects the endpoint with the fewest requests so far.
	RoundRobin
	// LeastReported selects the endpoint with the lowest reported load.
	LeastReported
	// Reports is Full with load reports in the cost, which gives no better results.
	Reports
	// NoPrefix is Full without regard to warm prefixes.
	NoPrefix
	// Within selects any endpoint that is below its limit.
	Within
	// NoPace is Full without regard to the reported pace.
	NoPace
)

// New returns an empty pool for an instance in a zone. rng makes the selection
// reproducible in tests.
func New(zone string, rng *rand.Rand) *Pool {
	return &Pool{zone: zone, rng: rng, byID: map[string]*peer{}}
}

// UseBaseline selects another policy, for measurements.
func (pl *Pool) UseBaseline(bas Baseline) { pl.policy = bas }

// adaptive reports whether the policy uses limits and ejection.
func (pl *Pool) adaptive() bool { return pl.policy == Full || pl.policy >= Reports }

// Sync replaces the endpoints and keeps the state of those that stay. An endpoint
// marked as leaving remains so, since the list lags behind the endpoint's own notice.
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

// Len returns the number of endpoints.
func (pl *Pool) Len() int { return len(pl.peers) }

// Ask holds the criteria for the selection of an endpoint.
type Ask struct {
	// Prefix is a hash of the prompt's prefix, zero for none.
	Prefix uint64
	// Avoid lists the IDs of endpoints that were already tried for this request.
	Avoid []string
}

// Pick selects an endpoint and counts the request as in flight there. It returns
// false if every endpoint is at its limit, leaving, withheld or avoided; the caller then queues
// or refuses the request.
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

// Begin counts a request as in flight at the given endpoint, whatever its limit; false if it is unknown
// leaving or withheld.
func (pl *Pool) Begin(id string) (Endpoint, bool) {
	pr, ok := pl.byID[id]
	if !ok || pr.isOut() {
		return Endpoint{}, false
	}
	return pl.take(pr, Ask{}), true
}

// Available reports whether an endpoint is available, apart from probes.
func (pl *Pool) Available(ask Ask) bool {
	return len(pl.eligible(ask, true)) > 0 || len(pl.eligible(ask, false)) > 0
}

// isOut reports whether the endpoint gets no new requests, whatever its health.
func (pr *peer) isOut() bool { return pr.leaving || pr.ep.Withheld }

// Usable counts the endpoints that are neither leaving nor withheld.
func (pl *Pool) Usable() int {
	n := 0
	for _, pr := range pl.peers {
		if !pr.isOut() {
			n++
		}
	}
	return n
}

// Capacity returns the sum of the limits of the healthy endpoints, or of all if none is
// healthy. Endpoints that are leaving or withheld are excluded.
func (pl *Pool) Capacity() int {
	healthy, all := 0, 0
	for _, pr := range pl.peers {
		if pr.isOut() {
			continue
		}
		all += pr.limiter.Limit()
		if pr.ejectedUntil == 0 {
			healthy += pr.limiter.Limit()
		}
	}
	if healthy == 0 {
		return all
	}
	return healthy
}

// InFlight returns the number of requests in flight from this instance.
func (pl *Pool) InFlight() int {
	sum := 0
	for _, pr := range pl.peers {
		sum += pr.inFlight
	}
	return sum
}

// eligible returns the endpoints that can take a request: the healthy ones, or, with
// healthy unset, all of them if none is healthy.
func (pl *Pool) eligible(ask Ask, healthy bool) []*peer {
	var open []*peer
	anyHealthy := false
	for _, pr := range pl.peers {
		if pr.isOut() || slices.Contains(ask.Avoid, pr.ep.ID) {
			continue
		}
		if pr.ejectedUntil == 0 {
			anyHealthy = true
		}
		if healthy && pr.ejectedUntil != 0 || pl.adaptive() && pr.inFlight >= pr.limiter.Limit() {
			continue
		}
		open = append(open, pr)
	}
	if !healthy && anyHealthy && pl.adaptive() {
		// All healthy endpoints are at their limits: wait for one of them. A
		// fallback to the ejected ones would send them the whole excess.
		return nil
	}
	return open
}

// dueProbe returns an ejected endpoint that is due for a probe, or nil. Each endpoint
// gets one probe at a time.
func (pl *Pool) dueProbe(ask Ask, now clock.Milli) *peer {
	if !pl.adaptive() {
		return nil
	}
	for _, pr := range pl.peers {
		if pr.ejectedUntil != 0 && !pr.probing && !pr.isOut() && now >= pr.ejectedUntil && !slices.Contains(ask.Avoid, pr.ep.ID) {
			return pr
		}
	}
	return nil
}

// take counts a request as in flight at an endpoint.
func (pl *Pool) take(pr *peer, ask Ask) Endpoint {
	pr.inFlight++
	pr.sent++
	if ask.Prefix != 0 {
		pr.remember(ask.Prefix)
	}
	return pr.ep
}

// choose selects one of the available endpoints by the policy.
func (pl *Pool) choose(open []*peer, ask Ask, now clock.Milli) *peer {
	switch pl.policy {
	case Random, Within:
		return open[pl.rng.IntN(len(open))]
	case RoundRobin:
		return slices.MinFunc(open, func(x, y *peer) int { return x.sent - y.sent })
	case LeastReported:
		return slices.MinFunc(open, func(x, y *peer) int { return int(1000 * (x.reported - y.reported)) })
	}
	best := open[pl.rng.IntN(len(open))]
	second := open[pl.rng.IntN(len(open))]
	if pl.cost(second, ask, now) < pl.cost(best, ask, now) {
		best = second
	}
	if ask.Prefix == 0 || pl.policy == NoPrefix {
		return best
	}
	for _, pr := range open {
		if pr.warm(ask.Prefix) && pl.cost(pr, ask, now) < pl.cost(best, ask, now) {
			best = pr
		}
	}
	return best
}

// cost estimates the delay at an endpoint in relative units: the load including this
// request, times the latency.
func (pl *Pool) cost(pr *peer, ask Ask, now clock.Milli) float64 {
	load := float64(pr.inFlight)
	if pl.policy == Reports {
		load += pr.otherLoad(now)
	}
	if pr.ep.Zone != pl.zone {
		load += remotePenalty
	}
	cost := (load + 1) * max(pr.usual, 1)
	cost *= pl.factor(pr, now)
	if ask.Prefix != 0 && pr.warm(ask.Prefix) && pl.policy != NoPrefix {
		cost *= 1 - warmSaving
	}
	return cost
}

// otherLoad estimates the load by other instances: the reported load less that of this
// instance, with a weight that falls with the age of the report.
func (pr *peer) otherLoad(now clock.Milli) float64 {
	if pr.reportAt == 0 {
		return 0
	}
	age := float64(now - pr.reportAt)
	return pr.reported * reportHalfAge / (reportHalfAge + max(age, 0))
}

// warm reports whether the endpoint probably caches a prefix.
func (pr *peer) warm(prefix uint64) bool {
	_, ok := pr.prefixes[prefix]
	return ok
}

// remember records a prefix as cached and drops the oldest one beyond the bound.
func (pr *peer) remember(prefix uint64) {
	if pr.warm(prefix) {
		return
	}
	pr.prefixes[prefix] = struct{}{}
	pr.recent = append(pr.recent, prefix)
	if len(pr.recent) > maxPrefixes {
		delete(pr.prefixes, pr.recent[0])
		pr.recent = slices.Clone(pr.recent[1:])
	}
}
