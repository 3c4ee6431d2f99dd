package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "pule25.example"

// newID returns the ID of a consumer's attempt.
func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// reply is what a consumer got.
type reply struct {
	status int
	body   string
	signed bool
	err    error
}

// consumer sends requests over kept channels.
type consumer struct{ cli *http.Client }

func newConsumer() *consumer {
	return &consumer{cli: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// send sends one attempt to an instance.
func (con *consumer) send(addr, path, id string, deadline time.Duration, header map[string]string, body string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	req.Header.Set("Amaranthvalve-Request-Id", id)
	req.Header.Set("Amaranthvalve-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	for name, val := range header {
		req.Header.Set(name, val)
	}
	tmr := time.AfterFunc(deadline+2*time.Second, con.cli.CloseIdleConnections)
	defer tmr.Stop()
	res, err := con.cli.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, body: string(text), signed: res.Header.Get("Amaranthvalve-Response-Signature") != "", err: err}
}
