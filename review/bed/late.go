package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["late"] = runLate }

// The disruption is that of the site file: 0.6 of the engines at most, 0.03 of their answers, 5 s; it comes again.
const (
	lateRun    = 60 * time.Second
	lateShare  = 0.03
	lateSpell  = 5 * time.Second
	latePeriod = 6 * time.Second
	// perStage is the number of engines of each stage, of which spoiling hand out extra responses.
	perStage = 4
	spoiling = 2
	// consumers is the number of consumers, each of which has one request under way.
	consumers = 24
	// callTime and itemTime are how long a call of a stage takes.
	callTime = 200 * time.Millisecond
	itemTime = 21 * time.Millisecond
)

// stage is one stage of the route as the case plays it: its service and its number of pieces.
type stage struct {
	service string
	pieces  int
}

var stages = []stage{{"roster-api", 2}, {"notice-feed", 4}}

// staged is a manifest with a streaming route that has two stages.
func staged() map[string]any {
	pieces := func(batch int, callMs, itemMs, roomMB float64) map[string]any {
		return map[string]any{"slots": 1, "queue": 2, "batch": batch, "callMs": callMs, "itemMs": itemMs, "roomMb": roomMB, "handleS": 4.0, "linkMbps": 10000}
	}
	svc := func(name string, more map[string]any) map[string]any {
		all := map[string]any{"name": name, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false}
		for key, val := range more {
			all[key] = val
		}
		return all
	}
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-plan", "host": host, "pathPrefix": "/puxa400/", "routeType": "streaming", "timeoutMs": 8000, "targetLatencyMs": 2000, "priority": 1,
			"service": "planner-llm", "maxAttempts": 1, "public": false, "sessionAffinity": true, "resumable": false, "gapAimMs": 400,
			"stages": []map[string]any{{"service": "roster-api", "after": []int{}, "bytes": 8000}, {"service": "notice-feed", "after": []int{0}, "bytes": 60000}},
		}},
		"services": []map[string]any{
			svc("planner-llm", map[string]any{"engine": map[string]any{"slots": 64, "kvCapacity": 328764, "kvTokenBytes": 163840, "linkMbps": 550000.0, "stride": 3, "most": 12, "handleS": 5.0, "models": []map[string]any{{"name": "m"}}}}),
			svc("roster-api", map[string]any{"pieces": pieces(8, 200, 21, 18)}),
			svc("notice-feed", map[string]any{"pieces": pieces(14, 200, 12, 1.9)}),
		},
		"limits":  limits,
		"tenants": []map[string]any{{"name": "bozi300", "apiKeys": []string{"key-1"}, "priority": 1}},
	}
}

// maker is what a result was made for.
type maker struct {
	request      string
	stage, piece int
}

// results records all results of stages by their handles, and what broke the rule.
type results struct {
	mtx    sync.Mutex
	made   map[string]maker
	broken []string
}

func (rsl *results) add(handle string, mkr maker) {
	rsl.mtx.Lock()
	defer rsl.mtx.Unlock()
	if rsl.made == nil {
		rsl.made = map[string]maker{}
	}
	rsl.made[handle] = mkr
}

// check compares the inputs of a piece or a request with the pieces of the stage that it takes.
func (rsl *results) check(what, id string, stg int, inputs []string) string {
	rsl.mtx.Lock()
	defer rsl.mtx.Unlock()
	seen := map[maker]bool{}
	why := ""
	for _, handle := range inputs {
		mkr, known := rsl.made[handle]
		switch {
		case !known:
			why = fmt.Sprintf("the unknown input %s", handle)
		case mkr.request != id:
			why = fmt.Sprintf("the input %s of request %s, stage %d, piece %d", handle, mkr.request, mkr.stage, mkr.piece)
		case mkr.stage != stg:
			why = fmt.Sprintf("an input of stage %d", mkr.stage)
		case seen[mkr]:
			why = fmt.Sprintf("piece %d of stage %d twice", mkr.piece, stg)
		}
		seen[mkr] = true
	}
	if why == "" && len(inputs) != stages[stg].pieces {
		why = fmt.Sprintf("%d inputs of %d", len(inputs), stages[stg].pieces)
	}
	if why != "" {
		why = fmt.Sprintf("MIXED: %s of request %s is given %s", what, id, why)
		rsl.broken = append(rsl.broken, why)
	}
	return why
}

// item is an item of a call of a stage.
type item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// stageEngine is an engine of a stage with one slot.
type stageEngine struct {
	*engine
	rsl *results
	// spoils is set for the engines that hand out extra responses.
	spoils bool
	slot   sync.Mutex
	made   int
	// spells tells whether the disruption is on.
	spells func() bool
	rng    *rand.Rand
}

func (seg *stageEngine) handle(arv *arrival) string {
	switch arv.req.URL.Path {
	case "/-/stage-run":
		return seg.run(arv)
	case "/-/stage-free":
		return response(200, nil, "")
	case "/-/report":
		return response(200, map[string]string{"Content-Type": "application/json"}, `{"queued":0,"busy":false,"freeMb":17}`)
	}
	return response(200, map[string]string{"Amaranthvalve-Instance-Id": seg.id}, "")
}

func (seg *stageEngine) run(arv *arrival) string {
	var call struct {
		Items []item `json:"items"`
	}
	if err := json.Unmarshal(arv.body, &call); err != nil {
		return response(400, map[string]string{hdrNotRun: "1"}, "")
	}
	seg.slot.Lock()
	defer seg.slot.Unlock()
	type result struct {
		Handle string `json:"handle"`
	}
	var list []result
	var told []string
	for _, itm := range call.Items {
		if itm.Stage > 0 {
			if why := seg.rsl.check(fmt.Sprintf("piece %d of stage %d", itm.Piece, itm.Stage), itm.ID, itm.Stage-1, itm.Inputs); why != "" {
				seg.bed.note("engine %s: %s", seg.id, why)
			}
		}
		seg.made++
		handle := fmt.Sprintf("%s/%s%06x", seg.addr, seg.id[2:], seg.made)
		seg.rsl.add(handle, maker{itm.ID, itm.Stage, itm.Piece})
		list = append(list, result{handle})
		told = append(told, fmt.Sprintf("%s stage %d piece %d -> %s", itm.ID, itm.Stage, itm.Piece, handle))
	}
	time.Sleep(callTime + time.Duration(len(list))*itemTime)
	body, err := json.Marshal(map[string]any{"items": list})
	if err != nil {
		return response(500, nil, "")
	}
	ans := response(200, map[string]string{"Content-Type": "application/json", hdrLoad: "0,0,1"}, string(body))
	seg.bed.note("engine %s makes %s", seg.id, strings.Join(told, "; "))
	if seg.spoils && seg.spells() && seg.rng.Float64() < lateShare {
		arv.channel.late = ans
	}
	return ans
}

// modelAnswer answers a prompt with three events.
func modelAnswer(eng *engine, rsl *results, arv *arrival) string {
	switch arv.req.URL.Path {
	case "/-/report":
		return response(200, map[string]string{"Content-Type": "application/json"}, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":0,"kvUsed":0,"kvTotal":328764,"handles":0}`)
	case "/-/kv-list":
		return response(200, map[string]string{"Content-Type": "application/json"}, `{"epoch":1,"next":1,"held":[]}`)
	case "/health":
		return response(200, map[string]string{"Amaranthvalve-Instance-Id": eng.id}, "")
	}
	id := arv.req.Header.Get(hdrID)
	if id == "" {
		return response(400, map[string]string{hdrNotRun: "1"}, "")
	}
	inputs := strings.Split(arv.req.Header.Get(hdrInputs), ",")
	eng.bed.note("engine %s runs %s with %s", eng.id, id, strings.Join(inputs, " "))
	if why := rsl.check("the prompt", id, len(stages)-1, inputs); why != "" {
		eng.bed.note("engine %s: %s", eng.id, why)
	}
	time.Sleep(100 * time.Millisecond)
	return eng.signed(arv, 200, "text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
}

// runLate lets half of the engines of the stages hand out extra responses late, where the next one is expected: a
// second copy of the response before.
func runLate(bed *testbed, trouble bool) ([]string, error) {
	sto, rsl := newStore(), &results{}
	addr, err := bed.startStore(sto)
	if err != nil {
		return nil, err
	}
	sto.put("keyed.op", "config", staged())
	at := 101
	spells := func() bool { return time.Since(bed.began)%latePeriod < lateSpell }
	for _, stg := range stages {
		for i := range perStage {
			seg := &stageEngine{rsl: rsl, spoils: trouble && i < spoiling, spells: spells, rng: rand.New(rand.NewPCG(62, uint64(at)))}
			seg.engine = &engine{id: fmt.Sprintf("i-%s%d", stg.service[:2], i), service: stg.service, zone: zones[i%len(zones)], slots: 1, handle: seg.handle}
			if err := bed.startEngine(sto, at, seg.engine); err != nil {
				return nil, err
			}
			at++
		}
	}
	for i := range 2 {
		eng := &engine{id: fmt.Sprintf("i-llm%d", i), service: "planner-llm", zone: zones[i], slots: 64}
		eng.handle = func(arv *arrival) string { return modelAnswer(eng, rsl, arv) }
		if err := bed.startEngine(sto, at, eng); err != nil {
			return nil, err
		}
		at++
	}
	if err := bed.startNodes(3, addr); err != nil {
		return nil, err
	}
	var grp sync.WaitGroup
	until := time.Now().Add(lateRun)
	for con := range consumers {
		grp.Go(func() {
			for seq := 0; time.Now().Before(until); seq++ {
				bed.sendPrompt(bed.nodes[con%len(bed.nodes)], fmt.Sprintf("%02x%06x", con+1, seq))
			}
		})
	}
	grp.Wait()
	rsl.mtx.Lock()
	defer rsl.mtx.Unlock()
	return rsl.broken, nil
}

// sendPrompt sends a request with stages and reads the answer.
func (bed *testbed) sendPrompt(nod *node, id string) {
	var pieces []string
	for _, stg := range stages {
		pieces = append(pieces, fmt.Sprint(stg.pieces))
	}
	rqs := request{
		method: "POST", path: "/puxa400/2f", host: host, id: id, key: "key-1", body: "prompt of " + id, deadline: 8 * time.Second,
		header: map[string]string{
			"Amaranthvalve-Model": "m", "Amaranthvalve-Token-Usage": "1460,9", "Amaranthvalve-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + id + ":250",
			"Amaranthvalve-Pieces": strings.Join(pieces, ","), "Amaranthvalve-Piece-Key": "7c1e" + id,
		},
	}
	ans := exchange(nod.front, rqs, 9*time.Second)
	bed.note("consumer sent %s to %s and gets %d, signature %q", id, nod.ip, ans.status, ans.signature)
}
