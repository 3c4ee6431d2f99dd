package relay

import (
	"context"
	"errors"
	"net"

	"amaranthvalve/internal/dial"
)

// errWithheld is returned for a request that was not sent because it is no longer allowed.
var errWithheld = errors.New("the request is no longer allowed")

// allowedKey is the context key of a request's Allowed function.
type allowedKey struct{}

func withAllowed(ctx context.Context, allowed func() bool) context.Context {
	if allowed == nil {
		return ctx
	}
	return context.WithValue(ctx, allowedKey{}, allowed)
}

// dialAllowed returns a dial function that closes the new connection if its request is no longer
// allowed. Each connection is dialled for one request.
func dialAllowed(next dial.Func) dial.Func {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		con, err := next(ctx, network, addr)
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
