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

const (
	// poisonText is in the body of each poison request.
	poisonText     = "ends endpoints"
	poisonDuration = 10 * time.Second
	// minRepeatDelay and maxRepeatDelay bound the time between two repeats, minReplaceDelay and
	// maxReplaceDelay the time until a crashed endpoint is replaced.
	minRepeatDelay  = 40 * time.Millisecond
	maxRepeatDelay  = 150 * time.Millisecond
	minReplaceDelay = 200 * time.Millisecond
	maxReplaceDelay = 600 * time.Millisecond
	// After crashesAllowed endpoints have crashed under a request, steady instances may send it
	// to endpoints repeatsAllowed times at most.
	crashesAllowed = 3
	repeatsAllowed = 3
	quarantined    = `"quarantined"`
)

// poisonRequest is a request that crashes each endpoint that runs it.
type poisonRequest struct {
	requestKind
	body string
	// ids are its request IDs, crashes the times at which endpoints crashed.
	ids     []string
	crashes []time.Time
}

// sendPoison sends a poison request to drawn instances for poisonDuration, under a new ID each
// time.
func (sr *soakRun) sendPoison() {
	var posts []requestKind
	for _, knd := range requestKinds {
		if knd.method == http.MethodPost {
			posts = append(posts, knd)
		}
	}
	sr.mtx.Lock()
	psn := &poisonRequest{body: fmt.Sprintf("%s %d", poisonText, len(sr.poisons))}
	sr.poisons = append(sr.poisons, psn)
	sr.mtx.Unlock()
	psn.requestKind = posts[sr.drawInt(len(posts))]
	clr := sr.newCaller(2000 + len(sr.poisons))
	var wgr sync.WaitGroup
	for until := time.Now().Add(poisonDuration); time.Now().Before(until); time.Sleep(sr.drawDuration(minRepeatDelay, maxRepeatDelay)) {
		ins := sr.drawInstance()
		wgr.Add(1)
		go func() {
			defer wgr.Done()
			sender := *clr
			sr.mtx.Lock()
			sender.name = fmt.Sprintf("%s-d%d-%d", clr.name, len(sr.poisons), len(psn.ids))
			psn.ids = append(psn.ids, sender.name+"-1")
			sr.mtx.Unlock()
			sender.do(&attempt{requestKind: psn.requestKind, key: permanentKey, ins: ins, deadline: defaultDeadline, body: psn.body})
		}()
	}
	wgr.Wait()
}

// crashEndpoint ends an endpoint under a poison request and replaces it later.
func (sr *soakRun) crashEndpoint(ep *endpoint) {
	sr.mtx.Lock()
	if ep.gone {
		sr.mtx.Unlock()
		return
	}
	ep.gone = true
	sr.mtx.Unlock()
	ep.srv.Close()
	ep.proxy.close()
	time.AfterFunc(sr.drawDuration(minReplaceDelay, maxReplaceDelay), func() { sr.addEndpoint(ep.pool) })
	time.AfterFunc(entryExpiry, func() { sr.store.RemoveEndpoint(ep.ID()) })
}

// checkPoison checks that steady instances send a request under which three endpoints crashed to
// endpoints three more times at most, from settleTime after the third crash on, when all
// instances know of it.
func (sr *soakRun) checkPoison() {
	runs := map[string][]fake.Run{}
	for _, ep := range sr.eps {
		for _, run := range ep.Runs() {
			if run.Fault == fake.Crashes {
				runs[run.ID] = append(runs[run.ID], run)
			}
		}
	}
	for _, psn := range sr.poisons {
		var all []fake.Run
		for _, id := range psn.ids {
			all = append(all, runs[id]...)
		}
		slices.SortFunc(all, func(x, y fake.Run) int { return x.At.Compare(y.At) })
		late := 0
		for _, run := range all {
			if len(all) >= crashesAllowed && run.At.Sub(all[crashesAllowed-1].At) > settleTime && sr.attempts[run.ID].steady {
				late++
			}
		}
		sr.note("%q was sent %d times on route %s and crashed %d endpoints, %d of them from steady instances after it had to be quarantined", psn.body, len(psn.ids), psn.route, len(all), late)
		if late > repeatsAllowed {
			sr.violation("poison: %q crashed %d endpoints, %d of them from steady instances after it had to be quarantined", psn.body, len(all), late)
		}
	}
}

// checkQuarantine checks that only poison requests are refused as quarantined, and without a
// retry-after delay.
func (sr *soakRun) checkQuarantine(att *attempt) {
	if !strings.Contains(att.body, poisonText) && att.prompt == "" {
		sr.violation("quarantine: %s at %s was refused as quarantined: %s", att.id, att.ins.name, att.answer)
	}
	if att.header.Get("Retry-After") != "" {
		sr.violation("refusal: %s at %s was refused as quarantined, with Retry-After", att.id, att.ins.name)
	}
}
