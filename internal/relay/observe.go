package relay

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"amaranthvalve/pkg/ident"
)

// Exchange is a request with its answer.
type Exchange struct {
	Request  *http.Request
	Response *http.Response
	// Ago is the time since the request was sent.
	Ago time.Duration
	// Relay is the instance that relayed the connection, empty for a direct one.
	Relay ident.Incarnation
}

// Observer is called with each request that was answered.
type Observer func(xch Exchange)

// observedTransport passes the answers of a transport to an [Observer].
type observedTransport struct {
	next    http.RoundTripper
	observe Observer
}

// relayedConn is a connection that another instance may relay.
type relayedConn interface {
	Relay() ident.Incarnation
}

func (obt *observedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if obt.observe == nil {
		return obt.next.RoundTrip(req)
	}
	sent := time.Now()
	var relay atomic.Value
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) {
		if con, ok := inf.Conn.(relayedConn); ok {
			relay.Store(con.Relay())
		}
	}})
	res, err := obt.next.RoundTrip(req.WithContext(ctx))
	if err == nil {
		by, _ := relay.Load().(ident.Incarnation)
		obt.observe(Exchange{Request: req, Response: res, Ago: time.Since(sent), Relay: by})
	}
	return res, err
}
