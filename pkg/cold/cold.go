package cold

import "amaranthvalve/pkg/clock"

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason is why an endpoint is cold.
type Reason uint8

// Reasons.
const (
	// Started: it was listed for the first time, as a new name or a new run of a known one.
	Started Reason = iota + 1 // started
	// Reported: its entry or an answer says so.
	Reported // reported
	// Released: its data centre was released from an evacuation.
	Released // released
	// Told: another instance says so.
	Told // told
)

const (
	// goneRetention is how long an endpoint that is no longer listed is remembered. Its entry may
	// lapse for some seconds without a new start; presumed cold, all endpoints of a pool would be
	// limited at once after an outage of the store.
	goneRetention = 30 * clock.Second
	// spreadStep is the granularity of the times that instances spread. Instances that learn of the
	// same start within this time spread equal values, which gossip does not forward again.
	spreadStep = 500 * clock.Milli(1)
	// spreadMargin is how much later than learnt an end is spread. A move of the end by less is not
	// spread, and without the margin others would take the endpoint for warm too early.
	spreadMargin = 500 * clock.Milli(1)
)

// End is when an endpoint is warm again, and why it is cold until then.
type End struct {
	Until  clock.Milli
	Reason Reason
}

// Endpoint is a listed endpoint with what others say of it. Times that are zero are unknown.
type Endpoint struct {
	ID string
	// Span is how long the endpoint is cold after its start; zero if it is never cold.
	Span clock.Milli
	// ReleasedAt is when its data centre was released from an evacuation.
	ReleasedAt clock.Milli
	// ToldUntil is the end that another instance has spread.
	ToldUntil clock.Milli
}

// learnt is what this instance has learnt of an endpoint itself.
type learnt struct {
	startedAt     clock.Milli
	started       bool
	reportedUntil clock.Milli
	// entry is the entry read last.
	entry Entry
	// goneAt is when the endpoint was no longer listed.
	goneAt clock.Milli
	gone   bool
}

// Tracker remembers what an instance has learnt of endpoints. The zero value is empty. It is not safe
// for concurrent use.
type Tracker struct {
	listed bool
	byID   map[string]*learnt
}

// List records a list of endpoints. Those of the first list are not presumed cold: they may have
// started long ago.
func (trk *Tracker) List(ids []string, now clock.Milli) {
	if trk.byID == nil {
		trk.byID = map[string]*learnt{}
	}
	there := make(map[string]bool, len(ids))
	for _, id := range ids {
		there[id] = true
		lrn, known := trk.byID[id]
		if !known {
			lrn = &learnt{startedAt: now, started: trk.listed}
			trk.byID[id] = lrn
		}
		lrn.gone = false
	}
	for id, lrn := range trk.byID {
		switch {
		case there[id]:
		case !lrn.gone:
			lrn.gone, lrn.goneAt = true, now
		case now-lrn.goneAt > goneRetention:
			delete(trk.byID, id)
		}
	}
	trk.listed = true
}

// Entry is what an endpoint's entry in the store says: the remaining cold time when it was written.
// Offset identifies the entry: an endpoint that becomes cold again may write the same time twice.
type Entry struct {
	Left   clock.Milli
	Offset int64
}

// Entry records an endpoint's entry. The same entry is read several times, which does not prolong the
// time.
func (trk *Tracker) Entry(id string, ent Entry, now clock.Milli) {
	lrn, ok := trk.byID[id]
	if !ok || lrn.entry == ent {
		return
	}
	lrn.entry = ent
	trk.Answer(id, ent.Left, now)
}

// Answer records the remaining cold time that an endpoint names in an answer.
func (trk *Tracker) Answer(id string, left, now clock.Milli) {
	if lrn, ok := trk.byID[id]; ok && left > 0 {
		lrn.reportedUntil = max(lrn.reportedUntil, now+left)
	}
}

// Ends returns the endpoints of a list that are cold now, by ID; nil if there are none.
func (trk *Tracker) Ends(list []Endpoint, now clock.Milli) map[string]End {
	var ends map[string]End
	for _, ep := range list {
		if end := trk.end(ep); ep.Span > 0 && end.Until > now {
			if ends == nil {
				ends = map[string]End{}
			}
			ends[ep.ID] = end
		}
	}
	return ends
}

// end returns the latest end of an endpoint. Of equal ends, the reason is the one that this instance
// has learnt itself.
func (trk *Tracker) end(ep Endpoint) End {
	var end End
	later := func(until clock.Milli, why Reason) {
		if until > end.Until {
			end = End{until, why}
		}
	}
	if lrn, ok := trk.byID[ep.ID]; ok {
		if lrn.started {
			later(lrn.startedAt+ep.Span, Started)
		}
		later(lrn.reportedUntil, Reported)
	}
	if ep.ReleasedAt > 0 {
		later(ep.ReleasedAt+ep.Span, Released)
	}
	later(ep.ToldUntil, Told)
	return end
}

// ToSpread returns the remaining time to tell other instances about an endpoint that is cold until
// an instant, if they have last been told another one; false if that is late enough.
func ToSpread(until, toldUntil, now clock.Milli) (left clock.Milli, ok bool) {
	if until <= now || until <= toldUntil {
		return 0, false
	}
	return (until-now+spreadStep-1)/spreadStep*spreadStep + spreadMargin, true
}
