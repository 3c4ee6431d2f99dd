package relay

import (
	"context"
	"errors"
	"net"

	"amaranthvalve/internal/dial"
	"amaranthvalve/pkg/ident"
)

// errWithheld is returned for a request that was not sent because it is no longer allowed.
var errWithheld = errors.New("the request is no longer allowed")

// allowedKey is the context key of a request's Allowed function.
type allowedKey struct{}

// writtenKey is the context key of the end of a request's writing.
type writtenKey struct{}

func withAllowed(ctx context.Context, allowed func() bool) context.Context {
	if allowed == nil {
		return ctx
	}
	return context.WithValue(ctx, allowedKey{}, allowed)
}

// dialTracked returns a dial function that closes the new connection if its request is no longer
// allowed, and records failed writes. Each connection is dialled for one request.
func dialTracked(next dial.Func) dial.Func {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		con, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if allowed, ok := ctx.Value(allowedKey{}).(func() bool); ok && !allowed() {
			_ = con.Close()
			return nil, errWithheld
		}
		if wrt, ok := ctx.Value(writtenKey{}).(*written); ok {
			return &trackedConn{Conn: con, wrt: wrt}, nil
		}
		return con, nil
	}
}

// trackedConn records the failure of a write. A write that fails because the connection was closed on this side is
// none: the transport does so when the answer has ended, which may be before all of the request is written.
type trackedConn struct {
	net.Conn
	wrt *written
}

func (tcn *trackedConn) Write(buf []byte) (int, error) {
	n, err := tcn.Conn.Write(buf)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		tcn.wrt.broken.Store(true)
	}
	return n, err
}

// Relay returns the instance that relays the connection, empty for a direct one.
func (tcn *trackedConn) Relay() ident.Incarnation {
	if rcn, ok := tcn.Conn.(relayedConn); ok {
		return rcn.Relay()
	}
	return ""
}
