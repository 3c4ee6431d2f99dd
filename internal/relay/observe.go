package relay

import (
	"net/http"
	"time"
)

// Observer is called with each answer from an address and the time since its request was sent.
type Observer func(addr string, res *http.Response, ago time.Duration)

// observedTransport passes the answers of a transport to an [Observer].
type observedTransport struct {
	next    http.RoundTripper
	observe Observer
}

func (obt *observedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	sent := time.Now()
	res, err := obt.next.RoundTrip(req)
	if err == nil && obt.observe != nil {
		obt.observe(req.URL.Host, res, time.Since(sent))
	}
	return res, err
}
