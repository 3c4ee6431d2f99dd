// Package sever simulates partitions between a process and the addresses that it connects to. It serves
// tests.
package sever

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Func opens a connection to an address.
type Func func(ctx context.Context, network, addr string) (net.Conn, error)

// Shape is what a partition does with connections.
type Shape int32

// The shapes.
const (
	// Open lets connections through.
	Open Shape = iota
	// Refuses refuses new connections, and resets open ones.
	Refuses
	// Drops does not answer new connections, and lets open ones hang.
	Drops
)

const (
	// dialTimeout is how long a dial without an answer takes, hungTimeout how long a hung connection
	// takes to fail.
	dialTimeout = 800 * time.Millisecond
	hungTimeout = 2500 * time.Millisecond
	// pollInterval is the interval at which a hung connection looks whether the partition has healed.
	pollInterval = 5 * time.Millisecond
)

// Partition is a partition between a process and all addresses. Its zero value lets everything through.
type Partition struct {
	fresh, existing atomic.Int32

	mtx   sync.Mutex
	conns map[*conn]struct{}
}

// Set sets what happens to new connections, and to the open ones.
func (prt *Partition) Set(fresh, existing Shape) {
	prt.fresh.Store(int32(fresh))
	prt.existing.Store(int32(existing))
	if existing != Refuses {
		return
	}
	prt.mtx.Lock()
	defer prt.mtx.Unlock()
	for con := range prt.conns {
		con.reset.Store(true)
		_ = con.Conn.Close()
	}
}

// Through returns a function that dials by next, through the partition.
func (prt *Partition) Through(next Func) Func {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		switch Shape(prt.fresh.Load()) {
		case Refuses:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case Drops:
			select {
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			case <-time.After(dialTimeout):
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
			}
		}
		under, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		con := &conn{Conn: under, prt: prt, closed: make(chan struct{})}
		prt.mtx.Lock()
		defer prt.mtx.Unlock()
		if prt.conns == nil {
			prt.conns = map[*conn]struct{}{}
		}
		prt.conns[con] = struct{}{}
		return con, nil
	}
}

// conn is a connection that hangs or is reset while it is partitioned.
type conn struct {
	net.Conn
	prt   *Partition
	reset atomic.Bool
	once  sync.Once
	// closed is closed when the process closes the connection.
	closed chan struct{}
}

func (con *conn) Read(buf []byte) (int, error) {
	n, err := con.Conn.Read(buf)
	if failed := con.await(); failed != nil {
		return 0, failed
	}
	return n, err
}

func (con *conn) Write(buf []byte) (int, error) {
	if failed := con.await(); failed != nil {
		return 0, failed
	}
	return con.Conn.Write(buf)
}

func (con *conn) Close() error {
	con.once.Do(func() { close(con.closed) })
	con.prt.mtx.Lock()
	delete(con.prt.conns, con)
	con.prt.mtx.Unlock()
	return con.Conn.Close()
}

// await waits while the connection hangs.
func (con *conn) await() error {
	if con.reset.Load() {
		return syscall.ECONNRESET
	}
	began := time.Now()
	for Shape(con.prt.existing.Load()) == Drops {
		select {
		case <-con.closed:
			return net.ErrClosed
		case <-time.After(pollInterval):
		}
		if time.Since(began) > hungTimeout {
			return syscall.ETIMEDOUT
		}
	}
	return nil
}
