package relay

import (
	"net/http"
	"time"
)

// Heard is called with each answer from an address and the time since its request was sent.
type Heard func(addr string, res *http.Response, ago time.Duration)

// observedTransport passes the answers of a transport to a [Heard] function.
type observedTransport struct {
	next    http.RoundTripper
	observe Heard
}

func (obt *observedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	sent := time.Now()
	res, err := obt.next.RoundTrip(req)
	if err == nil && obt.observe != nil {
		obt.observe(req.URL.Host, res, time.Since(sent))
	}
	return res, err
}
