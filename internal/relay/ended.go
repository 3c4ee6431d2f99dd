package relay

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	// endedAgain is the pause before an address that took a connection is tried once more: a
	// process that ends closes its connections and its listener one after another.
	endedAgain = 50 * time.Millisecond
	endedTries = 2
)

// Ended tells whether the process at an address has ended: connections to it are refused. Of
// one that can't be reached, or where another process listens already, nothing is told.
func Ended(ctx context.Context, addr string) bool {
	dlr := Dialer()
	for try := range endedTries {
		if try > 0 && !sleep(ctx, endedAgain) {
			return false
		}
		con, err := dlr.DialContext(ctx, "tcp", addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = con.Close()
	}
	return false
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
