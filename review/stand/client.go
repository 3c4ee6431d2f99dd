package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mtx   sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, began: time.Now()}, err
}

func (rec *recorder) logf(format string, args ...any) {
	rec.mtx.Lock()
	defer rec.mtx.Unlock()
	_, _ = fmt.Fprintf(rec.file, "%8.3f s  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (rec *recorder) say(format string, args ...any) {
	rec.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

var requestSeq atomic.Int64

// newID returns the id of a consumer attempt.
func newID() string { return fmt.Sprintf("%04x%012x", os.Getpid()&0xffff, requestSeq.Add(1)) }

// request is one attempt of a consumer.
type request struct {
	id, method, target, host, key string
	deadline                      time.Duration
	headers                       []string
	body                          string
}

// answer is what the consumer got.
type answer struct {
	status int
	signed bool
	id     string
	body   string
	err    error
}

// send sends one attempt on a channel of its own and reads its answer. The request target is sent to the letter.
func send(addr string, rqs request) answer {
	con, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = con.Close() }()
	_ = con.SetDeadline(time.Now().Add(rqs.deadline))
	lines := []string{
		rqs.method + " " + rqs.target + " HTTP/1.1", "Host: " + rqs.host, "Amaranthvalve-Request-Id: " + rqs.id,
		fmt.Sprintf("Amaranthvalve-Request-Deadline: %d", rqs.deadline.Milliseconds()),
	}
	if rqs.key != "" {
		lines = append(lines, "Authorization: Bearer "+rqs.key)
	}
	lines = append(lines, rqs.headers...)
	if rqs.method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(rqs.body)))
	}
	if _, err := io.WriteString(con, strings.Join(lines, "\r\n")+"\r\n\r\n"+rqs.body); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(con), &http.Request{Method: rqs.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(res.Body)
	return answer{
		status: res.StatusCode, signed: res.Header.Get("Amaranthvalve-Response-Signature") != "",
		id: res.Header.Get("Amaranthvalve-Request-Id"), body: string(body), err: err,
	}
}

func (ans answer) String() string {
	if ans.err != nil {
		return "no complete answer: " + ans.err.Error()
	}
	if ans.signed {
		return fmt.Sprintf("%d, signed by an engine", ans.status)
	}
	return fmt.Sprintf("%d, not signed", ans.status)
}
