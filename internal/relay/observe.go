package relay

import (
	"net/http"
	"time"
)

// Observer is called with each request and its answer, and the time since the request was sent.
type Observer func(req *http.Request, res *http.Response, ago time.Duration)

// observedTransport passes the answers of a transport to an [Observer].
type observedTransport struct {
	next    http.RoundTripper
	observe Observer
}

func (obt *observedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	sent := time.Now()
	res, err := obt.next.RoundTrip(req)
	if err == nil && obt.observe != nil {
		obt.observe(req, res, time.Since(sent))
	}
	return res, err
}
