package route

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

// Verdict is how a piece of work at an endpoint ended, as far as the endpoint's
// health goes.
type Verdict int

// The verdicts.
const (
	// Good: answered, whatever the answer was.
	Good Verdict = iota
	// Overload: the endpoint refused or ran out of time.
	Overload
	// Broken: no connection, a cut one, or nonsense.
	Broken
	// Neutral: we gave the work up ourselves; nothing is learned.
	Neutral
)

// Finish notes the end of work that Pick placed.
func (pl *Pool) Finish(id string, ver Verdict, took, now clock.Milli) {
	pr, ok := pl.byID[id]
	if !ok {
		return
	}
	pr.inFlight--
	probe := pr.probing
	pr.probing = false
	switch ver {
	case Good:
		pl.good(pr, took, now, probe)
	case Overload:
		pr.limiter.Overloaded(now, took)
		pl.bad(pr, now, probe)
	case Broken:
		pl.bad(pr, now, probe)
	case Neutral:
	}
}

func (pl *Pool) good(pr *peer, took, now clock.Milli, probe bool) {
	pr.failures = 0
	pr.limiter.Succeeded(now, took, pr.inFlight+1)
	if probe {
		// The old average speaks of the time when it was slow.
		pr.latency, pr.samples = float64(took), 1
	} else {
		pr.sample(float64(took))
	}
	switch {
	case pl.isSlow(pr):
		pl.benchIt(pr, now)
	case probe || pr.benched != 0 && now >= pr.benched:
		pr.benched, pr.bench = 0, 0
	}
}

func (pr *peer) sample(took float64) {
	pr.samples++
	if pr.samples == 1 {
		pr.latency = took
		return
	}
	pr.latency += ewmaShare * (took - pr.latency)
}

func (pl *Pool) bad(pr *peer, now clock.Milli, probe bool) {
	pr.failures++
	if probe || pr.failures >= failuresToBench {
		pl.benchIt(pr, now)
	}
}

// benchIt takes an endpoint out. Its time doubles with each failed probe, so
// that one which stays ill costs one request in 16 s.
func (pl *Pool) benchIt(pr *peer, now clock.Milli) {
	pr.bench = min(max(2*pr.bench, benchFor), maxBench)
	pr.benched = now + pr.bench
}

// isSlow compares an endpoint with the median of the pool.
func (pl *Pool) isSlow(pr *peer) bool {
	if !pl.own() || pr.samples < minSamples && pr.benched == 0 || pr.latency < slowFloor {
		return false
	}
	return pr.latency > slowFactor*pl.median()
}

func (pl *Pool) median() float64 {
	var all []float64
	for _, pr := range pl.peers {
		if pr.samples > 0 && !pr.leaving {
			all = append(all, pr.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// Report notes an endpoint's own word on its load: requests queued or running
// there, of all instances. It was made at the instant at; older ones than the
// last are ignored.
func (pl *Pool) Report(id string, load float64, at clock.Milli) {
	pr, ok := pl.byID[id]
	if !ok || at <= pr.reportAt {
		return
	}
	pr.reported = max(0, load-float64(pr.inFlight))
	pr.reportAt = at
}

// Leave notes that an endpoint is leaving, by whatever word; it gets no new
// work from now on.
func (pl *Pool) Leave(id string) bool {
	pr, ok := pl.byID[id]
	if !ok || pr.leaving {
		return false
	}
	pr.leaving = true
	return true
}

// Evicted notes that an endpoint dropped a prefix from its cache. Such events
// are late and have gaps, so that a prefix not evicted may still be gone.
func (pl *Pool) Evicted(id string, prefix uint64) {
	if pr, ok := pl.byID[id]; ok {
		delete(pr.prefixes, prefix)
		pr.recent = slices.DeleteFunc(pr.recent, func(pfx uint64) bool { return pfx == prefix })
	}
}

// Standing is an endpoint's state for a person.
type Standing struct {
	ID       string  `json:"id"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	InFlight int     `json:"in_flight"`
	Limit    int     `json:"limit"`
	Latency  float64 `json:"latency_ms"`
	Benched  bool    `json:"benched"`
	Leaving  bool    `json:"leaving"`
}

// Standings lists the endpoints for a person.
func (pl *Pool) Standings() []Standing {
	list := make([]Standing, 0, len(pl.peers))
	for _, pr := range pl.peers {
		list = append(list, Standing{
			ID: pr.ep.ID, Addr: pr.ep.Addr, Zone: pr.ep.Zone, InFlight: pr.inFlight, Limit: pr.limiter.Limit(),
			Latency: pr.latency, Benched: pr.benched != 0, Leaving: pr.leaving,
		})
	}
	return list
}
