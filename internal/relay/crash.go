package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"amaranthvalve/internal/dial"
)

const (
	// crashCheckInterval is the pause between two dials of an address: a process that ends closes
	// its connections and its listener one after another.
	crashCheckInterval = 50 * time.Millisecond
	// maxAccepted is the number of accepted connections after which the process counts as running,
	// maxUnanswered the number of unanswered dials after which it counts as unreachable: packets
	// get lost.
	maxAccepted   = 2
	maxUnanswered = 3
)

// ProcessEnded reports whether the process at an address has ended: connections to it are refused.
// It returns false if the address can't be reached, or if another process already listens there.
func ProcessEnded(ctx context.Context, addr string) bool {
	dlr := dial.Direct()
	return refusesConnections(ctx, func(ctx context.Context) (net.Conn, error) { return dlr.DialContext(ctx, "tcp", addr) })
}

func refusesConnections(ctx context.Context, dial func(ctx context.Context) (net.Conn, error)) bool {
	for accepted, unanswered := 0, 0; ; {
		con, err := dial(ctx)
		switch {
		case err == nil:
			_ = con.Close()
			accepted++
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		default:
			unanswered++
		}
		if accepted >= maxAccepted || unanswered >= maxUnanswered || !sleep(ctx, crashCheckInterval) {
			return false
		}
	}
}

// sleep waits for a span; it returns false if the context ended first.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}
