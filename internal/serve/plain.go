package serve

import (
	"net/http"
	"time"
)

// Bounds of the interfaces whose limits don't change.
const (
	maxHeader = 16 << 10
	// HeaderTimeout bounds how long a header may take to come.
	HeaderTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
)

// Plain returns a server that bounds what a slow or hostile sender can hold. There
// is no write timeout: streams last as long as their deadline; each event has its
// own.
func Plain(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: HeaderTimeout,
		ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
}
