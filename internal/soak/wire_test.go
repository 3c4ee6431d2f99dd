package soak

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// state is what a wire does with bytes.
type state int32

const (
	passes state = iota
	// delays holds each part back for delayBy.
	delays
	// mute passes nothing towards who dialled, deaf nothing towards who was dialled;
	// silent neither. Connections stay open, and what was held goes on afterwards.
	mute
	deaf
	silent
	// loses loses some of the datagrams; streams pass.
	loses
)

const (
	delayBy  = 120 * time.Millisecond
	holdStep = 5 * time.Millisecond
	partSize = 16 << 10
)

// wire is a proxy on loopback between who dials and a target.
type wire struct {
	lsn    net.Listener
	target string
	state  atomic.Int32
	mtx    sync.Mutex
	pairs  map[*pair]struct{}
	// latest has the last connection that was dialled from an address.
	latest map[string]*pair
}

// pair is one connection through a wire.
type pair struct {
	near, far net.Conn
	// stuck connections pass nothing for the rest of their lives.
	stuck  atomic.Bool
	closed atomic.Bool

	mtx sync.Mutex
	// opened is when it was accepted, stuckAt when it was made silent for good.
	opened  time.Time
	stuckAt time.Time
	// passed counts the bytes that went on to who was dialled, the last of them at passedAt.
	passed   int
	passedAt time.Time
}

// record is what a wire knows of one connection.
type record struct {
	opened, stuckAt, passedAt time.Time
	passed                    int
}

// swallowed tells whether what was sent at an instant on a connection that was dialled at
// another one can't have reached who was dialled: the connection was silent for good
// before, and no byte has passed since; or it became so while the request was about to be
// written, and no byte ever passed. An earlier connection of the same address was
// silenced before this one was dialled.
func (rec record) swallowed(dialled, sent time.Time) bool {
	if !rec.stuckAt.After(dialled) {
		return false
	}
	return rec.passed == 0 || rec.stuckAt.Before(sent) && rec.passedAt.Before(sent)
}

// tell describes the connection as of the sending of a request.
func (rec record) tell(sent time.Time) string {
	if rec.opened.IsZero() {
		return "its connection is not known"
	}
	silenced := "never silenced"
	if !rec.stuckAt.IsZero() {
		silenced = fmt.Sprintf("silenced %v before the sending", sent.Sub(rec.stuckAt))
	}
	last := "no byte has passed"
	if rec.passed > 0 {
		last = fmt.Sprintf("%d bytes have passed to the instance, the last %v before the sending", rec.passed, sent.Sub(rec.passedAt))
	}
	return fmt.Sprintf("its connection was opened %v before the sending, %s; %s", sent.Sub(rec.opened), silenced, last)
}

func newWire(target string) (*wire, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wir := &wire{lsn: lsn, target: target, pairs: map[*pair]struct{}{}, latest: map[string]*pair{}}
	go wir.serve()
	return wir, nil
}

func (wir *wire) addr() string { return wir.lsn.Addr().String() }

func (wir *wire) set(to state) { wir.state.Store(int32(to)) }

func (wir *wire) serve() {
	for {
		near, err := wir.lsn.Accept()
		if err != nil {
			return
		}
		par := &pair{near: near, opened: time.Now()}
		wir.mtx.Lock()
		wir.latest[near.RemoteAddr().String()] = par
		wir.mtx.Unlock()
		go wir.open(par)
	}
}

func (wir *wire) open(par *pair) {
	near := par.near
	far, err := net.Dial("tcp", wir.target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	par.far = far
	wir.mtx.Lock()
	wir.pairs[par] = struct{}{}
	wir.mtx.Unlock()
	done := make(chan struct{}, 2)
	go wir.copy(par, near, far, deaf, done)
	go wir.copy(par, far, near, mute, done)
	<-done
	<-done
	par.end(false)
	wir.mtx.Lock()
	delete(wir.pairs, par)
	wir.mtx.Unlock()
}

// copy carries one direction; lost is the state in which it carries nothing.
func (wir *wire) copy(par *pair, from, to net.Conn, lost state, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, partSize)
	for {
		n, err := from.Read(buf)
		wir.hold(par, lost)
		if n > 0 {
			if _, failed := to.Write(buf[:n]); failed != nil {
				par.end(true)
				return
			}
			if to == par.far {
				par.count(n)
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// hold waits while nothing may pass in a direction.
func (wir *wire) hold(par *pair, lost state) {
	if state(wir.state.Load()) == delays {
		time.Sleep(delayBy)
	}
	for !par.closed.Load() {
		now := state(wir.state.Load())
		if !par.stuck.Load() && now != lost && now != silent {
			return
		}
		time.Sleep(holdStep)
	}
}

func (par *pair) end(reset bool) {
	if par.closed.Swap(true) {
		return
	}
	for _, con := range []net.Conn{par.near, par.far} {
		if reset {
			_ = con.(*net.TCPConn).SetLinger(0)
		}
		_ = con.Close()
	}
}

func (wir *wire) each(what func(par *pair)) {
	wir.mtx.Lock()
	defer wir.mtx.Unlock()
	for par := range wir.pairs {
		what(par)
	}
}

// reset breaks all connections.
func (wir *wire) reset() { wir.each(func(par *pair) { par.end(true) }) }

// stick makes the connections that are open silent for good; new ones work.
func (wir *wire) stick() {
	wir.each(func(par *pair) {
		par.mtx.Lock()
		defer par.mtx.Unlock()
		if !par.stuck.Swap(true) {
			par.stuckAt = time.Now()
		}
	})
}

func (par *pair) count(n int) {
	par.mtx.Lock()
	defer par.mtx.Unlock()
	par.passed, par.passedAt = par.passed+n, time.Now()
}

// find gives what is known of the last connection that was dialled from an address.
func (wir *wire) find(from string) record {
	wir.mtx.Lock()
	par := wir.latest[from]
	wir.mtx.Unlock()
	if par == nil {
		return record{}
	}
	par.mtx.Lock()
	defer par.mtx.Unlock()
	return record{opened: par.opened, stuckAt: par.stuckAt, passedAt: par.passedAt, passed: par.passed}
}

func (wir *wire) close() {
	_ = wir.lsn.Close()
	wir.reset()
}
