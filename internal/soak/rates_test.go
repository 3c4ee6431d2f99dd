package soak

import (
	"slices"
	"time"
)

const (
	rateDuration = 10 * time.Second
	// In each rateWindow an endpoint may get from steady instances rateFactor times its declared
	// rate, and rateBurst requests beyond that.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateBurst  = 5
)

// rates are the rates that endpoints declare, in requests per second.
var rates = []float64{0.25, 0.5, 1}

// declaredRate is a period in which an endpoint declared a rate.
type declaredRate struct {
	ep        *endpoint
	perSecond float64
	from      time.Time
	until     time.Time
}

// declareRate makes an endpoint declare a rate for rateDuration.
func (sr *soakRun) declareRate() {
	ep := sr.drawEndpoint(0)
	if ep == nil {
		return
	}
	dcl := &declaredRate{ep: ep, perSecond: rates[sr.drawInt(len(rates))], from: time.Now(), until: time.Now().Add(rateDuration)}
	sr.mtx.Lock()
	if !ep.ratedUntil.Before(dcl.from) {
		sr.mtx.Unlock()
		return
	}
	ep.ratedUntil = dcl.until
	sr.declaredRates = append(sr.declaredRates, dcl)
	sr.mtx.Unlock()
	ep.SetRate(dcl.perSecond)
	time.Sleep(rateDuration)
	ep.ClearRate()
}

// checkRates checks that from settleTime after an endpoint first declared a rate, steady
// instances send it in any rateWindow no more than one and a half times that rate and five
// requests.
func (sr *soakRun) checkRates() {
	for _, dcl := range sr.declaredRates {
		var all []time.Time
		for _, run := range dcl.ep.Runs() {
			att := sr.attempts[run.ID]
			if att != nil && att.steady && run.At.Sub(dcl.from) > settleTime && run.At.Before(dcl.until) {
				all = append(all, run.At)
			}
		}
		slices.SortFunc(all, time.Time.Compare)
		maxCount := 0
		for i, first := range all {
			count := 0
			for _, at := range all[i:] {
				if at.Sub(first) < rateWindow {
					count++
				}
			}
			maxCount = max(maxCount, count)
		}
		allowed := int(rateFactor*dcl.perSecond*rateWindow.Seconds()) + rateBurst
		sr.note("%s declared %v requests/s and got %d from steady instances, at most %d in 4 s, %d allowed", dcl.ep.ID(), dcl.perSecond, len(all), maxCount, allowed)
		if maxCount > allowed {
			sr.violation("rate: %s declared %v requests/s and got %d in 4 s, %d allowed", dcl.ep.ID(), dcl.perSecond, maxCount, allowed)
		}
	}
}
