package serve

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// queueListener accepts the connections in the kernel's accept queue before it is closed. The kernel
// resets connections that were not accepted when a listener is closed, also those whose requests have
// been sent; under CPU pressure the accepting goroutine is late.
type queueListener struct {
	net.Listener
	// raw is the kernel's listener, without wrappers that limit it.
	raw      net.Listener
	mtx      sync.Mutex
	accepted []net.Conn
}

// Accept implements net.Listener.
func (qln *queueListener) Accept() (net.Conn, error) {
	con, err := qln.Listener.Accept()
	if !errors.Is(err, net.ErrClosed) {
		return con, err
	}
	qln.mtx.Lock()
	defer qln.mtx.Unlock()
	if len(qln.accepted) == 0 {
		return nil, err
	}
	con, qln.accepted = qln.accepted[0], qln.accepted[1:]
	return con, nil
}

// drain closes the listener and keeps the connections of the kernel's accept queue for Accept.
func (qln *queueListener) drain() {
	qln.mtx.Lock()
	defer qln.mtx.Unlock()
	qln.accepted = append(qln.accepted, acceptQueued(qln.raw)...)
	_ = qln.Close()
}

// acceptQueued accepts the connections in the kernel's accept queue; none if the listener has no
// socket or is closed.
func acceptQueued(lsn net.Listener) []net.Conn {
	sock, ok := lsn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return nil
	}
	var conns []net.Conn
	_ = raw.Control(func(fd uintptr) {
		for {
			num, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
				continue
			}
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(num), "caller")
			con, err := net.FileConn(file)
			_ = file.Close()
			if err == nil {
				conns = append(conns, con)
			}
		}
	})
	return conns
}
