package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// result is what a stage engine made and still keeps.
type result struct {
	request string
	stage   int
	piece   int
	// inputs are the results that it was made of.
	inputs  []string
	expires time.Time
}

// results are the results of all stage engines of a case, by their handles.
type results struct {
	mtx  sync.Mutex
	kept map[string]result
	// made has all that was ever made.
	made map[string]result
}

// fetch returns a result that is still kept.
func (rst *results) fetch(handle string) (result, bool) {
	rst.mtx.Lock()
	defer rst.mtx.Unlock()
	one, ok := rst.kept[handle]
	return one, ok && time.Now().Before(one.expires)
}

func (rst *results) free(handle string) {
	rst.mtx.Lock()
	defer rst.mtx.Unlock()
	delete(rst.kept, handle)
}

func (rst *results) keep(handle string, one result) {
	rst.mtx.Lock()
	defer rst.mtx.Unlock()
	rst.kept[handle], rst.made[handle] = one, one
}

// stageSpec is what the manifest says of a stage's service.
type stageSpec struct {
	slots, queue int
	call, item   time.Duration
	keep         time.Duration
}

// stageEngine is an engine of a stage. It is sound but for the answers that extra picks: after each of these it sends
// the same answer once more, late, at the point where the next answer on the channel is expected.
type stageEngine struct {
	id, service, zone, addr string
	spec                    stageSpec
	rec                     *recorder
	rst                     *results
	onInput                 func(id string, stage, piece int, handle string, from result)
	// extra reports whether the answer is followed by an extra one; nil for never.
	extra func() bool

	mtx     sync.Mutex
	waiting int
	seq     int
	slots   chan struct{}
}

// startStage starts an engine of a stage and keeps its entry in the store.
func startStage(flt *fleet, eng *stageEngine) error {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	eng.addr, eng.rec, eng.slots = lsn.Addr().String(), flt.rec, make(chan struct{}, eng.spec.slots)
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			go eng.serve(con)
		}
	}()
	keepEntry(flt.store, entry{id: eng.id, service: eng.service, addr: eng.addr, zone: eng.zone, slots: eng.spec.slots})
	return nil
}

// serve serves one channel, one request at a time.
func (eng *stageEngine) serve(con net.Conn) {
	defer func() { _ = con.Close() }()
	rdr := bufio.NewReader(con)
	var late []byte
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			eng.rec.logf("engine %s sends its answer before once more, where that to the next request is expected", eng.id)
			if _, err := con.Write(late); err != nil {
				return
			}
			late = nil
		}
		out, isCall := eng.answer(req, body)
		if _, err := con.Write(out); err != nil {
			return
		}
		if isCall && eng.extra != nil && eng.extra() {
			late = out
		}
	}
}

// answer answers a request; isCall is set for a call that ran.
func (eng *stageEngine) answer(req *http.Request, body []byte) (out []byte, isCall bool) {
	if want := req.Header.Get("Amaranthvalve-Target-Instance"); want != "" && want != eng.id {
		return reply(421, "Amaranthvalve-Instance-Id: "+eng.id, nil), false
	}
	switch req.URL.Path {
	case "/-/stage-run":
		return eng.call(body)
	case "/-/stage-free":
		var list struct {
			Handles []string `json:"handles"`
		}
		if json.Unmarshal(body, &list) != nil {
			return reply(400, "", nil), false
		}
		for _, handle := range list.Handles {
			eng.rst.free(handle)
		}
		return reply(200, "", nil), false
	case "/-/report":
		return reply(200, "Content-Type: application/json", []byte(`{"queued":0,"busy":false,"freeMb":18}`)), false
	}
	return reply(200, "Amaranthvalve-Instance-Id: "+eng.id, nil), false
}

type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// call makes the items of a call when its turn comes.
func (eng *stageEngine) call(body []byte) (out []byte, isCall bool) {
	var ask struct {
		Items []stageItem `json:"items"`
	}
	if json.Unmarshal(body, &ask) != nil {
		return reply(400, "", nil), false
	}
	eng.mtx.Lock()
	full := eng.waiting >= eng.spec.slots+eng.spec.queue
	if !full {
		eng.waiting++
	}
	eng.mtx.Unlock()
	if full {
		return reply(503, "Amaranthvalve-Not-Executed: 1", nil), false
	}
	eng.slots <- struct{}{}
	defer func() {
		<-eng.slots
		eng.mtx.Lock()
		eng.waiting--
		eng.mtx.Unlock()
	}()
	takes, gone := eng.spec.call, map[int]bool{}
	for i, itm := range ask.Items {
		takes += eng.spec.item
		for _, handle := range itm.Inputs {
			from, ok := eng.rst.fetch(handle)
			if !ok {
				gone[i] = true
				continue
			}
			eng.onInput(itm.ID, itm.Stage, itm.Piece, handle, from)
		}
	}
	time.Sleep(takes)
	items := []map[string]string{}
	for i, itm := range ask.Items {
		if gone[i] {
			items = append(items, map[string]string{"reason": "gone"})
			continue
		}
		eng.mtx.Lock()
		eng.seq++
		handle := fmt.Sprintf("%s/%06x", eng.addr, eng.seq)
		eng.mtx.Unlock()
		eng.rst.keep(handle, result{request: itm.ID, stage: itm.Stage, piece: itm.Piece, inputs: itm.Inputs, expires: time.Now().Add(eng.spec.keep)})
		eng.rec.logf("engine %s made %s for %s, stage %d, piece %d", eng.id, handle, itm.ID, itm.Stage, itm.Piece)
		items = append(items, map[string]string{"handle": handle})
	}
	text, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err)
	}
	return reply(200, "Content-Type: application/json\r\nAmaranthvalve-Server-Load: 1,0,1", text), true
}

// reply returns an answer with a length.
func reply(status int, header string, body []byte) []byte {
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if header != "" {
		_, _ = fmt.Fprintf(&out, "%s\r\n", header)
	}
	_, _ = fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
	return append(out.Bytes(), body...)
}

// modelEngine is a sound model engine: it fetches the inputs, and streams events.
type modelEngine struct {
	id, zone string
	rec      *recorder
	rst      *results
	onInputs func(id string, handles []string, from []result)

	mtx  sync.Mutex
	runs []string
}

func startModel(flt *fleet, eng *modelEngine, service string) error {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	eng.rec = flt.rec
	go func() { _ = (&http.Server{Handler: eng, ReadHeaderTimeout: time.Minute}).Serve(lsn) }()
	keepEntry(flt.store, entry{id: eng.id, service: service, addr: lsn.Addr().String(), zone: eng.zone, slots: 64})
	return nil
}

// ServeHTTP answers as PROTOCOL.md says.
func (eng *modelEngine) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	hdr := wrt.Header()
	hdr.Set("Amaranthvalve-Server-Load", "1,0,64")
	if want := req.Header.Get("Amaranthvalve-Target-Instance"); want != "" && want != eng.id {
		hdr.Set("Amaranthvalve-Instance-Id", eng.id)
		wrt.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == "/-/kv-list":
		writeJSON(wrt, map[string]any{"epoch": 1, "next": 0, "held": [][]any{}})
		return
	case strings.HasPrefix(req.URL.Path, "/-/"):
		writeJSON(wrt, map[string]any{"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 328764, "handles": 0})
		return
	}
	id := req.Header.Get("Amaranthvalve-Request-Id")
	list := req.Header.Get("Amaranthvalve-Inputs")
	_, _ = io.ReadAll(req.Body)
	refuse := func(status int, why string) {
		eng.rec.logf("engine %s refuses %s with %d: %s", eng.id, id, status, why)
		hdr.Set("Amaranthvalve-Request-Id", id)
		hdr.Set("Amaranthvalve-Not-Executed", "1")
		wrt.WriteHeader(status)
	}
	if id == "" || list == "" {
		refuse(http.StatusBadRequest, "no id or no inputs")
		return
	}
	var from []result
	handles := strings.Split(list, ",")
	for _, handle := range handles {
		one, ok := eng.rst.fetch(strings.TrimSpace(handle))
		if !ok {
			refuse(http.StatusConflict, handle+" no longer exists")
			return
		}
		from = append(from, one)
	}
	eng.mtx.Lock()
	eng.runs = append(eng.runs, id)
	eng.mtx.Unlock()
	eng.rec.logf("engine %s runs %s with the inputs %s", eng.id, id, list)
	eng.onInputs(id, handles, from)
	hdr.Set("Amaranthvalve-Request-Id", id)
	hdr.Set("Amaranthvalve-Response-Signature", "sig."+eng.id+"."+id)
	hdr.Set("Content-Type", "text/event-stream")
	time.Sleep(100 * time.Millisecond)
	for n := range 4 {
		_, _ = fmt.Fprintf(wrt, "id: %d\ndata: %s\n\n", n+1, id)
		if fls, ok := wrt.(http.Flusher); ok {
			fls.Flush()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// foreignInputs streams requests with three stages while some answers of the first stage's engines come twice.
func foreignInputs(flt *fleet, trouble bool) (int, error) {
	const key = "9dnn2ctnfzs989anu6ws"
	ms := time.Millisecond
	specs := []stageSpec{
		{slots: 1, queue: 2, call: 200 * ms, item: 21 * ms, keep: 4 * time.Second},
		{slots: 1, queue: 2, call: 200 * ms, item: 12 * ms, keep: 4 * time.Second},
		{slots: 1, queue: 2, call: 200 * ms, item: 7 * ms, keep: 4 * time.Second},
	}
	names := []string{"kafi81c", "lovo22d", "lohu93e"}
	flt.store.put("keyed.op", "config", stagedManifest(key))

	rst := &results{kept: map[string]result{}, made: map[string]result{}}
	var mtx sync.Mutex
	foreignPieces, foreignRequests := 0, 0
	onPiece := func(id string, stage, piece int, handle string, from result) {
		if from.request != id {
			mtx.Lock()
			foreignPieces++
			mtx.Unlock()
			flt.rec.logf("MIXED: stage %d, piece %d of %s is given %s, which was made for %s", stage, piece, id, handle, from.request)
		}
	}
	onRequest := func(id string, handles []string, from []result) {
		for i, one := range from {
			if one.request != id {
				mtx.Lock()
				foreignRequests++
				mtx.Unlock()
				flt.rec.logf("MIXED: %s runs with %s, which was made for %s", id, handles[i], one.request)
			}
		}
	}

	began := time.Now()
	answers, extras := 0, 0
	// Windows of 5 s, in which each 34th answer of one of the two engines comes once more: half of the engines,
	// less than 0.03 of their answers.
	extra := func() bool {
		mtx.Lock()
		defer mtx.Unlock()
		if !trouble || int(time.Since(began).Seconds())%6 == 5 {
			return false
		}
		if answers++; answers%34 != 0 {
			return false
		}
		extras++
		return true
	}
	for stage, name := range names {
		for i, zone := range []string{"hall-a", "hall-b"} {
			eng := &stageEngine{id: fmt.Sprintf("i-%s-%d", name, i), service: name, zone: zone, spec: specs[stage], rst: rst, onInput: onPiece}
			if stage == 0 && i == 0 {
				eng.extra = extra
			}
			if err := startStage(flt, eng); err != nil {
				return noResult, err
			}
		}
	}
	var models []*modelEngine
	for i, zone := range []string{"hall-a", "hall-b"} {
		eng := &modelEngine{id: fmt.Sprintf("i-model-%d", i), zone: zone, rst: rst, onInputs: onRequest}
		if err := startModel(flt, eng, "huvo11a"); err != nil {
			return noResult, err
		}
		models = append(models, eng)
	}
	if err := flt.start("hall-a", "hall-b", "hall-c"); err != nil {
		return noResult, err
	}

	began = time.Now()
	var wait sync.WaitGroup
	whole := 0
	statuses := map[string]int{}
	stop := time.Now().Add(85 * time.Second)
	for n := 0; time.Now().Before(stop); n++ {
		wait.Go(func() {
			rqs := request{
				id: newID(), method: "POST", target: "/cufi501/fi50/2f", host: "jepu9.example", key: key, deadline: 6 * time.Second, body: fmt.Sprintf("prompt %d", n),
				headers: []string{
					"Amaranthvalve-Model: m", "Amaranthvalve-Token-Usage: 1460,80", fmt.Sprintf("Amaranthvalve-Prompt-Prefix: 5c1e07a2:800,%08x:250", n+1),
					"Amaranthvalve-Pieces: 1,1,1", fmt.Sprintf("Amaranthvalve-Piece-Key: %012x", n+1),
				},
			}
			flt.rec.logf("consumer sends %s", rqs.id)
			ans := send(flt.front(n), rqs)
			flt.rec.logf("consumer gets for %s: %s", rqs.id, ans)
			mtx.Lock()
			defer mtx.Unlock()
			statuses[ans.String()]++
			if ans.err == nil && ans.status == http.StatusOK && ans.signed {
				whole++
			}
		})
		time.Sleep(time.Duration(120+40*(n%5)) * ms)
	}
	wait.Wait()
	ran := 0
	for _, eng := range models {
		eng.mtx.Lock()
		ran += len(eng.runs)
		eng.mtx.Unlock()
	}
	for _, text := range slices.Sorted(mapKeys(statuses)) {
		flt.rec.say("%d x %s", statuses[text], text)
	}
	flt.rec.say("%d requests ran, %d got a whole answer; %d of %d answers of the one engine came once more", ran, whole, extras, answers)
	flt.rec.say("MIXED: %d inputs of another request were given to pieces, %d to requests", foreignPieces, foreignRequests)
	switch {
	case whole == 0:
		return noResult, nil
	case foreignPieces+foreignRequests > 0:
		return broken, nil
	}
	return held, nil
}

// mapKeys returns the keys of a map.
func mapKeys(list map[string]int) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for name := range list {
			if !yield(name) {
				return
			}
		}
	}
}

// stagedManifest is the example of PROTOCOL.md and `fleetbench wire`: one route with three stages in a row.
func stagedManifest(key string) map[string]any {
	pieces := func(batch int, callMs, itemMs, roomMb float64) map[string]any {
		return map[string]any{"slots": 1, "queue": 2, "batch": batch, "callMs": callMs, "itemMs": itemMs, "roomMb": roomMb, "handleS": 4.0, "linkMbps": 10000}
	}
	service := func(name string, more map[string]any) map[string]any {
		out := map[string]any{"name": name, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false}
		for field, val := range more {
			out[field] = val
		}
		return out
	}
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-5mgjy5r", "host": "jepu9.example", "pathPrefix": "/cufi501/fi50/", "routeType": "streaming", "timeoutMs": 6000, "targetLatencyMs": 2000,
			"priority": 0, "service": "huvo11a", "maxAttempts": 2, "public": false, "sessionAffinity": true, "resumable": true, "gapAimMs": 400,
			"stages": []any{
				map[string]any{"service": "kafi81c", "after": []int{}, "bytes": 8000},
				map[string]any{"service": "lovo22d", "after": []int{0}, "bytes": 60000},
				map[string]any{"service": "lohu93e", "after": []int{1}, "bytes": 6000},
			},
		}},
		"services": []any{
			service("huvo11a", map[string]any{"engine": map[string]any{
				"slots": 64, "kvCapacity": 328764, "kvTokenBytes": 163840, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 3, "most": 12,
				"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
			}}),
			service("kafi81c", map[string]any{"pieces": pieces(8, 200, 21, 18)}),
			service("lohu93e", map[string]any{"pieces": pieces(24, 200, 7.1, 0.32)}),
			service("lovo22d", map[string]any{"pieces": pieces(14, 200, 12, 1.9)}),
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "apiKeys": []string{key}, "priority": 1}},
	}
}
