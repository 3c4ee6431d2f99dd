package main

import (
	"time"
)

// changedPaths sends requests whose path begins with an empty segment to a route for all paths of a host.
func changedPaths(flt *fleet, trouble bool) (int, error) {
	flt.store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-all", "host": "pule25.example", "pathPrefix": "/", "routeType": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 300,
			"priority": 0, "service": "wuno96b", "maxAttempts": 2, "public": true, "sessionAffinity": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "wuno96b", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var engines []*engine
	for _, zone := range []string{"hall-a", "hall-b"} {
		eng, err := startEngine(flt, "i-"+zone, "wuno96b", zone, 6, 20*time.Millisecond)
		if err != nil {
			return noResult, err
		}
		engines = append(engines, eng)
	}
	if err := flt.start("hall-a", "hall-b", "hall-c"); err != nil {
		return noResult, err
	}
	targets := []string{"/wuhu344/2f", "/wuhu344//2f?day=3", "/wuhu344/2f//"}
	if trouble {
		targets = append(targets, "//wuhu344/2f", "//wuhu344/2f?day=3")
	}
	asked := map[string]string{}
	for i := range 30 {
		rqs := request{id: newID(), method: "GET", target: targets[i%len(targets)], host: "pule25.example", deadline: 4 * time.Second}
		asked[rqs.id] = rqs.target
		flt.rec.logf("consumer sends %s: GET %s, Host %s", rqs.id, rqs.target, rqs.host)
		flt.rec.logf("consumer gets for %s: %s", rqs.id, send(flt.front(i), rqs))
		time.Sleep(50 * time.Millisecond)
	}
	ran, changed := 0, 0
	for id, list := range all(engines...) {
		for _, one := range list {
			ran++
			if one.target != asked[id] || one.host != "pule25.example" {
				changed++
			}
		}
	}
	flt.rec.say("%d requests sent, %d ran", len(asked), ran)
	flt.rec.say("UNASKED: %d requests ran with another target or host than the consumer's", changed)
	switch {
	case ran == 0:
		return noResult, nil
	case changed > 0:
		return broken, nil
	}
	return held, nil
}
