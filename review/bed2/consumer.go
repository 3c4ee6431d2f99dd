package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// attempt is one consumer attempt: a request with an id of its own.
type attempt struct {
	id     string
	at     time.Time
	front  string
	status int
	took   time.Duration
	err    string
}

// consumers is a group of consumers in one zone. They ask the directories, nearest first, for addresses.
type consumers struct {
	zone        string
	directories []string
	// equal is the number of the first directories that are equally near: each look-up tries these in random order.
	equal      int
	host, path string
	deadline   time.Duration
	prefix     string

	mtx      sync.Mutex
	known    []string
	until    time.Time
	failed   map[string]time.Time
	attempts []attempt
	count    int
}

// failedFor is how long an address that has failed a consumer is excluded.
const failedFor = 3 * time.Second

// addresses returns the addresses that the directory names, cached for the time that it allows.
func (cns *consumers) addresses() []string {
	cns.mtx.Lock()
	if time.Now().Before(cns.until) {
		defer cns.mtx.Unlock()
		return cns.known
	}
	cns.mtx.Unlock()
	nearest := slices.Clone(cns.directories)
	rand.Shuffle(cns.equal, func(i, j int) { nearest[i], nearest[j] = nearest[j], nearest[i] })
	for _, dir := range nearest[:min(3, len(nearest))] {
		cli := http.Client{Timeout: time.Second}
		res, err := cli.Get("http://" + dir + "/-/resolve?name=" + cns.host + "&region=qld-south&zone=" + cns.zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTLS      float64  `json:"ttlS"`
		}
		err = json.NewDecoder(res.Body).Decode(&answer)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
			continue
		}
		cns.mtx.Lock()
		cns.known, cns.until = answer.Addresses, time.Now().Add(time.Duration(min(answer.TTLS, 5)*float64(time.Second)))
		cns.mtx.Unlock()
		break
	}
	cns.mtx.Lock()
	defer cns.mtx.Unlock()
	return cns.known
}

// pick picks one of the addresses at random, except those that have failed.
func (cns *consumers) pick() string {
	list := slices.Clone(cns.addresses())
	cns.mtx.Lock()
	defer cns.mtx.Unlock()
	sound := slices.DeleteFunc(slices.Clone(list), func(addr string) bool { return time.Since(cns.failed[addr]) < failedFor })
	if len(sound) == 0 {
		sound = list
	}
	if len(sound) == 0 {
		return ""
	}
	return sound[rand.IntN(len(sound))]
}

// send sends one attempt on a channel of its own.
func (cns *consumers) send(left time.Duration) attempt {
	cns.mtx.Lock()
	cns.count++
	att := attempt{id: fmt.Sprintf("%s%06d", cns.prefix, cns.count)}
	cns.mtx.Unlock()
	att.front, att.at = cns.pick(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var wait time.Duration
	if att.front == "" {
		att.err = "no address"
	} else if req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+att.front+cns.path, nil); err != nil {
		att.err = err.Error()
	} else {
		req.Host = cns.host
		req.Header.Set("Amaranthvalve-Request-Id", att.id)
		req.Header.Set("Amaranthvalve-Request-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
		trn := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
		res, err := trn.RoundTrip(req)
		if err != nil {
			att.err = err.Error()
			cns.mtx.Lock()
			cns.failed[att.front] = time.Now()
			cns.mtx.Unlock()
		} else {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			att.status = res.StatusCode
			secs, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
			wait = time.Duration(secs * float64(time.Second))
		}
		trn.CloseIdleConnections()
	}
	att.took = time.Since(att.at)
	cns.mtx.Lock()
	cns.attempts = append(cns.attempts, att)
	cns.mtx.Unlock()
	att.took = wait
	return att
}

// request sends an idempotent request and repeats it once within its deadline, after the time that the answer names up to a third of what is left.
func (cns *consumers) request() {
	until := time.Now().Add(cns.deadline)
	att := cns.send(cns.deadline)
	if att.status == http.StatusOK || att.status == http.StatusNotFound {
		return
	}
	time.Sleep(min(att.took, time.Until(until)/3))
	if left := time.Until(until); left > 50*time.Millisecond {
		cns.send(left)
	}
}

// run sends requests at a rate until the context ends; rate returns it for the time since the begin.
func (cns *consumers) run(ctx context.Context, rate func(since time.Duration) float64) {
	began := time.Now()
	var grp sync.WaitGroup
	for ctx.Err() == nil {
		grp.Go(cns.request)
		pause := rand.ExpFloat64() / rate(time.Since(began))
		time.Sleep(time.Duration(pause * float64(time.Second)))
	}
	grp.Wait()
}
