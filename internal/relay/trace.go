package relay

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// withTrace notes when a connection was had. A request that has a connection may
// have been written, whatever error comes back.
func withTrace(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}
