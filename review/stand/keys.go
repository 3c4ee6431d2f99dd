package main

import (
	"sync"
	"time"
)

// sent is an attempt of a consumer with its answer.
type sent struct {
	request
	at  time.Time
	ans answer
}

// lastKeys takes away the two keys of the only tenant, one after the other, and goes on sending with them.
func lastKeys(flt *fleet, trouble bool) (int, error) {
	const neverHeld = "k-never-held"
	keys := []string{"9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj"}
	manifest := func(version int, keys []string) map[string]any {
		return map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "r-book", "host": "jepu9.example", "pathPrefix": "/bobo563/", "routeType": "non_idempotent", "timeoutMs": 4000, "targetLatencyMs": 300,
				"priority": 0, "service": "wuno96b", "maxAttempts": 2, "public": false, "sessionAffinity": false, "resumable": false,
			}},
			"services": []any{map[string]any{"name": "wuno96b", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"tenants":  []any{map[string]any{"name": "bozi300", "apiKeys": keys, "priority": 1}},
		}
	}
	flt.store.put("keyed.op", "config", manifest(7, keys))
	var engines []*engine
	for _, zone := range []string{"hall-a", "hall-b"} {
		eng, err := startEngine(flt, "i-"+zone, "wuno96b", zone, 6, 60*time.Millisecond)
		if err != nil {
			return noResult, err
		}
		engines = append(engines, eng)
	}
	if err := flt.start("hall-a", "hall-b", "hall-c"); err != nil {
		return noResult, err
	}

	var mtx sync.Mutex
	var wait sync.WaitGroup
	var list []sent
	taken := map[string]time.Time{}
	stop := time.Now().Add(25 * time.Second)
	for i, key := range append(keys, neverHeld) {
		wait.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				rqs := request{id: newID(), method: "POST", target: "/bobo563/lo7/2f", host: "jepu9.example", key: key, deadline: 4 * time.Second, body: "one booking"}
				at := time.Now()
				flt.rec.logf("consumer %d sends %s with the key %s", i, rqs.id, key)
				ans := send(flt.front(n), rqs)
				flt.rec.logf("consumer %d gets for %s: %s", i, rqs.id, ans)
				mtx.Lock()
				list = append(list, sent{request: rqs, at: at, ans: ans})
				mtx.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		taken[keys[0]] = flt.store.put("keyed.op", "config", manifest(11, keys[1:]))
		flt.rec.logf("operator: version 11 without the key %s is acknowledged", keys[0])
		time.Sleep(1500 * time.Millisecond)
		taken[keys[1]] = flt.store.put("keyed.op", "config", manifest(14, []string{}))
		flt.rec.logf("operator: version 14 without the key %s is acknowledged; the tenant has lost all its keys", keys[1])
	}
	wait.Wait()

	runs := all(engines...)
	served, late, foreign, lateSent := 0, 0, 0, 0
	for _, one := range list {
		ran := len(runs[one.id]) > 0
		ack, was := taken[one.key]
		switch {
		case one.key == neverHeld:
			if ran {
				foreign++
			}
		case was && one.at.Sub(ack) > revokeMs*time.Millisecond:
			lateSent++
			if ran {
				late++
			}
		case ran:
			served++
		}
	}
	flt.rec.say("%d requests; %d ran under a key in force", len(list), served)
	flt.rec.say("CONFIG: %d of %d requests sent later than %d ms after the ack that took their key away ran", late, lateSent, revokeMs)
	flt.rec.say("ROUTE: %d requests ran whose key no manifest ever held", foreign)
	if served == 0 {
		flt.rec.say("nothing was served at all")
		return noResult, nil
	}
	if late > 0 || foreign > 0 {
		return broken, nil
	}
	return held, nil
}
