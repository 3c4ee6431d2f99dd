package serve

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// queueListener hands out the connections that wait in the kernel's queue when it is drained.
// The kernel resets those that nobody has accepted when a listener is closed, whatever they
// carry; where the process gets little time, the goroutine that accepts them is late.
type queueListener struct {
	net.Listener
	// raw is the listener that the kernel has, without what bounds it.
	raw  net.Listener
	mtx  sync.Mutex
	rest []net.Conn
}

// Accept implements net.Listener.
func (qln *queueListener) Accept() (net.Conn, error) {
	con, err := qln.Listener.Accept()
	if !errors.Is(err, net.ErrClosed) {
		return con, err
	}
	qln.mtx.Lock()
	defer qln.mtx.Unlock()
	if len(qln.rest) == 0 {
		return nil, err
	}
	con, qln.rest = qln.rest[0], qln.rest[1:]
	return con, nil
}

// drain closes the listener and keeps what waits in the kernel's queue for Accept.
func (qln *queueListener) drain() {
	qln.mtx.Lock()
	defer qln.mtx.Unlock()
	qln.rest = append(qln.rest, queued(qln.raw)...)
	_ = qln.Close()
}

// queued accepts what waits in the kernel's queue, nothing if the listener has none or is closed.
func queued(lsn net.Listener) []net.Conn {
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
