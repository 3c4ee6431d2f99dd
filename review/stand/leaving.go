package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	drainMs  = 2000
	stableMs = 3000
)

// leavingEngines stops, in each round, the instance that read the list of engines last, as the platform does for a
// planned stop, and starts it again; 0.6 s after the signal one of four engines says that it leaves.
func leavingEngines(flt *fleet, trouble bool) (int, error) {
	const service = "wuno96b"
	flt.store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-log", "host": "pule25.example", "pathPrefix": "/wuhu344/", "routeType": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 300,
			"priority": 0, "service": service, "maxAttempts": 2, "public": true, "sessionAffinity": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	zones := []string{"hall-a", "hall-b", "hall-c", "hall-d", "hall-a", "hall-b", "hall-c", "hall-d"}
	var engines []*engine
	add := func() error {
		eng, err := startEngine(flt, fmt.Sprintf("i-%04d", len(engines)), service, zones[len(engines)%4], 6, 20*time.Millisecond)
		engines = append(engines, eng)
		return err
	}
	for range 4 {
		if err := add(); err != nil {
			return noResult, err
		}
	}
	if err := flt.start(zones...); err != nil {
		return noResult, err
	}

	var mtx sync.Mutex
	via := map[string]*node{}
	calm := map[*node]time.Time{}
	leftAt := map[string]time.Time{}
	stop := time.Now().Add(85 * time.Second)
	var wait sync.WaitGroup
	served := 0
	for _, nod := range flt.nodes {
		wait.Go(func() {
			for time.Now().Before(stop) {
				rqs := request{id: newID(), method: http.MethodGet, target: "/wuhu344/2f", host: "pule25.example", deadline: 4 * time.Second}
				mtx.Lock()
				via[rqs.id] = nod
				mtx.Unlock()
				ans := send(nod.front, rqs)
				flt.rec.logf("consumer has sent %s to %s and got: %s", rqs.id, nod.name, ans)
				mtx.Lock()
				if ans.status == http.StatusOK {
					served++
				}
				mtx.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	type late struct {
		run run
		nod *node
	}
	var lates []late
	arrived := func(one run) {
		mtx.Lock()
		defer mtx.Unlock()
		ack, leaves := leftAt[one.engine]
		nod := via[one.id]
		if !leaves || one.at.Sub(ack) <= drainMs*time.Millisecond || one.at.Sub(calm[nod]) <= stableMs*time.Millisecond {
			return
		}
		lates = append(lates, late{one, nod})
		flt.rec.logf("DRAIN: %s reaches %s %d ms after the ack that it leaves, from %s", one.id, one.engine, one.at.Sub(ack).Milliseconds(), nod.name)
	}
	watch := func(eng *engine) {
		eng.mtx.Lock()
		eng.onRun = arrived
		eng.mtx.Unlock()
	}
	for _, eng := range engines {
		watch(eng)
	}
	rounds := 0
	for ; time.Until(stop) > 14*time.Second; rounds++ {
		time.Sleep(3 * time.Second)
		// The new engine starts first.
		if err := add(); err != nil {
			return noResult, err
		}
		watch(engines[len(engines)-1])
		time.Sleep(2 * time.Second)
		nod := flt.lastReader()
		if trouble {
			flt.rec.logf("platform: SIGTERM to %s, which read the list of engines last", nod.name)
			mtx.Lock()
			calm[nod] = time.Now().Add(time.Hour)
			mtx.Unlock()
			_ = nod.cmd.Process.Signal(syscall.SIGTERM)
		}
		time.Sleep(600 * time.Millisecond)
		old := engines[rounds]
		ack := old.leave()
		mtx.Lock()
		leftAt[old.id] = ack
		mtx.Unlock()
		flt.rec.logf("engine %s is draining: acknowledged", old.id)
		time.Sleep(5 * time.Second)
		old.end()
		flt.rec.logf("engine %s has ended", old.id)
		if trouble {
			flt.restart(nod)
			mtx.Lock()
			calm[nod] = time.Now()
			mtx.Unlock()
			flt.rec.logf("platform: %s has ended and was started again", nod.name)
		}
	}
	wait.Wait()
	flt.rec.say("%d rounds, %d requests answered with 200", rounds, served)
	flt.rec.say("DRAIN: %d requests, taken by instances in touch, reached an engine later than %d ms after the ack that it leaves", len(lates), drainMs)
	switch {
	case served == 0 || rounds == 0:
		return noResult, nil
	case len(lates) > 0:
		return broken, nil
	}
	return held, nil
}
