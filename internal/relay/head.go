package relay

import (
	"context"
	"errors"
	"net"
	"net/textproto"
	"sync"
	"time"

	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/dial"
)

const (
	// maxInterim is the number of interim heads (1xx) that an answer may have, each of at most
	// [bounds.MaxHeadBytes].
	maxInterim = 16
	// headTime is how long a head may take from its first byte on. A sound endpoint writes its head at
	// once, and its machine may be silent for this time at most.
	headTime = dial.EndpointSilence
)

// errInterim is returned for an answer with too many interim heads.
var errInterim = &bounds.Error{What: "the interim heads of the answer", Count: maxInterim}

// headWatch watches the head of one answer, and closes the connection if the head takes too long. Its
// zero value watches none yet.
type headWatch struct {
	mtx   sync.Mutex
	con   net.Conn
	timer *time.Timer
	// begun is set while part of a head has come, late if it was not complete in time.
	begun, late bool
	interims    int
	ended       bool
}

func (hwt *headWatch) setConn(con net.Conn) {
	hwt.mtx.Lock()
	defer hwt.mtx.Unlock()
	hwt.con = con
}

// begin is called at the first byte of an answer.
func (hwt *headWatch) begin() {
	hwt.mtx.Lock()
	defer hwt.mtx.Unlock()
	if hwt.ended {
		return
	}
	hwt.begun = true
	hwt.timer = time.AfterFunc(headTime, hwt.expire)
}

func (hwt *headWatch) expire() {
	hwt.mtx.Lock()
	defer hwt.mtx.Unlock()
	if hwt.ended || !hwt.begun || hwt.con == nil {
		return
	}
	hwt.late = true
	_ = hwt.con.Close()
}

// interim counts an interim head. An endpoint may work for any time after it, so the time of the next head
// is bounded by that of the request alone.
func (hwt *headWatch) interim(int, textproto.MIMEHeader) error {
	hwt.mtx.Lock()
	defer hwt.mtx.Unlock()
	hwt.begun = false
	if hwt.interims++; hwt.interims > maxInterim {
		return errInterim
	}
	return nil
}

// stop ends the watch when the head is complete, or the request has failed.
func (hwt *headWatch) stop() {
	hwt.mtx.Lock()
	defer hwt.mtx.Unlock()
	hwt.ended = true
	if hwt.timer != nil {
		hwt.timer.Stop()
	}
}

// explain returns the error of a request, as a [bounds.Error] if the head exceeded a bound. A head
// that has begun and is not complete when the request's time ends exceeded that time.
func (hwt *headWatch) explain(ctx context.Context, err error) error {
	hwt.mtx.Lock()
	defer hwt.mtx.Unlock()
	switch {
	case hwt.late:
		return &bounds.Error{What: bounds.HeadName, Time: headTime}
	case hwt.begun && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errors.Join(&bounds.Error{What: bounds.HeadName, Time: headTime}, err)
	}
	return bounds.Head(err)
}
