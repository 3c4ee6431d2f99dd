package dial

import (
	"context"
	"net"

	"amaranthvalve/pkg/reach"
)

// Counted returns a function that dials by next and passes each result to count.
func Counted(next Func, count func(res reach.Result)) Func {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		con, err := next(ctx, network, addr)
		count(ResultOf(err))
		return con, err
	}
}
