package peer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
)

// answerSlowly answers a question that takes a while. It ends when the asker
// leaves: work for somebody who is gone takes places from those who wait.
func (lnk *Link) answerSlowly(str *quic.Stream, msg Message) {
	ctx, cancel := context.WithCancel(str.Context())
	defer cancel()
	done := make(chan Message, 1)
	go func() { done <- lnk.Slow(ctx, msg) }()
	tkr := time.NewTicker(workingEvery)
	defer tkr.Stop()
	for {
		_ = str.SetDeadline(time.Now().Add(answerIn))
		select {
		case ans := <-done:
			if write(str, ans) == nil {
				_ = str.Close()
			}
			return
		case <-ctx.Done():
			return
		case <-tkr.C:
			if write(str, Message{Kind: Working}) != nil {
				return
			}
		}
	}
}

// AskSlowly sends a question whose answer takes a while. It fails when nothing
// was heard for the time of three signs of work: the other side has died, is
// frozen or cut off, and somebody else must be asked.
func (lnk *Link) AskSlowly(ctx context.Context, addr string, msg Message) (Message, error) {
	if lnk.Cut != nil && lnk.Cut(addr) {
		return Message{}, Error.New("%s is cut off", addr)
	}
	dctx, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	qcn, err := lnk.conn(dctx, addr)
	if err != nil {
		return Message{}, err
	}
	str, err := qcn.OpenStreamSync(dctx)
	if err != nil {
		lnk.drop(addr, qcn)
		return Message{}, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { str.CancelRead(0); str.CancelWrite(0) })
	defer stop()
	_ = str.SetDeadline(time.Now().Add(silentAfter))
	if err := write(str, msg); err != nil {
		return Message{}, err
	}
	_ = str.Close()
	for {
		_ = str.SetReadDeadline(time.Now().Add(silentAfter))
		ans, err := read(str)
		if err != nil {
			if ctx.Err() == nil {
				lnk.drop(addr, qcn)
			}
			str.CancelRead(0)
			return Message{}, err
		}
		lnk.heard(addr, qcn)
		if ans.Kind != Working {
			return ans, nil
		}
	}
}
