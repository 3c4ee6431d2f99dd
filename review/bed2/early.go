package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Sizes and bounds of the case "early".
const (
	earlyEvents = 8
	earlyGap    = 900 * time.Millisecond
	// earlyRequests requests of each of the four zones are sent, one each earlyPause.
	earlyRequests = 8
	earlyPause    = time.Second
	// stillAtWork is how long after the begin at another engine the engine before may still be at work.
	stillAtWork = 400 * time.Millisecond
)

// earlyCase plays the case "early": engines answer before they have read a long body, keep the channel and read on later.
func earlyCase(rec *record, troubled bool) (broken bool, err error) {
	zones := []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	dep, err := newDeployment(zones)
	if err != nil {
		return false, err
	}
	defer dep.close()
	var engines []*modelEngine
	for i := range 12 {
		eng, err := newModelEngine(fmt.Sprintf("i-%d", i+1), 64, earlyEvents, earlyGap)
		if err != nil {
			return false, err
		}
		eng.late = troubled
		engines = append(engines, eng)
		dep.store.put("keyed.servers", eng.id, eng.entry("planner-llm", zones[i%4]))
	}
	dep.store.put("keyed.op", "config", streamManifest(map[string]any{"pathPrefix": "/chat/", "timeoutMs": 20000, "maxAttempts": 2, "resumable": true}))
	if err := dep.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte('a' + rand.IntN(26))
	}
	var grp sync.WaitGroup
	for i, zone := range zones {
		cns := &consumers{zone: zone, host: "desk.example", path: "/chat/1", prefix: string(rune('a'+i)) + "-", failed: map[string]time.Time{}, directories: dep.directories(zone, 0)}
		for k := range earlyRequests {
			grp.Go(func() {
				time.Sleep(time.Duration(k) * earlyPause)
				att, got := cns.sendStream(body, earlyEvents, 20*time.Second)
				rec.detail("%6.3f s  %s sent to %s: %d, %d of %d events, %s", att.at.Sub(began).Seconds(), att.id, att.front, att.status, got, earlyEvents, att.err)
			})
		}
	}
	grp.Wait()
	time.Sleep(2 * time.Second)
	return judgeTwice(rec, began, engines), nil
}

// streamManifest returns a manifest with one streaming route to model engines.
func streamManifest(route map[string]any) map[string]any {
	all := map[string]any{
		"name": "r-1", "host": "desk.example", "routeType": "streaming", "targetLatencyMs": 1900, "gapAimMs": 600,
		"priority": 2, "service": "planner-llm", "public": true, "sessionAffinity": true, "stages": []any{},
	}
	for name, val := range route {
		all[name] = val
	}
	return map[string]any{
		"version": 3, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"services": []any{map[string]any{
			"name": "planner-llm", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": kvCapacity, "kvTokenBytes": 163840, "linkMbps": 550000.0, "moves": true, "stride": 3, "most": 12, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}},
		}},
		"routes": []any{all},
	}
}

// judgeTwice checks the rule TWICE for model engines: whether a request went on at another engine while the engine before
// still worked on it 400 ms later.
func judgeTwice(rec *record, began time.Time, engines []*modelEngine) bool {
	byID := map[string][]run{}
	count := 0
	for _, eng := range engines {
		eng.mtx.Lock()
		for _, rn := range eng.runs {
			byID[rn.id] = append(byID[rn.id], rn)
			count++
		}
		eng.mtx.Unlock()
	}
	bad := 0
	var ids []string
	for id := range byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		list := byID[id]
		slices.SortFunc(list, func(x, y run) int { return x.began.Compare(y.began) })
		for i, rn := range list {
			rec.detail("%s runs at %s from %.3f s to %.3f s, after event %q, %d events, whole: %v", id, rn.engine, rn.began.Sub(began).Seconds(), rn.ended.Sub(began).Seconds(), rn.after, rn.events, rn.whole)
			if i > 0 && list[i-1].engine != rn.engine && list[i-1].ended.Sub(rn.began) > stillAtWork {
				bad++
				rec.detail("%s: %s was still at work %d ms after %s began", id, list[i-1].engine, list[i-1].ended.Sub(rn.began).Milliseconds(), rn.engine)
			}
		}
	}
	rec.printf("%d requests ran %d times; %d times the engine before was still at work %v after another one had begun", len(byID), count, bad, stillAtWork)
	if bad > 0 {
		rec.printf("TWICE is broken")
	} else {
		rec.printf("TWICE holds")
	}
	return bad > 0
}
