package relay

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// withTrace records when a connection is established: a request with a connection may have been
// written, whatever error is returned. wrt gets the end of the writing and its failure; onWritten is called when
// all of the request has been written, it may be nil.
func withTrace(ctx context.Context, connected *atomic.Bool, wrt *written, onWritten func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			wrt.end()
			if info.Err == nil && onWritten != nil {
				onWritten()
			}
		},
	})
}
