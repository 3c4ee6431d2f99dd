package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// piece names one piece of a request's stage.
type piece struct {
	id           string
	stage, piece int
}

// handles records which piece each handle was made for, over all engines of a deployment, and what
// consumers of handles were given.
type handles struct {
	rec *record

	mtx    sync.Mutex
	next   int
	made   map[string]piece
	gone   map[string]bool
	after  map[int][]int
	wanted map[string][]int
	wrong  int
}

func newHandles(rec *record, after map[int][]int) *handles {
	return &handles{rec: rec, made: map[string]piece{}, gone: map[string]bool{}, after: after, wanted: map[string][]int{}}
}

// want records how many pieces of each stage a request has.
func (hds *handles) want(id string, pieces []int) {
	hds.mtx.Lock()
	defer hds.mtx.Unlock()
	hds.wanted[id] = pieces
}

func (hds *handles) make(addr string, pce piece) string {
	hds.mtx.Lock()
	defer hds.mtx.Unlock()
	hds.next++
	name := fmt.Sprintf("%s/%08x", addr, hds.next)
	hds.made[name] = pce
	return name
}

func (hds *handles) free(names []string) {
	hds.mtx.Lock()
	defer hds.mtx.Unlock()
	for _, name := range names {
		hds.gone[name] = true
	}
}

// check records whether inputs are all pieces of the stages, each once, of a request. It reports whether all
// still exist.
func (hds *handles) check(by, id string, stages []int, inputs []string) bool {
	hds.mtx.Lock()
	defer hds.mtx.Unlock()
	need := map[piece]bool{}
	for _, stg := range stages {
		for i := range hds.wanted[id][stg] {
			need[piece{id, stg, i}] = true
		}
	}
	there := true
	for _, name := range inputs {
		pce := hds.made[name]
		if pce.id != id {
			hds.wrong++
			hds.rec.printf("WRONG: %s is asked for %s with the input %s, which was made for %s, stage %d, piece %d", by, id, name, pce.id, pce.stage, pce.piece)
		}
		delete(need, pce)
		there = there && !hds.gone[name]
	}
	if len(need) > 0 {
		hds.rec.printf("%s is asked for %s without the inputs %v", by, id, need)
	}
	return there
}

func (hds *handles) wrongInputs() int {
	hds.mtx.Lock()
	defer hds.mtx.Unlock()
	return hds.wrong
}

// stageEngine is an engine of a stage's service. It speaks HTTP by hand, since a sound server sends no second
// answer.
type stageEngine struct {
	id, addr string
	hds      *handles
	callTime time.Duration
	itemTime time.Duration
	// slot is taken by the call that is worked on.
	slot sync.Mutex

	mtx   sync.Mutex
	calls int
	// share of the answers is given a second time, where the next response is expected.
	share  float64
	second int
}

func newStageEngine(dep *deployment, hds *handles, service, id, zone string, callTime, itemTime time.Duration) (*stageEngine, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	eng := &stageEngine{id: id, addr: lsn.Addr().String(), hds: hds, callTime: callTime, itemTime: itemTime}
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			go eng.serve(con)
		}
	}()
	dep.sto.put(topicServers, id, entry(service, eng.addr, zone, 1))
	return eng, nil
}

// garble sets the share of the answers that are given a second time; zero for none.
func (eng *stageEngine) garble(share float64) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	eng.share = share
}

func (eng *stageEngine) garbles() bool {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	return rand.Float64() < eng.share
}

func (eng *stageEngine) serve(con net.Conn) {
	defer func() { _ = con.Close() }()
	rdr := bufio.NewReader(con)
	var extra []byte
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if extra != nil {
			// The extra answer arrives late, at the point where the next response is expected.
			eng.hds.rec.printf("%s sends an earlier answer once more", eng.id)
			if _, err := con.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		status, text := eng.answer(req, body)
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nAmaranthvalve-Server-Load: 0,0,1\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(text))
		if id := req.Header.Get("Amaranthvalve-Request-Id"); id != "" {
			head += "Amaranthvalve-Request-Id: " + id + "\r\n"
		}
		if status == http.StatusServiceUnavailable {
			head += "Amaranthvalve-Not-Executed: 1\r\n"
		}
		out := append([]byte(head+"\r\n"), text...)
		if _, err := con.Write(out); err != nil {
			return
		}
		if req.URL.Path == "/-/stage-run" && status == http.StatusOK && eng.garbles() {
			eng.mtx.Lock()
			eng.second++
			eng.mtx.Unlock()
			extra = bytes.Clone(out)
		}
	}
}

func (eng *stageEngine) answer(req *http.Request, body []byte) (status int, text []byte) {
	if want := req.Header.Get("Amaranthvalve-Target-Instance"); want != "" && want != eng.id {
		return http.StatusMisdirectedRequest, nil
	}
	switch req.URL.Path {
	case "/-/report":
		return http.StatusOK, []byte(`{"queued":0,"busy":0,"freeMb":18}`)
	case "/-/stage-free":
		var ask struct {
			Handles []string `json:"handles"`
		}
		if json.Unmarshal(body, &ask) != nil {
			return http.StatusBadRequest, nil
		}
		eng.hds.free(ask.Handles)
		return http.StatusOK, []byte("{}")
	case "/-/stage-run":
		return eng.run(body)
	}
	return http.StatusOK, nil
}

// run works on a call of the stage.
func (eng *stageEngine) run(body []byte) (status int, text []byte) {
	var ask struct {
		Items []struct {
			ID     string   `json:"id"`
			Stage  int      `json:"stage"`
			Piece  int      `json:"piece"`
			Key    string   `json:"key"`
			Inputs []string `json:"inputs"`
		} `json:"items"`
	}
	if json.Unmarshal(body, &ask) != nil {
		return http.StatusBadRequest, nil
	}
	eng.slot.Lock()
	defer eng.slot.Unlock()
	var answers []obj
	var names []string
	for _, itm := range ask.Items {
		after := eng.hds.after[itm.Stage]
		there := true
		if len(after) > 0 {
			there = eng.hds.check(eng.id, itm.ID, after, itm.Inputs)
		}
		names = append(names, fmt.Sprintf("%s/%d/%d", itm.ID, itm.Stage, itm.Piece))
		if !there {
			answers = append(answers, obj{"reason": "gone"})
			continue
		}
		answers = append(answers, obj{"handle": eng.hds.make(eng.addr, piece{itm.ID, itm.Stage, itm.Piece})})
	}
	time.Sleep(eng.callTime + time.Duration(len(ask.Items))*eng.itemTime)
	eng.hds.rec.printf("%s made %s", eng.id, strings.Join(names, " "))
	text, _ = json.Marshal(obj{"items": answers})
	return http.StatusOK, text
}
