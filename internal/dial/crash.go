package dial

import (
	"context"
	"time"

	"amaranthvalve/pkg/reach"
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
func (dlr *Dialer) ProcessEnded(ctx context.Context, addr string) bool {
	return dlr.observe(ctx, addr) == reach.Refused
}

// observe dials an address until its state is clear: refused, connected or unanswered.
func (dlr *Dialer) observe(ctx context.Context, addr string) reach.Result {
	return observe(ctx, func(ctx context.Context) reach.Result {
		con, err := dlr.direct(ctx, "tcp", addr)
		if con != nil {
			_ = con.Close()
		}
		return ResultOf(err)
	})
}

func observe(ctx context.Context, dial func(ctx context.Context) reach.Result) reach.Result {
	for accepted, unanswered := 0, 0; ; {
		switch res := dial(ctx); res {
		case reach.Refused:
			return res
		case reach.Connected:
			if accepted++; accepted >= maxAccepted {
				return res
			}
		default:
			if unanswered++; unanswered >= maxUnanswered {
				return res
			}
		}
		if !sleep(ctx, crashCheckInterval) {
			return reach.Canceled
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
