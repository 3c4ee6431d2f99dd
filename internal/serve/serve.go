// Package serve accepts callers' connections under limits that may change.
//
// net/http fixes a server's time-outs when it starts. Operators' documents change
// them at any time, so each set of limits has a server of its own: connections are
// accepted in one place and handed to the newest; those that an older one has stay
// with it until they close.
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
	// headerRoom is what net/http reads of a header before it refuses in words
	// of its own; the documents' bound lies far below and is checked later.
	headerRoom = 256 << 10
	// Limits until the first documents are known.
	firstHeader = 5 * clock.Second
	firstIdle   = 30 * clock.Second
	// handOver is how many connections may wait to be handed on.
	handOver = 64
	// quietStep is how often a planned stop looks whether connections are left.
	quietStep = 5 * time.Millisecond
	// giveUpWait is how long requests that a planned stop gives up may take to be answered.
	giveUpWait = 100 * time.Millisecond
)

// ErrGivenUp is the cause of the end of requests' contexts when a planned stop gives them up.
var ErrGivenUp = errors.New("the instance has stopped")

// Limits bound a connection.
type Limits struct {
	Header clock.Milli
	Idle   clock.Milli
}

// Server accepts connections. It is made by [New].
type Server struct {
	lsn     *queueListener
	handler http.Handler

	mtx     sync.Mutex
	limits  Limits
	current *inlet
	all     []*http.Server
	closed  bool
	// live counts the connections that were accepted and have not ended.
	live atomic.Int64
	// base is the context of all requests, end gives them up.
	base context.Context
	end  context.CancelCauseFunc
}

// New returns a server on a listener.
func New(lsn net.Listener, handler http.Handler) *Server {
	srv := &Server{lsn: &queueListener{Listener: lsn, raw: lsn}, handler: handler}
	srv.base, srv.end = context.WithCancelCause(context.Background())
	srv.SetLimits(Limits{})
	return srv
}

// SetLimits makes limits hold for the connections that come from now on; zeros
// stand for the package's own.
func (srv *Server) SetLimits(lim Limits) {
	if lim.Header <= 0 {
		lim.Header = firstHeader
	}
	if lim.Idle <= 0 {
		lim.Idle = firstIdle
	}
	srv.mtx.Lock()
	defer srv.mtx.Unlock()
	if lim == srv.limits || srv.closed {
		return
	}
	srv.limits = lim
	srv.current = &inlet{addr: srv.lsn.Addr(), conns: make(chan net.Conn, handOver), done: make(chan struct{})}
	one := &http.Server{
		Handler: watched(srv.handler), ConnContext: withGuard, MaxHeaderBytes: headerRoom, ReadHeaderTimeout: lim.Header.Duration(),
		ReadTimeout: bodyTimeout, IdleTimeout: lim.Idle.Duration(), ConnState: srv.note,
		BaseContext: func(net.Listener) context.Context { return srv.base },
	}
	srv.all = append(srv.all, one)
	go func(inl *inlet) { _ = one.Serve(inl) }(srv.current)
}

// Serve accepts connections until the listener is closed.
func (srv *Server) Serve() {
	srv.live.Add(1)
	defer srv.live.Add(-1)
	for {
		con, err := srv.lsn.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors, mostly; they come back.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		srv.mtx.Lock()
		inl := srv.current
		srv.mtx.Unlock()
		srv.live.Add(1)
		if !inl.give(con) {
			srv.live.Add(-1)
		}
	}
}

// note counts the ends of connections.
func (srv *Server) note(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		srv.live.Add(-1)
	}
}

// Shutdown closes the listener and idle connections, and waits for requests under
// way until the context ends. Connections that were accepted before, or wait to be, have their
// requests answered: net/http's own Shutdown closes those without a word whose heads it hasn't read yet.
func (srv *Server) Shutdown(ctx context.Context) {
	srv.lsn.drain()
	srv.mtx.Lock()
	srv.closed = true
	all := srv.all
	srv.mtx.Unlock()
	for _, one := range all {
		one.SetKeepAlivesEnabled(false)
	}
	quiet(ctx, &srv.live)
}

// GiveUp ends what is under way. Who has no answer yet is told what is known of the request,
// which the end of a connection doesn't tell.
func (srv *Server) GiveUp() {
	srv.end(ErrGivenUp)
	ctx, cancel := context.WithTimeout(context.Background(), giveUpWait)
	defer cancel()
	quiet(ctx, &srv.live)
}

// Close ends all connections at once.
func (srv *Server) Close() {
	_ = srv.lsn.Close()
	srv.end(ErrGivenUp)
	srv.mtx.Lock()
	defer srv.mtx.Unlock()
	srv.closed = true
	for _, one := range srv.all {
		_ = one.Close()
	}
}

// inlet is the listener of one set of limits.
type inlet struct {
	addr  net.Addr
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// give hands a connection on; false if the server has ended.
func (inl *inlet) give(con net.Conn) bool {
	select {
	case inl.conns <- &guard{Conn: con}:
		return true
	case <-inl.done:
		_ = con.Close()
		return false
	}
}

// Accept implements net.Listener.
func (inl *inlet) Accept() (net.Conn, error) {
	select {
	case con := <-inl.conns:
		return con, nil
	case <-inl.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (inl *inlet) Close() error {
	inl.once.Do(func() { close(inl.done) })
	return nil
}

// Addr implements net.Listener.
func (inl *inlet) Addr() net.Addr { return inl.addr }
