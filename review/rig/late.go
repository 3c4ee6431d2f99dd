package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case of the late extra answer: now and then an engine of a stage answers a call twice, and the second answer
// arrives late, where the next response on the channel is expected. No request may be given inputs of another one.

const (
	stageEngines   = 5
	stageBatch     = 8
	stageCall      = 200 * time.Millisecond
	stageItem      = 21 * time.Millisecond
	stageQueue     = 2
	resultsKept    = 4 * time.Second
	piecesEach     = 6
	lateLength     = 30 * time.Second
	lateSpan       = 5 * time.Second
	latePause      = 200 * time.Millisecond
	lateShare      = 0.03
	lateEngines    = 3
	stageConsumers = 14
)

// made is a result of a stage: for which request and piece it was made.
type made struct {
	request string
	stage   int
	piece   int
	until   time.Time
}

// results has what the engines of the stage hold.
type results struct {
	mtx  sync.Mutex
	byID map[string]made
	next int
}

func (res *results) add(addr string, mad made) string {
	res.mtx.Lock()
	defer res.mtx.Unlock()
	res.next++
	name := fmt.Sprintf("%s/%08x", addr, res.next)
	res.byID[name] = mad
	return name
}

func (res *results) free(names []string) {
	res.mtx.Lock()
	defer res.mtx.Unlock()
	for _, name := range names {
		mad := res.byID[name]
		mad.until = time.Time{}
		res.byID[name] = mad
	}
}

func (res *results) find(name string) (mad made, there bool) {
	res.mtx.Lock()
	defer res.mtx.Unlock()
	mad = res.byID[name]
	return mad, time.Now().Before(mad.until)
}

// stageItems is the body of a call of a stage.
type stageItems struct {
	Items []struct {
		ID     string `json:"id"`
		Stage  int    `json:"stage"`
		Piece  int    `json:"piece"`
		LeftMs int64  `json:"leftMs"`
		Key    string `json:"key"`
	} `json:"items"`
}

// stageEngine returns the handler of an engine of the stage.
func stageEngine(eng *engine, res *results, rec *record) func(req *http.Request, body []byte) answer {
	slot := make(chan struct{}, 1)
	var waiting atomic.Int64
	return func(req *http.Request, body []byte) answer {
		switch req.URL.Path {
		case "/-/report":
			text, _ := json.Marshal(obj{"queued": waiting.Load(), "busy": len(slot) > 0, "freeMb": 18})
			return answer{status: http.StatusOK, body: text}
		case "/-/stage-free":
			var names struct {
				Handles []string `json:"handles"`
			}
			_ = json.Unmarshal(body, &names)
			res.free(names.Handles)
			return answer{status: http.StatusOK, body: []byte("{}")}
		case "/-/stage-run":
		default:
			return answer{status: http.StatusOK, header: http.Header{"Amaranthvalve-Instance-Id": {eng.id}}}
		}
		var call stageItems
		if json.Unmarshal(body, &call) != nil || len(call.Items) > stageBatch {
			return answer{status: http.StatusBadRequest}
		}
		arrived := time.Now()
		if waiting.Add(1) > 1+stageQueue {
			waiting.Add(-1)
			return notExecuted(http.StatusServiceUnavailable)
		}
		slot <- struct{}{}
		eng.running.Store(1)
		defer func() {
			waiting.Add(-1)
			eng.running.Store(0)
			<-slot
		}()
		items := make([]obj, len(call.Items))
		var run []string
		work := stageCall
		for i, itm := range call.Items {
			run = append(run, fmt.Sprintf("%s:%d", itm.ID, itm.Piece))
			if itm.LeftMs > 0 && time.Since(arrived) > time.Duration(itm.LeftMs)*time.Millisecond {
				items[i] = obj{"reason": "late"}
				continue
			}
			work += stageItem
		}
		time.Sleep(work)
		for i, itm := range call.Items {
			if items[i] == nil {
				items[i] = obj{"handle": res.add(eng.addr(), made{request: itm.ID, stage: itm.Stage, piece: itm.Piece, until: time.Now().Add(resultsKept)})}
			}
		}
		text, _ := json.Marshal(obj{"items": items})
		rec.printf("stage call at %s from %s: items %s answered %s", eng.id, req.RemoteAddr, strings.Join(run, " "), text)
		return answer{status: http.StatusOK, header: http.Header{"Content-Type": {"application/json"}}, body: text}
	}
}

func stageDocument() obj {
	return obj{
		"version": 3,
		"routes": []obj{{
			"name": "plan", "host": "desk.example", "pathPrefix": "/plan/", "routeType": "streaming", "timeoutMs": 8000, "targetLatencyMs": 1400,
			"priority": 1, "service": "planner", "maxAttempts": 1, "public": false, "sessionAffinity": true, "resumable": false, "gapAimMs": 400,
			"stages": []obj{{"service": "roster", "after": []int{}, "bytes": 8000}},
		}},
		"services": []obj{
			{"name": "planner", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false, "engine": obj{
				"slots": 64, "kvCapacity": 328764, "kvTokenBytes": 163840, "linkMbps": 550000.0, "moves": false, "backups": false, "stride": 3, "handleS": 5.0,
				"models": []obj{{"name": "m"}},
			}},
			{"name": "roster", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false, "pieces": obj{
				"slots": 1, "queue": stageQueue, "batch": stageBatch, "callMs": 200.0, "itemMs": 21.0, "roomMb": 18.0, "handleS": 4.0, "linkMbps": 10000,
			}},
		},
		"limits":  obj{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []obj{{"name": "crews", "apiKeys": []string{"9dnn2ctnfzs989anu6ws"}, "priority": 1}},
	}
}

// planner is a model engine: it checks which requests and pieces its inputs were made for.
type planner struct {
	eng   *engine
	res   *results
	rec   *record
	wrong *atomic.Int64
	right *atomic.Int64
}

func (pln *planner) handle(req *http.Request, _ []byte) answer {
	switch req.URL.Path {
	case "/-/kv-list":
		return answer{status: http.StatusOK, body: []byte(`{"epoch":1,"next":0,"held":[]}`)}
	case "/-/report":
		return answer{status: http.StatusOK, body: []byte(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":328764,"handles":0}`)}
	case "/health":
		return answer{status: http.StatusOK, header: http.Header{"Amaranthvalve-Instance-Id": {pln.eng.id}}}
	}
	id, inputs := req.Header.Get("Amaranthvalve-Request-Id"), req.Header.Get("Amaranthvalve-Inputs")
	if inputs == "" {
		return notExecuted(http.StatusBadRequest)
	}
	var foreign []string
	gone := 0
	for name := range strings.SplitSeq(inputs, ",") {
		mad, there := pln.res.find(name)
		if !there {
			gone++
		}
		if mad.request != id {
			foreign = append(foreign, fmt.Sprintf("%s was made for piece %d of %s", name, mad.piece, mad.request))
		}
	}
	if len(foreign) > 0 {
		pln.wrong.Add(1)
		pln.rec.printf("BROKEN MIXED: request %s at %s was given inputs of another request: %s (%d gone)", id, pln.eng.id, strings.Join(foreign, "; "), gone)
	}
	if gone > 0 {
		pln.rec.printf("not run %s at %s: %d inputs are gone", id, pln.eng.id, gone)
		return notExecuted(http.StatusConflict)
	}
	if len(foreign) == 0 {
		pln.right.Add(1)
	}
	pln.rec.printf("run %s at %s inputs=%s", id, pln.eng.id, inputs)
	ans := pln.eng.signed("")
	ans.gap = 20 * time.Millisecond
	for i := range 8 {
		ans.events = append(ans.events, fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, id))
	}
	return ans
}

func lateExtra(trouble bool, rec *record) (broken bool, err error) {
	flt, err := newFleet(3, "a", "b", "c")
	if err != nil {
		return false, err
	}
	defer flt.close()
	res := &results{byID: map[string]made{}}
	var active atomic.Int64
	var extras, wrong, right atomic.Int64
	for i := range stageEngines {
		eng := &engine{id: fmt.Sprintf("i-roster-%d", i+1), service: "roster", zone: flt.zones[i%3], slots: 1}
		eng.handle = stageEngine(eng, res, rec)
		eng.extra = func(req *http.Request) bool {
			if active.Load()&(1<<i) == 0 || rand.Float64() >= lateShare {
				return false
			}
			extras.Add(1)
			rec.printf("disruption: %s will send its answer to %s a second time, where the next is expected", eng.id, req.URL.Path)
			return true
		}
		if err := flt.startEngine(eng); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		eng := &engine{id: fmt.Sprintf("i-planner-%d", i+1), service: "planner", zone: flt.zones[i], slots: 64}
		eng.handle = (&planner{eng: eng, res: res, rec: rec, wrong: &wrong, right: &right}).handle
		if err := flt.startEngine(eng); err != nil {
			return false, err
		}
	}
	flt.store.put(topicOp, "config", stageDocument())
	if err := flt.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var grp sync.WaitGroup
	for i := range stageConsumers {
		con := newConsumer(flt)
		grp.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
				}
				more := http.Header{
					"Amaranthvalve-Pieces": {strconv.Itoa(piecesEach)}, "Amaranthvalve-Piece-Key": {fmt.Sprintf("%012x", rand.Uint64()>>16)},
					"Amaranthvalve-Model": {"m"}, "Amaranthvalve-Token-Usage": {"600,24"}, "Amaranthvalve-Prompt-Prefix": {fmt.Sprintf("5c1e07a2:400,%x:200", 1000000*(i+1)+n)},
				}
				rep := con.send(http.MethodPost, "/plan/draft", "9dnn2ctnfzs989anu6ws", fmt.Sprintf("plan %d %d", i, n), 8*time.Second, more)
				rec.printf("request %s sent %.3f answered %d signed=%v %v %.120q", rep.id, rep.sent.Sub(rec.began).Seconds(), rep.status, rep.signed, rep.err, firstLine(rep))
			}
		})
	}
	for until := time.Now().Add(lateLength); time.Now().Before(until); time.Sleep(latePause) {
		if trouble {
			var picked int64
			for _, i := range rand.Perm(stageEngines)[:lateEngines] {
				picked |= 1 << i
			}
			active.Store(picked)
		}
		time.Sleep(lateSpan)
		active.Store(0)
	}
	close(stop)
	grp.Wait()
	rec.printf("extra answers: %d; requests run with their own inputs: %d; given inputs of another request: %d", extras.Load(), right.Load(), wrong.Load())
	fmt.Printf("extra answers %d, run with their own inputs %d, given inputs of another request %d\n", extras.Load(), right.Load(), wrong.Load())
	if right.Load() == 0 {
		return false, errors.New("nothing ran")
	}
	return wrong.Load() > 0, nil
}

// firstLine returns the body of a refusal.
func firstLine(rep reply) string {
	if rep.status == http.StatusOK {
		return ""
	}
	return rep.body
}
