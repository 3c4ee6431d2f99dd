package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case of the lost machines: most machines of a deployment lose power at once, for good. The directory of those
// that run must not name them for longer than stableMs and 3 s.

const (
	lostNodes     = 8
	lostKilled    = 7
	lostBound     = 6 * time.Second
	lostAllowed   = 3
	lostLead      = 8 * time.Second
	lostTail      = 14 * time.Second
	lostConsumers = 16
)

func lostMachines(trouble bool, rec *record) (broken bool, err error) {
	flt, err := newFleet(lostNodes, "a", "b", "c", "d")
	if err != nil {
		return false, err
	}
	defer flt.close()
	for i := range 4 {
		eng := &engine{id: fmt.Sprintf("i-booking-%d", i+1), service: "booking", zone: flt.zones[i], slots: 6}
		eng.handle = func(req *http.Request, _ []byte) answer {
			if req.URL.Path == "/health" {
				return answer{status: http.StatusOK, header: http.Header{"Amaranthvalve-Instance-Id": {eng.id}}}
			}
			rec.printf("run %s at %s", req.Header.Get("Amaranthvalve-Request-Id"), eng.id)
			time.Sleep(20 * time.Millisecond)
			return eng.signed("booked")
		}
		if err := flt.startEngine(eng); err != nil {
			return false, err
		}
	}
	key := "9dnn2ctnfzs989anu6ws"
	flt.store.put(topicOp, "config", keyDocument(3, []string{key}))
	if err := flt.startAll(); err != nil {
		return false, err
	}
	var mtx sync.Mutex
	lostAt := map[string]time.Time{}
	late, asked := 0, 0
	// heard judges an answer of the directory of a node.
	heard := func(from string, addrs []string) {
		mtx.Lock()
		defer mtx.Unlock()
		asked++
		var named []string
		for _, addr := range addrs {
			if at, lost := lostAt[addr]; lost && time.Since(at) > lostBound {
				named = append(named, fmt.Sprintf("%s, lost %.3f s before", addr, time.Since(at).Seconds()))
			}
		}
		if len(named) > 0 && len(named) < len(addrs) {
			late++
			rec.printf("BROKEN DRAIN: the directory at %s names beside a running machine: %s", from, strings.Join(named, "; "))
		}
	}
	stop := make(chan struct{})
	var grp sync.WaitGroup
	for range lostConsumers {
		con := newConsumer(flt)
		con.heard = heard
		grp.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				rep := con.send(http.MethodPost, "/confirm/block/7", key, `{"block":7}`, 4*time.Second, nil)
				rec.printf("request %s sent %.3f answered %d %v", rep.id, rep.sent.Sub(rec.began).Seconds(), rep.status, rep.err)
			}
		})
	}
	time.Sleep(lostLead)
	if trouble {
		mtx.Lock()
		for _, nod := range flt.nodes[:lostKilled] {
			nod.signal(syscall.SIGKILL)
			lostAt[nod.front] = time.Now()
			rec.printf("disruption: %s at %s is lost for good", nod.name, nod.front)
		}
		mtx.Unlock()
	}
	time.Sleep(lostTail)
	close(stop)
	grp.Wait()
	rec.printf("answers of directories: %d; such that name a machine lost over %v before: %d", asked, lostBound, late)
	fmt.Printf("answers of directories %d, naming machines lost over %v before %d\n", asked, lostBound, late)
	if asked == 0 {
		return false, errors.New("no directory answered")
	}
	return late > lostAllowed, nil
}
