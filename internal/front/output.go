package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"amaranthvalve/internal/relay"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

// writeTimeout bounds one write to a caller. A caller that has stopped reading would otherwise
// hold a slot at an engine until its deadline.
const writeTimeout = 5 * time.Second

// output writes one response to a caller.
type output struct {
	fr       *Front
	wrt      http.ResponseWriter
	ctl      *http.ResponseController
	headSent bool
	// closeAfter is set when the caller's connection must be closed after the response.
	closeAfter bool
}

func newOutput(fr *Front, wrt http.ResponseWriter) *output {
	return &output{fr: fr, wrt: wrt, ctl: http.NewResponseController(wrt)}
}

// writeHead writes an endpoint's status and headers.
func (out *output) writeHead(rsp *relay.Response, length int) {
	hdr := out.wrt.Header()
	for name, vals := range rsp.Header {
		hdr[name] = vals
	}
	hdr.Del("Content-Length")
	if length >= 0 {
		hdr.Set("Content-Length", strconv.Itoa(length))
	}
	// net/http would guess a content type where the endpoint set none.
	if _, ok := hdr["Content-Type"]; !ok {
		hdr["Content-Type"] = nil
	}
	out.setClose(hdr)
	out.headSent = true
	out.wrt.WriteHeader(rsp.Status)
}

func (out *output) setClose(hdr http.Header) {
	if _, leaving := out.fr.stopping(); leaving || out.closeAfter {
		hdr.Set("Connection", "close")
	}
}

// writeBuffered writes a complete response.
func (out *output) writeBuffered(rsp *relay.Response, body []byte) error {
	out.writeHead(rsp, len(body))
	return out.write(body)
}

// write writes a part of the body and flushes it.
func (out *output) write(part []byte) error {
	_ = out.ctl.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := out.wrt.Write(part); err != nil {
		return err
	}
	return out.ctl.Flush()
}

// failureBody is the body of a response of our own.
type failureBody struct {
	Outcome      string      `json:"outcome"`
	Reason       string      `json:"reason"`
	Detail       string      `json:"detail,omitempty"`
	RetryAfterMs clock.Milli `json:"retry_after_ms,omitempty"`
}

// writeFailure answers a request that no endpoint answered. A response that has begun can't be
// taken back: its connection is aborted, so that it doesn't look complete.
func (out *output) writeFailure(res outcm.Result) {
	if out.headSent {
		panic(http.ErrAbortHandler)
	}
	hdr := out.wrt.Header()
	hdr.Set("Content-Type", "application/json")
	if after := res.RetryAfter(); after > 0 {
		hdr.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	out.setClose(hdr)
	body, err := json.Marshal(failureBody{
		Outcome: res.Outcome().String(), Reason: res.Reason().String(), Detail: res.Detail(), RetryAfterMs: res.RetryAfter(),
	})
	if err != nil {
		body = nil
	}
	hdr.Set("Content-Length", strconv.Itoa(len(body)))
	out.wrt.WriteHeader(statusOf(res))
	_ = out.write(body)
}

// statusOf returns the status code of a failure. A request that may have run never gets a status
// which promises that it hasn't.
func statusOf(res outcm.Result) int {
	switch {
	case res.Outcome() == outcm.NotRun && res.Reason() == outcm.DeadlinePassed:
		return http.StatusServiceUnavailable
	case res.Outcome() == outcm.NotRun:
		return res.Status()
	case res.Reason() == outcm.DeadlinePassed:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
