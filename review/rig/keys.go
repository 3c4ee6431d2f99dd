package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case of the last key: an operator takes away the keys of a tenant, one after the other. A request whose key was
// taken away must not run later than revokeMs after the store's ack, and one whose key no manifest ever held must
// not run at all.

const (
	revokeBound = 5 * time.Second
	keyGap      = 1500 * time.Millisecond
	keyLead     = 5 * time.Second
	keyTail     = 8 * time.Second
)

// keyUse is a request that ran, as its engine saw it.
type keyUse struct {
	at     time.Time
	tenant string
}

func keyDocument(version int, keys []string) obj {
	return obj{
		"version": version,
		"routes": []obj{{
			"name": "confirm", "host": "desk.example", "pathPrefix": "/confirm/", "routeType": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 300,
			"priority": 2, "service": "booking", "maxAttempts": 1, "public": false, "sessionAffinity": false, "resumable": false,
		}},
		"services": []obj{{"name": "booking", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   obj{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []obj{{"name": "crews", "apiKeys": keys, "priority": 1}},
	}
}

func lastKey(trouble bool, rec *record) (broken bool, err error) {
	flt, err := newFleet(3, "a", "b", "c")
	if err != nil {
		return false, err
	}
	defer flt.close()
	var mtx sync.Mutex
	runs := map[string]keyUse{}
	for i := range 3 {
		eng := &engine{id: fmt.Sprintf("i-booking-%d", i+1), service: "booking", zone: flt.zones[i], slots: 6}
		eng.handle = func(req *http.Request, _ []byte) answer {
			if req.URL.Path == "/health" {
				return answer{status: http.StatusOK, header: http.Header{"Amaranthvalve-Instance-Id": {eng.id}}}
			}
			id, tenant := req.Header.Get("Amaranthvalve-Request-Id"), req.Header.Get("Amaranthvalve-Tenant-Id")
			rec.printf("run %s at %s tenant=%q", id, eng.id, tenant)
			mtx.Lock()
			runs[id] = keyUse{at: time.Now(), tenant: tenant}
			mtx.Unlock()
			time.Sleep(20 * time.Millisecond)
			return eng.signed("booked " + id)
		}
		if err := flt.startEngine(eng); err != nil {
			return false, err
		}
	}
	first, second, never := "9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj", "zzzznever0held0zzzzz"
	keys := []string{first, second}
	version := 3
	flt.store.put(topicOp, "config", keyDocument(version, keys))
	if err := flt.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var grp sync.WaitGroup
	var sent sync.Map
	for _, key := range []string{first, second, never} {
		con := newConsumer(flt)
		grp.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				rep := con.send(http.MethodPost, "/confirm/block/7", key, `{"block":7}`, 4*time.Second, nil)
				sent.Store(rep.id, [2]any{key, rep.sent})
				rec.printf("request %s key=%s sent %.3f answered %d signed=%v %v", rep.id, key, rep.sent.Sub(rec.began).Seconds(), rep.status, rep.signed, rep.err)
			}
		})
	}
	time.Sleep(keyLead)
	gone := map[string]time.Time{}
	for len(keys) > 0 {
		if trouble {
			key := keys[len(keys)-1]
			keys = keys[:len(keys)-1]
			version += 4
			gone[key] = flt.store.put(topicOp, "config", keyDocument(version, keys))
			rec.printf("operator: version %d takes key %s away, acknowledged; %d keys are left", version, key, len(keys))
		} else {
			keys = keys[1:]
		}
		time.Sleep(keyGap)
	}
	time.Sleep(revokeBound + keyTail)
	close(stop)
	grp.Wait()
	late, foreign, fine := 0, 0, 0
	mtx.Lock()
	defer mtx.Unlock()
	for id, use := range runs {
		val, ok := sent.Load(id)
		if !ok {
			continue
		}
		key, at := val.([2]any)[0].(string), val.([2]any)[1].(time.Time)
		ack, revoked := gone[key]
		switch {
		case key == never:
			foreign++
			rec.printf("BROKEN ROUTE: request %s ran, no manifest ever held its key; tenant=%q", id, use.tenant)
		case revoked && at.Sub(ack) > revokeBound:
			late++
			rec.printf("BROKEN CONFIG: request %s was sent %.3f s after the ack that took its key away, and ran; tenant=%q", id, at.Sub(ack).Seconds(), use.tenant)
		default:
			fine++
		}
	}
	rec.printf("ran in order: %d; ran with a key that was taken away over %v before: %d; ran with a key that no manifest held: %d", fine, revokeBound, late, foreign)
	fmt.Printf("in order %d, with a revoked key %d, with an unknown key %d\n", fine, late, foreign)
	if fine == 0 {
		return false, errors.New("nothing ran")
	}
	return late+foreign > 0, nil
}
