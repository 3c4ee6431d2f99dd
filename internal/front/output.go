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

// writeWait bounds one write to a caller. A caller that reads no more would
// otherwise hold a place at an engine until its deadline.
const writeWait = 5 * time.Second

// output writes one answer to a caller.
type output struct {
	fr    *Front
	wrt   http.ResponseWriter
	ctl   *http.ResponseController
	begun bool
	// last tells that the caller's connection must close after the answer.
	last bool
}

func newOutput(fr *Front, wrt http.ResponseWriter) *output {
	return &output{fr: fr, wrt: wrt, ctl: http.NewResponseController(wrt)}
}

// head writes an endpoint's status and headers.
func (out *output) head(rsp *relay.Response, length int) {
	hdr := out.wrt.Header()
	for name, vals := range rsp.Header {
		hdr[name] = vals
	}
	hdr.Del("Content-Length")
	if length >= 0 {
		hdr.Set("Content-Length", strconv.Itoa(length))
	}
	// The library would guess a type where the endpoint named none.
	if _, ok := hdr["Content-Type"]; !ok {
		hdr["Content-Type"] = nil
	}
	out.close(hdr)
	out.begun = true
	out.wrt.WriteHeader(rsp.Status)
}

func (out *output) close(hdr http.Header) {
	if _, leaving := out.fr.leaving(); leaving || out.last {
		hdr.Set("Connection", "close")
	}
}

// whole writes an answer that is there whole.
func (out *output) whole(rsp *relay.Response, body []byte) error {
	out.head(rsp, len(body))
	return out.write(body)
}

// write writes a part and sends it on its way.
func (out *output) write(part []byte) error {
	_ = out.ctl.SetWriteDeadline(time.Now().Add(writeWait))
	if _, err := out.wrt.Write(part); err != nil {
		return err
	}
	return out.ctl.Flush()
}

// failure is the body of an answer of our own.
type failure struct {
	Outcome      string      `json:"outcome"`
	Reason       string      `json:"reason"`
	Detail       string      `json:"detail,omitempty"`
	RetryAfterMs clock.Milli `json:"retry_after_ms,omitempty"`
}

// fail answers for a request that no endpoint answered. An answer that has begun
// can't be taken back: the connection is broken, so that its end doesn't look like
// the answer's.
func (out *output) fail(res outcm.Result) {
	if out.begun {
		panic(http.ErrAbortHandler)
	}
	hdr := out.wrt.Header()
	hdr.Set("Content-Type", "application/json")
	if after := res.RetryAfter(); after > 0 {
		hdr.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	out.close(hdr)
	body, err := json.Marshal(failure{
		Outcome: res.Outcome().String(), Reason: res.Reason().String(), Detail: res.Detail(), RetryAfterMs: res.RetryAfter(),
	})
	if err != nil {
		body = nil
	}
	hdr.Set("Content-Length", strconv.Itoa(len(body)))
	out.wrt.WriteHeader(statusOf(res))
	_ = out.write(body)
}

// statusOf gives the status of a failure. What may have run is never told by a
// status that promises that it hasn't.
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
