package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// endedAgain is the pause before an address is tried once more: a process that ends closes
	// its connections and its listener one after another.
	endedAgain = 50 * time.Millisecond
	// acceptedMost is how many connections an address takes before its process goes on for certain,
	// silentMost how often it may give no answer, since packets get lost.
	acceptedMost = 2
	silentMost   = 3
)

// Ended tells whether the process at an address has ended: connections to it are refused. Of
// one that can't be reached, or where another process listens already, nothing is told.
func Ended(ctx context.Context, addr string) bool {
	dlr := Dialer()
	return ended(ctx, func(ctx context.Context) (net.Conn, error) { return dlr.DialContext(ctx, "tcp", addr) })
}

func ended(ctx context.Context, dial func(ctx context.Context) (net.Conn, error)) bool {
	for accepted, silent := 0, 0; ; {
		con, err := dial(ctx)
		switch {
		case err == nil:
			_ = con.Close()
			accepted++
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		default:
			silent++
		}
		if accepted >= acceptedMost || silent >= silentMost || !sleep(ctx, endedAgain) {
			return false
		}
	}
}

// sleep waits; false if the context ended first.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}
