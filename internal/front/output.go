package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"amaranthvalve/internal/relay"
	"amaranthvalve/internal/serve"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

// writeTimeout bounds one write to a caller. A caller that has stopped reading would otherwise
// hold a slot at an engine until its deadline.
const writeTimeout = 5 * time.Second

// output writes one response to a caller.
type output struct {
	fr       *Front
	req      *http.Request
	wrt      http.ResponseWriter
	ctl      *http.ResponseController
	headSent bool
	// delivered is set if the response ends with its connection; it is called at its end.
	delivered func()
	// closeAfter is set when the caller's connection must be closed after the response.
	closeAfter bool
}

func newOutput(fr *Front, wrt http.ResponseWriter, req *http.Request) *output {
	return &output{fr: fr, req: req, wrt: wrt, ctl: http.NewResponseController(wrt)}
}

// writeHead writes an endpoint's status and headers. The response claims no more than that of the endpoint:
// if it has no framing, neither has the response. HTTP 1.0 has no chunks, so there a response without a
// length has no framing either.
func (out *output) writeHead(rsp *relay.Response, length int) {
	hdr := out.wrt.Header()
	for name, vals := range rsp.Header {
		hdr[name] = vals
	}
	hdr.Del("Content-Length")
	switch {
	case !rsp.Framing.ProvesEnd() || length < 0 && !out.req.ProtoAtLeast(1, 1):
		// This makes net/http neither compute a length nor use chunks.
		hdr.Set("Transfer-Encoding", "identity")
		out.delivered = serve.DelimitByClose(out.req)
	case length >= 0:
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

// provesEnd reports whether the end of the response tells the caller that it is complete.
func (out *output) provesEnd() bool { return out.delivered == nil }

// finish ends a response that was written completely.
func (out *output) finish() {
	if out.delivered != nil {
		out.delivered()
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
// taken back: its connection is aborted, and reset if the response ends with it, so that it doesn't look
// complete.
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
