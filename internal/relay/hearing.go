package relay

import (
	"net/http"
	"time"
)

// Heard is told of an answer from an address, whatever was asked there, and of how long ago
// the question was sent.
type Heard func(addr string, res *http.Response, ago time.Duration)

// hearing tells of the answers that a transport gets.
type hearing struct {
	next  http.RoundTripper
	heard Heard
}

func (hrg *hearing) RoundTrip(req *http.Request) (*http.Response, error) {
	sent := time.Now()
	res, err := hrg.next.RoundTrip(req)
	if err == nil && hrg.heard != nil {
		hrg.heard(req.URL.Host, res, time.Since(sent))
	}
	return res, err
}
