package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case of the two slashes: a new version adds a route for all paths of a host. A consumer whose path begins with two
// slashes uses it. No engine may run a request with another path than the consumer's.

const (
	slashLead = 3 * time.Second
	slashTail = 8 * time.Second
	// slashApply is the time in which a version is in force.
	slashApply = 2 * time.Second
)

func slashDocument(version int, prefixes ...string) obj {
	doc := keyDocument(version, []string{"9dnn2ctnfzs989anu6ws"})
	var routes []obj
	for i, prefix := range prefixes {
		rte := obj{}
		for name, val := range doc["routes"].([]obj)[0] {
			rte[name] = val
		}
		rte["name"], rte["pathPrefix"] = fmt.Sprintf("r-%d", i+1), prefix
		routes = append(routes, rte)
	}
	doc["routes"] = routes
	return doc
}

func twoSlashes(trouble bool, rec *record) (broken bool, err error) {
	flt, err := newFleet(2, "a", "b")
	if err != nil {
		return false, err
	}
	defer flt.close()
	var mtx sync.Mutex
	runs := map[string]string{}
	for i := range 2 {
		eng := &engine{id: fmt.Sprintf("i-booking-%d", i+1), service: "booking", zone: flt.zones[i], slots: 6}
		eng.handle = func(req *http.Request, _ []byte) answer {
			id := req.Header.Get("Amaranthvalve-Request-Id")
			if id == "" {
				return answer{status: http.StatusOK, header: http.Header{"Amaranthvalve-Instance-Id": {eng.id}}}
			}
			rec.printf("run %s at %s: target %q, path %q, query %q, host %q", id, eng.id, req.RequestURI, req.URL.EscapedPath(), req.URL.RawQuery, req.Host)
			mtx.Lock()
			runs[id] = req.RequestURI
			mtx.Unlock()
			return eng.signed("booked")
		}
		if err := flt.startEngine(eng); err != nil {
			return false, err
		}
	}
	flt.store.put(topicOp, "config", slashDocument(3, "/confirm/"))
	if err := flt.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var grp sync.WaitGroup
	sent := map[string]string{}
	for _, path := range []string{"/confirm/block/7?crew=2", "//confirm/block/7?crew=2"} {
		con := newConsumer(flt)
		grp.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				rep := con.send(http.MethodPost, path, "9dnn2ctnfzs989anu6ws", `{"block":7}`, 4*time.Second, nil)
				rec.printf("request %s path %s sent %.3f answered %d signed=%v %v", rep.id, path, rep.sent.Sub(rec.began).Seconds(), rep.status, rep.signed, rep.err)
				mtx.Lock()
				sent[rep.id] = path
				mtx.Unlock()
			}
		})
	}
	time.Sleep(slashLead)
	if trouble {
		flt.store.put(topicOp, "config", slashDocument(7, "/confirm/", "/"))
		rec.printf("operator: version 7 adds a route with the prefix /, acknowledged")
	}
	time.Sleep(slashApply + slashTail)
	close(stop)
	grp.Wait()
	changed := 0
	for id, target := range runs {
		if path, ok := sent[id]; ok && path != target {
			changed++
			rec.printf("BROKEN UNASKED: request %s was sent with %s and ran with %s", id, path, target)
		}
	}
	rec.printf("ran: %d; with another path than the consumer's: %d", len(runs), changed)
	fmt.Printf("ran %d, with another path than the consumer's %d\n", len(runs), changed)
	if len(runs) == 0 {
		return false, errors.New("nothing ran")
	}
	return changed > 0, nil
}
