package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// tunnelIdleTimeout ends the tunnels to a peer that has sent nothing for this time: it has died,
	// or is partitioned. The connections of tunnels are kept alive at tunnelKeepAlive.
	tunnelIdleTimeout = 2 * time.Second
	tunnelKeepAlive   = 500 * time.Millisecond
	// tunnelDialTimeout bounds the opening of a connection.
	tunnelDialTimeout = time.Second
	// tunnelLinger is how long a connection without tunnels is kept for the next one.
	tunnelLinger = 5 * time.Second
)

// tunnelConns has the connections for tunnels by address. They are separate from those for requests,
// which are closed when a request gets no answer. The zero value is empty.
type tunnelConns struct {
	mtx    sync.Mutex
	byAddr map[string]*tunnelConn
}

// tunnelConn is a connection for tunnels to one peer.
type tunnelConn struct {
	// dialed is closed when the dial has ended.
	dialed chan struct{}
	qcn    *quic.Conn
	err    error
	// users counts the tunnels; the connection is closed by idle some time after the last one.
	users int
	idle  *time.Timer
}

// OpenTunnel asks the instance at addr for a tunnel. It returns the peer's answer and, if that is OK,
// the tunnel, which carries bytes in both directions until either side closes it.
func (lnk *Link) OpenTunnel(ctx context.Context, addr string, msg Message) (*Tunnel, Message, error) {
	if lnk.Partitioned != nil && lnk.Partitioned(addr) {
		return nil, Message{}, Error.New("%s is partitioned off", addr)
	}
	qcn, done, err := lnk.tunnels.get(ctx, addr, lnk.dialTunnels)
	if err != nil {
		return nil, Message{}, err
	}
	str, err := qcn.OpenStreamSync(ctx)
	if err != nil {
		done()
		return nil, Message{}, Error.Wrap(err)
	}
	tnl := &Tunnel{str: str, local: qcn.LocalAddr(), remote: qcn.RemoteAddr(), done: sync.OnceFunc(done)}
	stop := context.AfterFunc(ctx, func() { _ = tnl.Close() })
	ans, err := handshake(str, msg)
	if !stop() && err == nil {
		err = Error.Wrap(ctx.Err())
	}
	if err != nil || ans.Kind != OK {
		_ = tnl.Close()
		return nil, ans, err
	}
	return tnl, ans, nil
}

// handshake sends the request for a tunnel and reads the answer.
func handshake(str *quic.Stream, msg Message) (Message, error) {
	if err := write(str, msg); err != nil {
		return Message{}, err
	}
	return read(str)
}

func (lnk *Link) dialTunnels(ctx context.Context, addr string) (*quic.Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg := quicConfig()
	cfg.MaxIdleTimeout, cfg.KeepAlivePeriod = tunnelIdleTimeout, tunnelKeepAlive
	qcn, err := lnk.trn.Dial(ctx, udp, lnk.client, cfg)
	return qcn, Error.Wrap(err)
}

// get returns the connection to an address, and a function that must be called when it is no longer
// used. Of concurrent callers a single one dials.
func (tcs *tunnelConns) get(ctx context.Context, addr string, dial func(context.Context, string) (*quic.Conn, error)) (*quic.Conn, func(), error) {
	tcs.mtx.Lock()
	tcn, ok := tcs.byAddr[addr]
	if ok && tcn.qcn != nil && tcn.qcn.Context().Err() != nil {
		ok = false
	}
	if !ok {
		tcn = &tunnelConn{dialed: make(chan struct{})}
		if tcs.byAddr == nil {
			tcs.byAddr = map[string]*tunnelConn{}
		}
		tcs.byAddr[addr] = tcn
	}
	tcn.users++
	if tcn.idle != nil {
		tcn.idle.Stop()
	}
	tcs.mtx.Unlock()
	done := func() { tcs.release(addr, tcn) }
	if !ok {
		go tcs.dial(addr, tcn, dial)
	}
	select {
	case <-tcn.dialed:
	case <-ctx.Done():
		done()
		return nil, nil, Error.Wrap(ctx.Err())
	}
	if tcn.err != nil {
		done()
		return nil, nil, tcn.err
	}
	return tcn.qcn, done, nil
}

// dial opens a connection. It goes on when the caller that began it gives up, since others wait for it.
func (tcs *tunnelConns) dial(addr string, tcn *tunnelConn, dial func(context.Context, string) (*quic.Conn, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), tunnelDialTimeout)
	defer cancel()
	qcn, err := dial(ctx, addr)
	tcs.mtx.Lock()
	defer tcs.mtx.Unlock()
	tcn.qcn, tcn.err = qcn, err
	if err != nil && tcs.byAddr[addr] == tcn {
		delete(tcs.byAddr, addr)
	}
	close(tcn.dialed)
}

// release records that a user of a connection has ended.
func (tcs *tunnelConns) release(addr string, tcn *tunnelConn) {
	tcs.mtx.Lock()
	defer tcs.mtx.Unlock()
	if tcn.users--; tcn.users > 0 || tcn.qcn == nil {
		return
	}
	tcn.idle = time.AfterFunc(tunnelLinger, func() {
		tcs.mtx.Lock()
		defer tcs.mtx.Unlock()
		if tcn.users > 0 {
			return
		}
		_ = tcn.qcn.CloseWithError(0, "unused")
		if tcs.byAddr[addr] == tcn {
			delete(tcs.byAddr, addr)
		}
	})
}

// closeAll closes all connections.
func (tcs *tunnelConns) closeAll() {
	tcs.mtx.Lock()
	defer tcs.mtx.Unlock()
	for _, tcn := range tcs.byAddr {
		if tcn.qcn != nil {
			_ = tcn.qcn.CloseWithError(0, "stopped")
		}
	}
}

// acceptTunnel hands a stream over to HandleTunnel.
func (lnk *Link) acceptTunnel(qcn *quic.Conn, str *quic.Stream, msg Message) {
	_ = str.SetDeadline(time.Time{})
	lnk.HandleTunnel(msg, &Tunnel{str: str, local: qcn.LocalAddr(), remote: qcn.RemoteAddr(), done: func() {}})
}

// Tunnel carries the bytes of a connection between two instances.
type Tunnel struct {
	str           *quic.Stream
	local, remote net.Addr
	done          func()
	closed        atomic.Bool
}

// Answer answers the request for the tunnel.
func (tnl *Tunnel) Answer(ans Message) error { return write(tnl.str, ans) }

// Read reads what the peer has written.
func (tnl *Tunnel) Read(buf []byte) (int, error) { return tnl.str.Read(buf) }

// Write writes to the peer. It fails with [net.ErrClosed] after [Tunnel.Close].
func (tnl *Tunnel) Write(buf []byte) (int, error) {
	n, err := tnl.str.Write(buf)
	if err != nil && tnl.closed.Load() {
		err = net.ErrClosed
	}
	return n, err
}

// Close closes both directions, after what was written.
func (tnl *Tunnel) Close() error {
	tnl.closed.Store(true)
	tnl.str.CancelRead(0)
	err := tnl.str.Close()
	tnl.done()
	return err
}

// CloseWrite ends the outgoing direction, after what was written.
func (tnl *Tunnel) CloseWrite() error { return tnl.str.Close() }

// Reset closes both directions, after what was written, so that the peer doesn't take what it has received
// for complete.
func (tnl *Tunnel) Reset() {
	tnl.str.CancelRead(0)
	tnl.str.SetReliableBoundary()
	tnl.str.CancelWrite(0)
	tnl.done()
}

// LocalAddr returns the address of this instance.
func (tnl *Tunnel) LocalAddr() net.Addr { return tnl.local }

// RemoteAddr returns the address of the peer.
func (tnl *Tunnel) RemoteAddr() net.Addr { return tnl.remote }

// SetDeadline is as of [net.Conn].
func (tnl *Tunnel) SetDeadline(at time.Time) error { return tnl.str.SetDeadline(at) }

// SetReadDeadline is as of [net.Conn].
func (tnl *Tunnel) SetReadDeadline(at time.Time) error { return tnl.str.SetReadDeadline(at) }

// SetWriteDeadline is as of [net.Conn].
func (tnl *Tunnel) SetWriteDeadline(at time.Time) error { return tnl.str.SetWriteDeadline(at) }
