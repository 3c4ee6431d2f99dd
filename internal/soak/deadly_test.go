package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthvalve/platform/fake"
)

// A deadly request ends each endpoint that runs it, and comes again and again under new names.
const (
	// deadlyText is in the body of each deadly request.
	deadlyText = "ends endpoints"
	deadlyFor  = 10 * time.Second
	// leastRepeat and mostRepeat bound the time between two repeats, leastBack and mostBack
	// that until another endpoint is there in place of one that ended.
	leastRepeat = 40 * time.Millisecond
	mostRepeat  = 150 * time.Millisecond
	leastBack   = 200 * time.Millisecond
	mostBack    = 600 * time.Millisecond
	// endsAllowed is how many endpoints may end under a request before its sending is counted,
	// and repeatsAllowed how often it may be sent then by instances that are well.
	endsAllowed    = 3
	repeatsAllowed = 3
	quarantined    = `"quarantined"`
)

// deadly is one such request.
type deadly struct {
	kind
	body string
	// ids are the names that it came under, ends the instants at which endpoints ended.
	ids  []string
	ends []time.Time
}

// deadlyRequest has one come for a while, to any instance.
func (wld *world) deadlyRequest() {
	var posts []kind
	for _, knd := range kinds {
		if knd.method == http.MethodPost {
			posts = append(posts, knd)
		}
	}
	wld.mtx.Lock()
	dly := &deadly{body: fmt.Sprintf("%s %d", deadlyText, len(wld.deadlies))}
	wld.deadlies = append(wld.deadlies, dly)
	wld.mtx.Unlock()
	dly.kind = posts[wld.draw(len(posts))]
	clr := wld.newCaller(2000 + len(wld.deadlies))
	var wgr sync.WaitGroup
	for until := time.Now().Add(deadlyFor); time.Now().Before(until); time.Sleep(wld.span(leastRepeat, mostRepeat)) {
		ins := wld.instance()
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			one := *clr
			wld.mtx.Lock()
			one.name = fmt.Sprintf("%s-d%d-%d", clr.name, len(wld.deadlies), len(dly.ids))
			dly.ids = append(dly.ids, one.name+"-1")
			wld.mtx.Unlock()
			one.do(&attempt{kind: dly.kind, key: mainKey, ins: ins, deadline: deadline, body: dly.body})
		}()
	}
	wgr.Wait()
}

// endsUnder ends an endpoint under a deadly request; another one comes later.
func (wld *world) endsUnder(ep *endpoint) {
	wld.mtx.Lock()
	if ep.gone {
		wld.mtx.Unlock()
		return
	}
	ep.gone = true
	wld.mtx.Unlock()
	ep.srv.Close()
	ep.wire.close()
	time.AfterFunc(wld.span(leastBack, mostBack), func() { wld.addEndpoint(ep.pool) })
	time.AfterFunc(lapseFor, func() { wld.store.RemoveEndpoint(ep.ID()) })
}

// judgeDeadly: a request under which three endpoints have ended is sent to endpoints at most
// three times more by instances that are well, later than all could know of it.
func (wld *world) judgeDeadly() {
	runs := map[string][]fake.Run{}
	for _, ep := range wld.eps {
		for _, run := range ep.Runs() {
			if run.Fault == fake.Ends {
				runs[run.ID] = append(runs[run.ID], run)
			}
		}
	}
	for _, dly := range wld.deadlies {
		var all []fake.Run
		for _, id := range dly.ids {
			all = append(all, runs[id]...)
		}
		slices.SortFunc(all, func(x, y fake.Run) int { return x.At.Compare(y.At) })
		late := 0
		for _, run := range all {
			if len(all) >= endsAllowed && run.At.Sub(all[endsAllowed-1].At) > settleFor && wld.attempts[run.ID].calm {
				late++
			}
		}
		wld.note("%q came %d times by %s, ended %d endpoints, %d of them counted", dly.body, len(dly.ids), dly.route, len(all), late)
		if late > repeatsAllowed {
			wld.breaks("ends: %q, under which %d endpoints ended, was sent to endpoints %d times more", dly.body, len(all), late)
		}
	}
}

// judgeQuarantine: only a deadly request is refused as one, without a time to come back.
func (wld *world) judgeQuarantine(att *attempt) {
	if !strings.Contains(att.body, deadlyText) {
		wld.breaks("innocent: %s at %s was quarantined: %s", att.id, att.ins.name, att.answer)
	}
	if att.header.Get("Retry-After") != "" {
		wld.breaks("refusal: %s at %s is quarantined, and told when to come back", att.id, att.ins.name)
	}
}
