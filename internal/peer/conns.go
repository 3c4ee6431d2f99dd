package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/quic-go/quic-go"
)

// conn is a connection that this end opened and keeps.
type conn struct {
	qcn  *quic.Conn
	used time.Time
	// heard is when something was last read from it.
	heard time.Time
}

// conn gives the kept connection to an address, or opens one.
//
// Of those who want one at the same time a single one dials. When each did, a burst of
// questions opened as many connections, a handshake each, of which all but the last
// were left to idle; and a peer that is slow to accept refuses those beyond its queue
// of 32, so that questions failed although it was well. A dial that fails is not
// shared: it may have been its asker's time that ran out, and the next one dials.
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

// dial opens a connection and lets those go on who wait for it.
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
	qcn, err := lnk.trn.Dial(ctx, udp, lnk.client, settings())
	if err != nil {
		lnk.refused(err)
		return nil, Error.Wrap(err)
	}
	lnk.keep(addr, qcn)
	return qcn, nil
}

func (lnk *Link) keep(addr string, qcn *quic.Conn) {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	lnk.conns[addr] = &conn{qcn: qcn, used: time.Now(), heard: time.Now()}
	if len(lnk.conns) <= maxConns {
		return
	}
	oldest := addr
	for oth, cur := range lnk.conns {
		if cur.used.Before(lnk.conns[oldest].used) {
			oldest = oth
		}
	}
	_ = lnk.conns[oldest].qcn.CloseWithError(0, "least lately used")
	delete(lnk.conns, oldest)
}

// heard notes that something was read from a connection.
func (lnk *Link) heard(addr string, qcn *quic.Conn) {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	if cur, ok := lnk.conns[addr]; ok && cur.qcn == qcn {
		cur.heard = time.Now()
	}
}

// failed notes that a question got no answer. If it was the asker's time that ran out,
// while others were answered over the connection a moment ago, the peer is merely slow
// with this one: a connection that was dropped for it took the orders of many requests
// along, which then all went to the next instance. Which it was is told by the error:
// the stream's deadline and the asker's context end at the same instant, on two timers
// of which either may be first.
func (lnk *Link) failed(err error, addr string, qcn *quic.Conn) {
	outOfTime := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	lnk.mtx.Lock()
	cur, ok := lnk.conns[addr]
	alive := ok && cur.qcn == qcn && qcn.Context().Err() == nil && time.Since(cur.heard) < silentAfter
	lnk.mtx.Unlock()
	if !outOfTime || !alive {
		lnk.drop(addr, qcn)
	}
}

// drop forgets a connection that failed. A frozen peer's connection looks
// alive for its idle time; a new one tells sooner whether the peer is back.
func (lnk *Link) drop(addr string, qcn *quic.Conn) {
	lnk.mtx.Lock()
	defer lnk.mtx.Unlock()
	if cur, ok := lnk.conns[addr]; ok && cur.qcn == qcn {
		delete(lnk.conns, addr)
	}
	_ = qcn.CloseWithError(0, "failed")
}
