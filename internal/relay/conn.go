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
		if allowed, ok := ctx.Value(allowedKey{}).(func() bool); ok {
			if !allowed() {
				_ = con.Close()
				return nil, errWithheld
			}
			con = Checked(con, allowed, errWithheld)
		}
		if wrt, ok := ctx.Value(writtenKey{}).(*written); ok {
			return &trackedConn{Conn: con, wrt: wrt}, nil
		}
		return con, nil
	}
}

// Checked returns a connection whose first write fails with err unless allowed reports true: the process may stand still
// between the last check of a request and its first byte.
func Checked(con net.Conn, allowed func() bool, err error) net.Conn {
	return &checkedConn{Conn: con, allowed: allowed, err: err}
}

// checkedConn is a connection made by [Checked]. allowed is nil once it has been written to.
type checkedConn struct {
	net.Conn
	allowed func() bool
	err     error
}

func (ccn *checkedConn) Write(buf []byte) (int, error) {
	if allowed := ccn.allowed; allowed != nil {
		ccn.allowed = nil
		if !allowed() {
			return 0, ccn.err
		}
	}
	return ccn.Conn.Write(buf)
}

// Relay returns the instance that relays the connection, empty for a direct one.
func (ccn *checkedConn) Relay() ident.Incarnation { return relayOf(ccn.Conn) }

// relayOf returns the instance that relays a connection, empty for a direct one.
func relayOf(con net.Conn) ident.Incarnation {
	if rcn, ok := con.(relayedConn); ok {
		return rcn.Relay()
	}
	return ""
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
func (tcn *trackedConn) Relay() ident.Incarnation { return relayOf(tcn.Conn) }
