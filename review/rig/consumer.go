package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// requestTimeout is longer than any deadline.
const requestTimeout = 30 * time.Second

var requests atomic.Int64

// consumer asks the directory where to connect, and keeps its channels.
type consumer struct {
	flt   *fleet
	cli   *http.Client
	mtx   sync.Mutex
	addrs []string
	until time.Time
}

func newConsumer(flt *fleet) *consumer {
	return &consumer{flt: flt, cli: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}}
}

// address returns one of the addresses that the directory named.
func (con *consumer) address() string {
	con.mtx.Lock()
	defer con.mtx.Unlock()
	if time.Now().After(con.until) {
		for _, i := range rand.Perm(len(con.flt.nodes))[:min(3, len(con.flt.nodes))] {
			if con.resolve(con.flt.nodes[i].directory) {
				break
			}
		}
	}
	if len(con.addrs) == 0 {
		return con.flt.nodes[0].front
	}
	return con.addrs[rand.IntN(len(con.addrs))]
}

func (con *consumer) resolve(directory string) bool {
	cli := http.Client{Timeout: time.Second}
	res, err := cli.Get("http://" + directory + "/-/resolve?name=desk.example&region=r&zone=a")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	var list struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if json.NewDecoder(res.Body).Decode(&list) != nil || len(list.Addresses) == 0 {
		return false
	}
	con.addrs, con.until = list.Addresses, time.Now().Add(time.Duration(min(list.TTLS, 5)*float64(time.Second)))
	return true
}

// reply is the answer to a request; status is zero for none.
type reply struct {
	id     string
	sent   time.Time
	status int
	signed bool
	body   string
	err    error
}

// send sends one request, one attempt.
func (con *consumer) send(method, path, key, body string, deadline time.Duration, more http.Header) reply {
	return con.sendTo(con.address(), newID(), method, path, key, body, deadline, more)
}

// newID returns the id of an attempt.
func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), requests.Add(1)) }

// sendTo is send to a node.
func (con *consumer) sendTo(addr, id, method, path, key, body string, deadline time.Duration, more http.Header) reply {
	rep := reply{id: id, sent: time.Now()}
	var rdr io.Reader
	if body != "" {
		rdr = bytes.NewReader([]byte(body))
	}
	req, err := http.NewRequest(method, "http://"+addr+path, rdr)
	if err != nil {
		rep.err = err
		return rep
	}
	req.GetBody = nil
	req.Host = "desk.example"
	for name, vals := range more {
		req.Header[name] = vals
	}
	req.Header.Set("Amaranthvalve-Request-Id", rep.id)
	req.Header.Set("Amaranthvalve-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	rep.sent = time.Now()
	res, err := con.cli.Do(req)
	if err != nil {
		rep.err = err
		return rep
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	rep.status, rep.signed, rep.body, rep.err = res.StatusCode, res.Header.Get("Amaranthvalve-Response-Signature") != "", string(text), err
	return rep
}
