package serve

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

// Draining is a plain server whose planned stop answers all that it accepted. It is made by
// [NewDraining].
type Draining struct {
	lsn  *queueListener
	srv  *http.Server
	live atomic.Int64
}

// NewDraining returns a server like [Plain] on a listener, with at most so many
// connections at a time. Those that wait when it is shut down are taken beyond that.
func NewDraining(handler http.Handler, lsn net.Listener, most int) *Draining {
	drn := &Draining{lsn: &queueListener{Listener: netutil.LimitListener(lsn, most), raw: lsn}, srv: Plain(handler)}
	drn.srv.ConnState = drn.note
	return drn
}

func (drn *Draining) note(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		drn.live.Add(1)
	case http.StateClosed, http.StateHijacked:
		drn.live.Add(-1)
	}
}

// Serve accepts connections until the listener is closed.
func (drn *Draining) Serve() {
	drn.live.Add(1)
	defer drn.live.Add(-1)
	_ = drn.srv.Serve(drn.lsn)
}

// Shutdown closes the listener and ends like [Server.Shutdown].
func (drn *Draining) Shutdown(ctx context.Context) {
	drn.lsn.drain()
	drn.srv.SetKeepAlivesEnabled(false)
	quiet(ctx, &drn.live)
	_ = drn.srv.Shutdown(ctx)
}

// Close ends all connections at once.
func (drn *Draining) Close() { _ = drn.srv.Close() }

// quiet waits until no connection is left.
func quiet(ctx context.Context, live *atomic.Int64) {
	for live.Load() > 0 && ctx.Err() == nil {
		time.Sleep(quietStep)
	}
}
