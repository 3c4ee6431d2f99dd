package soak

import (
	"slices"
	"time"
)

const (
	ratedFor = 10 * time.Second
	// rateWindow is the time over which an endpoint's requests are counted, rateTimes the
	// rate is what it may get then from instances that are well, and rateMore requests.
	rateWindow = 4 * time.Second
	rateTimes  = 1.5
	rateMore   = 5
)

// rates are those that endpoints name, in requests a second.
var rates = []float64{0.25, 0.5, 1}

// named is a span in which an endpoint named a rate.
type named struct {
	ep        *endpoint
	perSecond float64
	from      time.Time
	until     time.Time
}

// namesRate has an endpoint name a rate for a while.
func (wld *world) namesRate() {
	ep := wld.endpoint(0)
	if ep == nil {
		return
	}
	nmd := &named{ep: ep, perSecond: rates[wld.draw(len(rates))], from: time.Now(), until: time.Now().Add(ratedFor)}
	wld.mtx.Lock()
	if !ep.rated.Before(nmd.from) {
		wld.mtx.Unlock()
		return
	}
	ep.rated = nmd.until
	wld.named = append(wld.named, nmd)
	wld.mtx.Unlock()
	ep.SetRate(nmd.perSecond)
	time.Sleep(ratedFor)
	ep.Unname()
}

// judgeRates: from 3 s after an endpoint first named a rate it gets in any 4 s no more than one
// and a half times that and five requests, from instances that are well.
func (wld *world) judgeRates() {
	for _, nmd := range wld.named {
		var all []time.Time
		for _, run := range nmd.ep.Runs() {
			att := wld.attempts[run.ID]
			if att != nil && att.calm && run.At.Sub(nmd.from) > settleFor && run.At.Before(nmd.until) {
				all = append(all, run.At)
			}
		}
		slices.SortFunc(all, time.Time.Compare)
		most := 0
		for i, first := range all {
			count := 0
			for _, at := range all[i:] {
				if at.Sub(first) < rateWindow {
					count++
				}
			}
			most = max(most, count)
		}
		allowed := int(rateTimes*nmd.perSecond*rateWindow.Seconds()) + rateMore
		wld.note("%s named %v a second and got %d from instances that are well, %d of them in 4 s, %d allowed", nmd.ep.ID(), nmd.perSecond, len(all), most, allowed)
		if most > allowed {
			wld.breaks("rate: %s named %v a second and got %d in 4 s, %d allowed", nmd.ep.ID(), nmd.perSecond, most, allowed)
		}
	}
}
