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

// observedTransport bounds the heads of answers in time and number, and passes them to an [Observer].
type observedTransport struct {
	next    http.RoundTripper
	observe Observer
}

// relayedConn is a connection that another instance may relay.
type relayedConn interface {
	Relay() ident.Incarnation
}

func (obt *observedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	sent := time.Now()
	var relay atomic.Value
	var hwt headWatch
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(inf httptrace.GotConnInfo) {
			hwt.setConn(inf.Conn)
			if con, ok := inf.Conn.(relayedConn); ok {
				relay.Store(con.Relay())
			}
		},
		GotFirstResponseByte: hwt.begin,
		Got1xxResponse:       hwt.interim,
	})
	res, err := obt.next.RoundTrip(req.WithContext(ctx))
	hwt.stop()
	if err != nil {
		return nil, hwt.explain(req.Context(), err)
	}
	if obt.observe != nil {
		by, _ := relay.Load().(ident.Incarnation)
		obt.observe(Exchange{Request: req, Response: res, Ago: time.Since(sent), Relay: by})
	}
	return res, nil
}
