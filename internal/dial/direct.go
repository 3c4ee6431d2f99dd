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
	// EndpointSilence is how long the machine of an endpoint may be silent before its connections fail:
	// a sound one may be for a second or two, and its answers would be cut off. StoreSilence is the same
	// for the store, whose reads are repeated at once.
	EndpointSilence = 2500 * time.Millisecond
	StoreSilence    = 1500 * time.Millisecond
	// keepAliveIdle is how long a connection is idle before it is probed, keepAliveInterval the time
	// between probes. TCP_USER_TIMEOUT decides when it fails, whatever the number of probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
)

// Func opens a connection to an address.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// Direct returns a dialer whose connections fail when their peer's machine has been silent for a time:
// a dead connection would otherwise hold a request until its deadline. A peer that is merely slow
// acknowledges what it is sent, and is not silent.
func Direct(silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
