package relay

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// withTrace notes when a connection was had: a request that has a connection may have
// been written, whatever error comes back. written is told when all of it was; it may
// be nil.
func withTrace(ctx context.Context, connected *atomic.Bool, written func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil && written != nil {
				written()
			}
		},
	})
}
