package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a consumer's request.
type request struct {
	method, path, host, id, key, body string
	deadline                          time.Duration
	header                            map[string]string
}

// answer is what a consumer got; status is 0 if there was no complete answer.
type answer struct {
	status    int
	signature string
	body      string
	err       error
}

// text returns the request as it is sent.
func (rqs request) text() string {
	var txt strings.Builder
	fmt.Fprintf(&txt, "%s %s HTTP/1.1\r\nHost: %s\r\n", rqs.method, rqs.path, rqs.host)
	if rqs.id != "" {
		fmt.Fprintf(&txt, "%s: %s\r\n%s: %d\r\n", hdrID, rqs.id, hdrDeadline, rqs.deadline.Milliseconds())
	}
	if rqs.key != "" {
		fmt.Fprintf(&txt, "Authorization: Bearer %s\r\n", rqs.key)
	}
	for name, val := range rqs.header {
		fmt.Fprintf(&txt, "%s: %s\r\n", name, val)
	}
	if rqs.body != "" || rqs.method == "POST" {
		fmt.Fprintf(&txt, "Content-Length: %d\r\n", len(rqs.body))
	}
	return txt.String() + "\r\n" + rqs.body
}

// exchange sends a request on a new channel and reads the answer.
func exchange(addr string, rqs request, wait time.Duration) answer {
	con, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = con.Close() }()
	_ = con.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(con, rqs.text()); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(con), &http.Request{Method: rqs.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	ans := answer{status: res.StatusCode, signature: res.Header.Get(hdrSignature), body: string(body), err: err}
	if err != nil {
		ans.status = 0
	}
	return ans
}
