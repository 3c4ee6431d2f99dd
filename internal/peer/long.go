package peer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
)

// answerLong answers a long request. It ends when the caller disconnects: work for a caller that is
// gone takes slots from waiting requests.
func (lnk *Link) answerLong(str *quic.Stream, msg Message) {
	ctx, cancel := context.WithCancel(str.Context())
	defer cancel()
	done := make(chan Message, 1)
	go func() { done <- lnk.HandleLong(ctx, msg) }()
	interval, _ := msg.Kind.keepAlive()
	tkr := time.NewTicker(interval)
	defer tkr.Stop()
	for {
		_ = str.SetDeadline(time.Now().Add(answerTimeout))
		select {
		case ans := <-done:
			if write(str, ans) == nil {
				_ = str.Close()
			}
			return
		case <-ctx.Done():
			return
		case <-tkr.C:
			if write(str, Message{Kind: KeepAlive}) != nil {
				return
			}
		}
	}
}

// CallLong sends a long request. It fails when nothing was received for the time of three
// keep-alives: the peer has died, is frozen or partitioned, and another one must be used.
func (lnk *Link) CallLong(ctx context.Context, addr string, msg Message) (Message, error) {
	if lnk.Partitioned != nil && lnk.Partitioned(addr) {
		return Message{}, Error.New("%s is partitioned off", addr)
	}
	_, timeout := msg.Kind.keepAlive()
	dctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	qcn, err := lnk.conn(dctx, addr)
	if err != nil {
		return Message{}, err
	}
	str, err := qcn.OpenStreamSync(dctx)
	if err != nil {
		lnk.longFailed(msg.Kind, err, addr, qcn)
		return Message{}, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { str.CancelRead(0); str.CancelWrite(0) })
	defer stop()
	_ = str.SetDeadline(time.Now().Add(timeout))
	if err := write(str, msg); err != nil {
		return Message{}, err
	}
	_ = str.Close()
	for {
		_ = str.SetReadDeadline(time.Now().Add(timeout))
		ans, err := read(str)
		if err != nil {
			if ctx.Err() == nil {
				lnk.longFailed(msg.Kind, err, addr, qcn)
			}
			str.CancelRead(0)
			return Message{}, err
		}
		lnk.noteRead(addr, qcn)
		if ans.Kind != KeepAlive {
			return ans, nil
		}
	}
}

// longFailed records that a long request got no answer, and drops its connection. One that waits in a queue gives
// up soon, while others that wait on the same connection may get their answers; it keeps a connection from which
// something was read lately.
func (lnk *Link) longFailed(knd Kind, err error, addr string, qcn *quic.Conn) {
	if knd == JoinQueue {
		lnk.requestFailed(err, addr, qcn)
		return
	}
	lnk.drop(addr, qcn)
}
