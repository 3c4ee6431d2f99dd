package serve

import (
	"net/http"
	"time"
)

// Limits of [NewPlain] and [NewDrainServer], which documents do not change.
const (
	maxHeaderBytes = 16 << 10
	// HeaderTimeout bounds how long a header may take to arrive.
	HeaderTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
)

// NewPlain returns a server that bounds the memory and the time that a slow or hostile sender can
// occupy. It has no write timeout: streams last until their deadline, and each event has a timeout of
// its own.
func NewPlain(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: HeaderTimeout,
		ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
}
