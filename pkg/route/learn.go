package route

import (
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/pace"
)

// Outcome is the outcome of an attempt with regard to the health of its endpoint.
type Outcome int

// Outcomes of an attempt.
const (
	// Success: the endpoint answered, with whatever status.
	Success Outcome = iota
	// Overload: the endpoint refused the request or timed out.
	Overload
	// Failure: no connection, a broken connection, or a malformed answer.
	Failure
	// Cancelled: this instance cancelled the attempt, which says nothing about the
	// endpoint.
	Cancelled
)

// Finish records the end of an attempt that [Pool.Pick] started.
func (pl *Pool) Finish(id string, out Outcome, took, now clock.Milli) {
	pr, ok := pl.byID[id]
	if !ok {
		return
	}
	pr.inFlight--
	probe := pr.probing
	pr.probing = false
	switch out {
	case Success:
		pl.onSuccess(pr, took, now, probe)
	case Overload:
		pr.limiter.Overloaded(now, took)
		pl.onFailure(pr, now, probe)
	case Failure:
		pl.onFailure(pr, now, probe)
	case Cancelled:
	}
}

func (pl *Pool) onSuccess(pr *peer, took, now clock.Milli, probe bool) {
	pr.failures = 0
	pr.limiter.Succeeded(now, took, pr.inFlight+1)
	if probe {
		// The old average dates from before the ejection.
		pr.samples = 0
	}
	pr.addLatency(float64(took), pl.factor(pr, now))
	switch {
	case pl.isSlow(pr):
		pl.eject(pr, now)
	case probe || pr.ejectedUntil != 0 && now >= pr.ejectedUntil:
		pr.ejectedUntil, pr.ejection = 0, 0
	}
}

// addLatency adds a sample that was measured while work took factor times as long as usual.
func (pr *peer) addLatency(took, factor float64) {
	pr.samples++
	if pr.samples == 1 {
		pr.latency, pr.usual = took, took/factor
		return
	}
	pr.latency += ewmaWeight * (took - pr.latency)
	pr.usual += ewmaWeight * (took/factor - pr.usual)
}

// factor returns by which factor the time at an endpoint differs from the usual, by its reported pace.
func (pl *Pool) factor(pr *peer, now clock.Milli) float64 {
	if pl.policy == NoPace {
		return 1
	}
	return pr.pace.Factor(now)
}

// ReportPace records how long work takes at an endpoint. A figure older than the last one is ignored. The
// figure that came with an answer is recorded before [Pool.Finish].
func (pl *Pool) ReportPace(id string, fig pace.Figure) {
	if pr, ok := pl.byID[id]; ok {
		pr.pace.Report(fig)
	}
}

func (pl *Pool) onFailure(pr *peer, now clock.Milli, probe bool) {
	pr.failures++
	if probe || pr.failures >= failuresToEject {
		pl.eject(pr, now)
	}
}

// eject ejects an endpoint. The time until the next probe doubles with each failed
// one, so that an endpoint that doesn't recover costs one request in 16 s.
func (pl *Pool) eject(pr *peer, now clock.Milli) {
	pr.ejection = min(max(2*pr.ejection, minEjection), maxEjection)
	pr.ejectedUntil = now + pr.ejection
}

// isSlow reports whether the latency of an endpoint is an outlier against the median
// of the pool.
func (pl *Pool) isSlow(pr *peer) bool {
	if !pl.adaptive() || pr.samples < minSamples && pr.ejectedUntil == 0 || pr.latency < slowFloor {
		return false
	}
	return pr.latency > slowFactor*pl.median()
}

// median returns the lower median of the measured latencies of endpoints that are not leaving.
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

// Report records the load that an endpoint reports: the requests of all instances
// that were queued or running there at the given time. A report that is not newer than
// the last one is ignored.
func (pl *Pool) Report(id string, load float64, at clock.Milli) {
	pr, ok := pl.byID[id]
	if !ok || at <= pr.reportAt {
		return
	}
	pr.reported = max(0, load-float64(pr.inFlight))
	pr.reportAt = at
}

// Pace returns by how much the reported pace of an endpoint scales its cost, in percent; 100 without a report.
func (pl *Pool) Pace(id string, now clock.Milli) int {
	if pr, ok := pl.byID[id]; ok {
		return pr.pace.Percent(now)
	}
	return pace.Usual
}

// Leave marks an endpoint as leaving, whatever the source of the notice. It gets no
// new requests. Leave reports whether this is a change.
func (pl *Pool) Leave(id string) bool {
	pr, ok := pl.byID[id]
	if !ok || pr.leaving {
		return false
	}
	pr.leaving = true
	return true
}

// Evicted records that an endpoint evicted a prefix from its cache. Eviction events are
// late and may be lost, so a prefix without one may have been evicted as well.
func (pl *Pool) Evicted(id string, prefix uint64) {
	if pr, ok := pl.byID[id]; ok {
		delete(pr.prefixes, prefix)
		pr.recent = slices.DeleteFunc(pr.recent, func(pfx uint64) bool { return pfx == prefix })
	}
}

// EndpointState is the state of an endpoint in the operators' view.
type EndpointState struct {
	ID       string  `json:"id"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	InFlight int     `json:"in_flight"`
	Limit    int     `json:"limit"`
	Latency  float64 `json:"latency_ms"`
	Ejected  bool    `json:"benched"`
	Leaving  bool    `json:"leaving"`
	Withheld bool    `json:"withheld,omitempty"`
}

// EndpointStates returns the state of all endpoints for operators.
func (pl *Pool) EndpointStates() []EndpointState {
	list := make([]EndpointState, 0, len(pl.peers))
	for _, pr := range pl.peers {
		list = append(list, EndpointState{
			ID: pr.ep.ID, Addr: pr.ep.Addr, Zone: pr.ep.Zone, InFlight: pr.inFlight, Limit: pr.limiter.Limit(),
			Latency: pr.latency, Ejected: pr.ejectedUntil != 0, Leaving: pr.leaving, Withheld: pr.ep.Withheld,
		})
	}
	return list
}
