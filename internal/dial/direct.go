package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of a connection.
const (
	// timeout bounds the opening of a connection: a machine without power does not answer at all.
	timeout = 800 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT); idle
	// connections are probed every keepAliveInterval. A dead connection would otherwise hold a
	// request until its deadline. An endpoint that is merely slow acknowledges both.
	userTimeout       = 1500 * time.Millisecond
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Func opens a connection to an address.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// Direct returns a dialer whose connections detect an unreachable peer.
func Direct() *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
