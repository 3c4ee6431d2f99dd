// Package serve accepts callers' connections under limits that may change.
//
// net/http fixes a server's timeouts when it starts. Operators' documents change them at any time, so
// each set of limits has an http.Server of its own: connections are accepted in one place and handed
// to the newest server; those of an older one stay with it until they close.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amaranthvalve/pkg/clock"
)

const (
	// bodyTimeout bounds the reading of a request, header and body.
	bodyTimeout = 30 * time.Second
	// maxRawHeader is how much net/http reads of a header before it refuses with a response of
	// its own; the documents' limit is far lower and is checked later.
	maxRawHeader = 256 << 10
	// defaultHeaderTimeout and defaultIdleTimeout apply until the first documents are known.
	defaultHeaderTimeout = 5 * clock.Second
	defaultIdleTimeout   = 30 * clock.Second
	// maxPendingConns is how many accepted connections may wait for their server.
	maxPendingConns = 64
	// idlePollInterval is how often a planned shutdown checks whether connections are left.
	idlePollInterval = 5 * time.Millisecond
	// abortGrace is how long requests that a planned shutdown aborts may take to be answered.
	abortGrace = 100 * time.Millisecond
)

// ErrAborted is the cancellation cause of requests' contexts when a planned shutdown aborts them.
var ErrAborted = errors.New("instance stopped: request aborted")

// Limits are the timeouts of a connection.
type Limits struct {
	HeaderTimeout clock.Milli
	IdleTimeout   clock.Milli
}

// Server accepts connections. It is created by [New].
type Server struct {
	lsn     *queueListener
	handler http.Handler

	mtx     sync.Mutex
	limits  Limits
	newest  *connListener
	servers []*http.Server
	closed  bool
	// liveConns counts the connections that were accepted and have not closed.
	liveConns atomic.Int64
	// base is the parent context of all requests, abort cancels it.
	base  context.Context
	abort context.CancelCauseFunc
}

// New returns a server on a listener.
func New(lsn net.Listener, handler http.Handler) *Server {
	srv := &Server{lsn: &queueListener{Listener: lsn, raw: lsn}, handler: handler}
	srv.base, srv.abort = context.WithCancelCause(context.Background())
	srv.SetLimits(Limits{})
	return srv
}

// SetLimits sets the limits of connections accepted from now on; zeros stand for the defaults.
func (srv *Server) SetLimits(lim Limits) {
	if lim.HeaderTimeout <= 0 {
		lim.HeaderTimeout = defaultHeaderTimeout
	}
	if lim.IdleTimeout <= 0 {
		lim.IdleTimeout = defaultIdleTimeout
	}
	srv.mtx.Lock()
	defer srv.mtx.Unlock()
	if lim == srv.limits || srv.closed {
		return
	}
	srv.limits = lim
	srv.newest = &connListener{addr: srv.lsn.Addr(), conns: make(chan net.Conn, maxPendingConns), done: make(chan struct{})}
	one := &http.Server{
		Handler: inspectHeads(srv.handler), ConnContext: withHeadConn, MaxHeaderBytes: maxRawHeader, ReadHeaderTimeout: lim.HeaderTimeout.Duration(),
		ReadTimeout: bodyTimeout, IdleTimeout: lim.IdleTimeout.Duration(), ConnState: srv.countConn,
		BaseContext: func(net.Listener) context.Context { return srv.base },
	}
	srv.servers = append(srv.servers, one)
	go func(cln *connListener) { _ = one.Serve(cln) }(srv.newest)
}

// Serve accepts connections until the listener is closed.
func (srv *Server) Serve() {
	srv.liveConns.Add(1)
	defer srv.liveConns.Add(-1)
	for {
		con, err := srv.lsn.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Usually out of file descriptors, which is temporary.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		srv.mtx.Lock()
		cln := srv.newest
		srv.mtx.Unlock()
		srv.liveConns.Add(1)
		if !cln.deliver(con) {
			srv.liveConns.Add(-1)
		}
	}
}

// countConn removes closed connections from liveConns.
func (srv *Server) countConn(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		srv.liveConns.Add(-1)
	}
}

// Shutdown closes the listener and idle connections, and waits for requests in flight until the
// context ends. Requests on connections that were accepted before, or are in the accept queue, are
// answered: net/http's own Shutdown closes connections whose heads it hasn't read yet without a
// response.
func (srv *Server) Shutdown(ctx context.Context) {
	srv.lsn.drain()
	srv.mtx.Lock()
	srv.closed = true
	all := srv.servers
	srv.mtx.Unlock()
	for _, one := range all {
		one.SetKeepAlivesEnabled(false)
	}
	waitIdle(ctx, &srv.liveConns)
}

// Abort aborts the requests in flight. Callers without a response get one that says whether their
// request may have run, which a closed connection would not.
func (srv *Server) Abort() {
	srv.abort(ErrAborted)
	ctx, cancel := context.WithTimeout(context.Background(), abortGrace)
	defer cancel()
	waitIdle(ctx, &srv.liveConns)
}

// Close closes all connections at once.
func (srv *Server) Close() {
	_ = srv.lsn.Close()
	srv.abort(ErrAborted)
	srv.mtx.Lock()
	defer srv.mtx.Unlock()
	srv.closed = true
	for _, one := range srv.servers {
		_ = one.Close()
	}
}

// connListener is the listener of the server with one set of limits.
type connListener struct {
	addr  net.Addr
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// deliver hands a connection to the server and reports whether the server still runs.
func (cln *connListener) deliver(con net.Conn) bool {
	select {
	case cln.conns <- &headConn{Conn: con}:
		return true
	case <-cln.done:
		_ = con.Close()
		return false
	}
}

// Accept implements net.Listener.
func (cln *connListener) Accept() (net.Conn, error) {
	select {
	case con := <-cln.conns:
		return con, nil
	case <-cln.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (cln *connListener) Close() error {
	cln.once.Do(func() { close(cln.done) })
	return nil
}

// Addr implements net.Listener.
func (cln *connListener) Addr() net.Addr { return cln.addr }
