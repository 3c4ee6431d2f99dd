package serve

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

// DrainServer is a server with fixed limits whose planned shutdown answers requests on all connections
// that it has accepted. It is created by [NewDrainServer].
type DrainServer struct {
	lsn       *queueListener
	srv       *http.Server
	liveConns atomic.Int64
}

// NewDrainServer returns a server like [NewPlain] on a listener, with at most maxConns connections at
// a time. The connections in the kernel's accept queue at shutdown are accepted beyond that limit.
func NewDrainServer(handler http.Handler, lsn net.Listener, maxConns int) *DrainServer {
	drn := &DrainServer{lsn: &queueListener{Listener: netutil.LimitListener(lsn, maxConns), raw: lsn}, srv: NewPlain(handler)}
	drn.srv.ConnState = drn.countConn
	return drn
}

func (drn *DrainServer) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		drn.liveConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		drn.liveConns.Add(-1)
	}
}

// Serve accepts connections until the listener is closed.
func (drn *DrainServer) Serve() {
	drn.liveConns.Add(1)
	defer drn.liveConns.Add(-1)
	_ = drn.srv.Serve(drn.lsn)
}

// Shutdown closes the listener and waits like [Server.Shutdown].
func (drn *DrainServer) Shutdown(ctx context.Context) {
	drn.lsn.drain()
	drn.srv.SetKeepAlivesEnabled(false)
	waitIdle(ctx, &drn.liveConns)
	_ = drn.srv.Shutdown(ctx)
}

// Close closes all connections at once.
func (drn *DrainServer) Close() { _ = drn.srv.Close() }

// waitIdle waits until no connection is left or the context ends.
func waitIdle(ctx context.Context, live *atomic.Int64) {
	for live.Load() > 0 && ctx.Err() == nil {
		time.Sleep(idlePollInterval)
	}
}
