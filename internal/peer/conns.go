package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/quic-go/quic-go"
)

// conn is a cached connection that this instance opened.
type conn struct {
	qcn  *quic.Conn
	used time.Time
	// lastRead is when data was last read from it.
	lastRead time.Time
}

// conn returns the cached connection to an address, or opens one.
//
// Of concurrent callers a single one dials. When each of them did, a burst of requests opened as
// many connections, with a handshake each, all but the last of which became idle; and a peer that
// is slow to accept refuses those beyond its queue of 32, so that requests failed although the peer
// was healthy. The failure of a dial is not shared: it may be the caller's own deadline that
// expired, and the next caller dials again.
func (lnk *Link) conn(ctx context.Context, addr string) (*quic.Conn, error) {
	for {
		lnk.mtx.Lock()
		if cur, ok := lnk.conns[addr]; ok && cur.qcn.Context().Err() == nil {
			cur.used = time.Now()
			lnk.mtx.Unlock()
			return cur.qcn, nil
		}
		other, busy := lnk.dials[addr]
		if !busy {
			ended := make(chan struct{})
			lnk.dials[addr] = ended
			lnk.mtx.Unlock()
			return lnk.dial(ctx, addr, ended)
		}
		lnk.mtx.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, Error.Wrap(ctx.Err())
		}
	}
}

// dial opens a connection and wakes the callers that wait for it.
func (lnk *Link) dial(ctx context.Context, addr string, ended chan struct{}) (*quic.Conn, error) {
	defer func() {
		lnk.mtx.Lock()
		delete(lnk.dials, addr)
		lnk.mtx.Unlock()
		close(ended)
	}()
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	qcn, err := lnk.trn.Dial(ctx, udp, lnk.client, quicConfig())
	if err != nil {
		lnk.reportRefused(err)
		return nil, Error.Wrap(err)
	}
	lnk.addConn(addr, qcn)
	return qcn, nil
}

func (lnk *Link) addConn(addr string, qcn *quic.Conn) {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	lnk.conns[addr] = &conn{qcn: qcn, used: time.Now(), lastRead: time.Now()}
	if len(lnk.conns) <= maxConns {
		return
	}
	oldest := addr
	for other, cur := range lnk.conns {
		if cur.used.Before(lnk.conns[oldest].used) {
			oldest = other
		}
	}
	_ = lnk.conns[oldest].qcn.CloseWithError(0, "least lately used")
	delete(lnk.conns, oldest)
}

// noteRead records that data was read from a connection.
func (lnk *Link) noteRead(addr string, qcn *quic.Conn) {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	if cur, ok := lnk.conns[addr]; ok && cur.qcn == qcn {
		cur.lastRead = time.Now()
	}
}

// requestFailed records that a request got no answer, and drops its connection unless only the
// caller's deadline expired while other answers were read from the connection within
// keepAliveTimeout. The peer is then merely slow with this request: dropping the connection for it
// failed the orders of many requests, which then all went to the next instance. The error tells the
// cases apart, since the stream's deadline and the caller's context expire at the same instant, on
// two timers of which either may fire first.
func (lnk *Link) requestFailed(err error, addr string, qcn *quic.Conn) {
	outOfTime := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	lnk.mtx.Lock()
	cur, ok := lnk.conns[addr]
	alive := ok && cur.qcn == qcn && qcn.Context().Err() == nil && time.Since(cur.lastRead) < keepAliveTimeout
	lnk.mtx.Unlock()
	if !outOfTime || !alive {
		lnk.drop(addr, qcn)
	}
}

// drop closes and forgets a failed connection. The connection of a frozen peer looks alive for its
// idle time-out; a new one shows sooner whether the peer is back.
func (lnk *Link) drop(addr string, qcn *quic.Conn) {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	if cur, ok := lnk.conns[addr]; ok && cur.qcn == qcn {
		delete(lnk.conns, addr)
	}
	_ = qcn.CloseWithError(0, "failed")
}
