package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["appended"] = runAppended }

// The disruption is that of the site file: 0.35 of the machines, here one of three, have 0.55 of their connections
// reset, here those to engines only. It comes again at the next machine.
const (
	appendedRun    = 90 * time.Second
	resetEvery     = 3 * time.Second
	resetShare     = 0.55
	streamEvents   = 25
	eventGap       = 40 * time.Millisecond
	ownErrors      = 0.05
	perNode        = 30
	ownErrorStatus = http.StatusInternalServerError
)

// resumable is a manifest with a streaming route that may be resumed, and may be sent to three engines.
func resumable() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-digest", "host": host, "pathPrefix": "/cufi501/fi50/", "routeType": "streaming", "timeoutMs": 6000, "targetLatencyMs": 2000, "priority": 0,
			"service": "planner-llm", "maxAttempts": 3, "public": false, "sessionAffinity": true, "resumable": true, "gapAimMs": 400,
		}},
		"services": []map[string]any{{
			"name": "planner-llm", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 328764, "kvTokenBytes": 163840, "linkMbps": 550000.0, "stride": 3, "most": 12, "handleS": 5.0, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits":  limits,
		"tenants": []map[string]any{{"name": "bozi300", "apiKeys": []string{"key-1"}, "priority": 1}},
	}
}

// streams has the open channels of requests by their ids.
type streams struct {
	mtx  sync.Mutex
	open map[string]*net.TCPConn
}

func (sts *streams) set(id string, con *net.TCPConn) {
	sts.mtx.Lock()
	defer sts.mtx.Unlock()
	if con == nil {
		delete(sts.open, id)
		return
	}
	sts.open[id] = con
}

// reset resets a share of the channels of the requests of a node.
func (sts *streams) reset(bed *testbed, node int, rng *rand.Rand) {
	sts.mtx.Lock()
	defer sts.mtx.Unlock()
	for id, con := range sts.open {
		if strings.HasPrefix(id, nodeMark(node)) && rng.Float64() < resetShare {
			bed.note("the channel of %s to its engine is reset", id)
			_ = con.SetLinger(0)
			_ = con.Close()
		}
	}
}

// nodeMark begins the ids of the requests that are sent to a node.
func nodeMark(node int) string { return fmt.Sprintf("%02x", node+1) }

// streamEngine is a model engine that fails some requests with a 500 of its own.
type streamEngine struct {
	*engine
	sts *streams
	mtx sync.Mutex
	rng *rand.Rand
}

func (sen *streamEngine) fails() bool {
	sen.mtx.Lock()
	defer sen.mtx.Unlock()
	return sen.rng.Float64() < ownErrors
}

// stream answers a prompt; the answer is written here, as its events are made.
func (sen *streamEngine) stream(arv *arrival) {
	id := arv.req.Header.Get(hdrID)
	con, ok := arv.con.(*net.TCPConn)
	if !ok {
		return
	}
	sen.sts.set(id, con)
	defer sen.sts.set(id, nil)
	time.Sleep(eventGap)
	if sen.fails() {
		sen.bed.note("engine %s runs %s and fails it with 500", sen.id, id)
		_, _ = io.WriteString(con, sen.signed(arv, ownErrorStatus, "text/plain", "engine error"))
		return
	}
	from := 0
	_, _ = fmt.Sscan(arv.req.Header.Get("Last-Event-Id"), &from)
	sen.bed.note("engine %s streams %s after event %d", sen.id, id, from)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", hdrID, id, hdrSignature, id, sen.id)
	if _, err := io.WriteString(con, head); err != nil {
		return
	}
	for i := from + 1; i <= streamEvents; i++ {
		event := eventText(id, i)
		if _, err := fmt.Fprintf(con, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
	_, _ = io.WriteString(con, "0\r\n\r\n")
}

// eventText is an event of the answer to a request.
func eventText(id string, index int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", index, index, id)
}

// wholeStream is the whole body of the answer to a request.
func wholeStream(id string) string {
	var txt strings.Builder
	for i := 1; i <= streamEvents; i++ {
		txt.WriteString(eventText(id, i))
	}
	return txt.String()
}

// runAppended resets channels between a machine and the engines while streams are under way.
func runAppended(bed *testbed, trouble bool) ([]string, error) {
	sto, sts := newStore(), &streams{open: map[string]*net.TCPConn{}}
	addr, err := bed.startStore(sto)
	if err != nil {
		return nil, err
	}
	sto.put("keyed.op", "config", resumable())
	for i := range 2 {
		sen := &streamEngine{sts: sts, rng: rand.New(rand.NewPCG(62, uint64(i)))}
		sen.engine = &engine{id: fmt.Sprintf("i-llm%d", i), service: "planner-llm", zone: zones[i], slots: 64}
		sen.handle = func(arv *arrival) string {
			if arv.req.Method == "POST" && arv.req.Header.Get(hdrID) != "" {
				sen.stream(arv)
				return ""
			}
			return modelAnswer(sen.engine, nil, arv)
		}
		if err := bed.startEngine(sto, 101+i, sen.engine); err != nil {
			return nil, err
		}
	}
	if err := bed.startNodes(3, addr); err != nil {
		return nil, err
	}
	var grp sync.WaitGroup
	var mtx sync.Mutex
	var broken []string
	until := time.Now().Add(appendedRun - time.Since(bed.began))
	if trouble {
		grp.Go(func() {
			rng := rand.New(rand.NewPCG(62, 100))
			for event := 0; time.Now().Before(until); event++ {
				time.Sleep(resetEvery)
				sts.reset(bed, event%len(bed.nodes), rng)
			}
		})
	}
	for con := range perNode * len(bed.nodes) {
		node := con % len(bed.nodes)
		grp.Go(func() {
			for seq := 0; time.Now().Before(until); seq++ {
				id := fmt.Sprintf("%s%02x%06x", nodeMark(node), con, seq)
				rqs := request{
					method: "POST", path: "/cufi501/fi50/2f", host: host, id: id, key: "key-1", body: "prompt of " + id, deadline: 6 * time.Second,
					header: map[string]string{"Amaranthvalve-Model": "m", "Amaranthvalve-Token-Usage": "1460,80", "Amaranthvalve-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + id + ":250"},
				}
				ans := exchange(bed.nodes[node].front, rqs, 7*time.Second)
				if ans.status != 200 {
					bed.note("consumer gets %d for %s, %v", ans.status, id, ans.err)
					continue
				}
				if want := wholeStream(id); ans.body != want {
					events := strings.Count(ans.body, "\n\n")
					bed.note("consumer gets a complete answer to %s that isn't its stream: %q", id, ans.body[max(0, len(ans.body)-120):])
					mtx.Lock()
					broken = append(broken, fmt.Sprintf("ORDER: the stream of %s ends as complete after %d of %d events, with %q at its end", id, events, streamEvents, ans.body[max(0, len(ans.body)-12):]))
					mtx.Unlock()
				}
			}
		})
	}
	grp.Wait()
	return broken, nil
}
