package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "pule25.example"

// limits are those of the pages' example.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// booking is a manifest with a route for bookings, which may run once, and one tenant.
func booking(version int, prefix string, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-booking", "host": host, "pathPrefix": prefix, "routeType": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 300,
			"priority": 2, "service": "booking-api", "maxAttempts": 1, "public": false, "sessionAffinity": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": "booking-api", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   limits,
		"tenants":  []map[string]any{{"name": "bozi300", "apiKeys": keys, "priority": 1}},
	}
}

// ledger records what engines ran.
type ledger struct {
	mtx  sync.Mutex
	runs map[string][]string
}

func (ldg *ledger) add(id, what string) {
	ldg.mtx.Lock()
	defer ldg.mtx.Unlock()
	if ldg.runs == nil {
		ldg.runs = map[string][]string{}
	}
	ldg.runs[id] = append(ldg.runs[id], what)
}

func (ldg *ledger) of(id string) []string {
	ldg.mtx.Lock()
	defer ldg.mtx.Unlock()
	return ldg.runs[id]
}

// startBooking starts a store, four booking engines and three machines.
func startBooking(bed *testbed, sto *store, manifest map[string]any, handle func(eng *engine, arv *arrival) string) error {
	addr, err := bed.startStore(sto)
	if err != nil {
		return err
	}
	sto.put("keyed.op", "config", manifest)
	for i := range 4 {
		eng := &engine{id: fmt.Sprintf("i-b00%d", i), service: "booking-api", zone: zones[i%len(zones)], slots: 6}
		eng.handle = func(arv *arrival) string {
			if arv.req.URL.Path == "/health" {
				return response(200, map[string]string{"Amaranthvalve-Instance-Id": eng.id}, "")
			}
			if arv.req.Header.Get(hdrID) == "" {
				return response(400, map[string]string{hdrNotRun: "1"}, "")
			}
			return handle(eng, arv)
		}
		if err := bed.startEngine(sto, 101+i, eng); err != nil {
			return err
		}
	}
	return bed.startNodes(3, addr)
}

// revokeWait is how long after the ack of the manifest the requests are sent: revokeMs and two seconds.
const revokeWait = 7 * time.Second

func init() { cases["keys"] = runKeys }

// runKeys takes the two keys of the only tenant away, one after the other, and sends requests with them later than
// revokeMs after the ack. Without the disruption one of the keys stays.
func runKeys(bed *testbed, trouble bool) ([]string, error) {
	sto, ran := newStore(), &ledger{}
	first, second := "9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj"
	err := startBooking(bed, sto, booking(7, "/bobo563/", first, second), func(eng *engine, arv *arrival) string {
		id := arv.req.Header.Get(hdrID)
		ran.add(id, eng.id)
		bed.note("engine %s runs %s %q, tenant %q", eng.id, id, arv.line, arv.req.Header.Get(hdrTenant))
		time.Sleep(60 * time.Millisecond)
		return eng.signed(arv, 200, "text/plain", "booked "+id)
	})
	if err != nil {
		return nil, err
	}
	seq := 0
	send := func(nod *node, key string) (string, answer) {
		seq++
		rqs := request{method: "POST", path: "/bobo563/lo7/2f", host: host, id: fmt.Sprintf("req-%04d", seq), key: key, body: "book", deadline: 4 * time.Second}
		bed.note("consumer sends %s to %s with key %q", rqs.id, nod.ip, key)
		ans := exchange(nod.front, rqs, 5*time.Second)
		bed.note("consumer gets %d for %s, signature %q", ans.status, rqs.id, ans.signature)
		return rqs.id, ans
	}
	for _, nod := range bed.nodes {
		for _, key := range []string{first, second} {
			if _, ans := send(nod, key); ans.status != 200 {
				return nil, fmt.Errorf("before the change: status %d, %v", ans.status, ans.err)
			}
		}
		if _, ans := send(nod, "never-held"); ans.status != 401 {
			return nil, fmt.Errorf("before the change, a key that was never held: status %d, want 401", ans.status)
		}
	}
	sto.put("keyed.op", "config", booking(9, "/bobo563/", second))
	bed.note("ack of version 9: key %q is taken away", first)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		sto.put("keyed.op", "config", booking(12, "/bobo563/"))
		bed.note("ack of version 12: key %q is taken away", second)
	}
	time.Sleep(revokeWait)
	revoked := []string{first}
	if trouble {
		revoked = append(revoked, second)
	}
	var broken []string
	for range 5 {
		for _, nod := range bed.nodes {
			for _, key := range append(revoked, "never-held") {
				if id, _ := send(nod, key); len(ran.of(id)) > 0 {
					why := "CONFIG: sent over revokeMs after the ack of the manifest that took its key away, and ran"
					if key == "never-held" {
						why = "ROUTE: ran with a key that no manifest ever held"
					}
					broken = append(broken, fmt.Sprintf("%s %s at %s", id, why, strings.Join(ran.of(id), ", ")))
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return broken, nil
}
