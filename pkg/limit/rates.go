package limit

import "amaranthvalve/pkg/clock"

// minRate is the minimum rate in requests a second. An endpoint that declares less still
// gets this much, for without requests there are no answers in which it could raise the rate.
const minRate = 0.25

const (
	// takeoverPeriod is the time for which a new coordinator may use only takeoverShare of the
	// rates. The previous one may not know of the change yet, and the two together must stay
	// within 1.5 times the rate.
	takeoverPeriod = 5 * clock.Second
	takeoverShare  = 0.5
)

// CoordinatorShare returns the share of the endpoints' rates that their coordinator may use.
// unresponsive is the number of unresponsive instances that rank before this one as coordinators,
// term the time since this one took over. One unresponsive instance may still be coordinating for
// others; if there are two, it is more likely that this instance is partitioned.
func CoordinatorShare(unresponsive int, term clock.Milli) float64 {
	switch {
	case unresponsive > 1:
		return 0
	case unresponsive > 0 || term < takeoverPeriod:
		return takeoverShare
	}
	return 1
}

// Rates paces the requests to endpoints that declare a maximum rate. It is the generic cell rate
// algorithm with a burst of two: one request may be sent ahead of schedule, so that a slot that
// was not used in time isn't lost. The zero value limits nothing. It is not safe for concurrent
// use.
type Rates struct {
	byID map[string]*schedule
}

// schedule paces one endpoint, in fractional milliseconds: at 100 requests a second, whole
// milliseconds would be wrong by a tenth.
type schedule struct {
	// each is the interval between requests, next the scheduled time of the next one.
	each float64
	next float64
}

// Sync replaces the endpoints' rates, by endpoint ID. Endpoints that already had a rate keep
// their schedules.
func (rts *Rates) Sync(perSecond map[string]float64) {
	byID := make(map[string]*schedule, len(perSecond))
	for id, rate := range perSecond {
		sch, ok := rts.byID[id]
		if !ok {
			sch = &schedule{}
		}
		sch.each = float64(clock.Second) / max(rate, minRate)
		byID[id] = sch
	}
	rts.byID = byID
}

// Has reports whether an endpoint declares a rate.
func (rts *Rates) Has(id string) bool {
	_, ok := rts.byID[id]
	return ok
}

// Wait returns the time until the next request to an endpoint is allowed.
func (rts *Rates) Wait(id string, now clock.Milli) clock.Milli {
	sch, ok := rts.byID[id]
	if !ok || sch.next <= float64(now) {
		return 0
	}
	return clock.Milli(sch.next-float64(now)) + 1
}

// Interval returns the interval between requests to an endpoint; zero if it has no rate.
func (rts *Rates) Interval(id string) clock.Milli {
	if sch, ok := rts.byID[id]; ok {
		return clock.Milli(sch.each) + 1
	}
	return 0
}

// Take records a request to an endpoint by a sender that may use the given share of its rate.
func (rts *Rates) Take(id string, share float64, now clock.Milli) {
	sch, ok := rts.byID[id]
	if !ok {
		return
	}
	each := sch.each / share
	sch.next = max(sch.next, float64(now)-each) + each
}
