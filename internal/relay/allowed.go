package relay

import (
	"context"
	"errors"
	"net"
)

// errWithheld tells that a request was not sent because it is allowed no longer.
var errWithheld = errors.New("the request is allowed no longer")

// allowedKey finds what tells whether a request is still allowed in its context.
type allowedKey struct{}

func withAllowed(ctx context.Context, allowed func() bool) context.Context {
	if allowed == nil {
		return ctx
	}
	return context.WithValue(ctx, allowedKey{}, allowed)
}

// withheld dials, and gives no connection to a request that is allowed no longer. Each
// connection is dialled for one request.
func withheld(dlr *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		con, err := dlr.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if allowed, ok := ctx.Value(allowedKey{}).(func() bool); ok && !allowed() {
			_ = con.Close()
			return nil, errWithheld
		}
		return con, nil
	}
}
