package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyState is what a proxy does with data.
type proxyState int32

const (
	stateForward proxyState = iota
	// stateDelay forwards each part after proxyDelay.
	stateDelay
	// stateBlockReplies forwards nothing to the client, stateBlockRequests nothing to the server,
	// stateBlockBoth neither. Connections stay open, and a stream resumes with the data held
	// back.
	stateBlockReplies
	stateBlockRequests
	stateBlockBoth
	// stateDropSome drops some of the datagrams; streams are forwarded.
	stateDropSome
)

const (
	proxyDelay     = 120 * time.Millisecond
	pollInterval   = 5 * time.Millisecond
	copyBufferSize = 16 << 10
)

// tcpProxy is a proxy on loopback in front of a TCP server.
type tcpProxy struct {
	lsn    net.Listener
	target string
	state  atomic.Int32
	mtx    sync.Mutex
	conns  map[*proxyConn]struct{}
	// latest has the last connection accepted from each client address.
	latest map[string]*proxyConn
}

// proxyConn is one proxied connection.
type proxyConn struct {
	client, server net.Conn
	// blackholed connections stay open and forward nothing for the rest of their lives.
	blackholed atomic.Bool
	closed     atomic.Bool

	mtx sync.Mutex
	// openedAt is when the connection was accepted.
	openedAt     time.Time
	blackholedAt time.Time
	// forwarded counts the bytes sent on to the server, the last of them at forwardedAt.
	forwarded   int
	forwardedAt time.Time
}

// connRecord is a snapshot of the history of one connection.
type connRecord struct {
	openedAt, blackholedAt, forwardedAt time.Time
	forwarded                           int
}

// lost reports whether a request that was sent at the given time cannot have reached the server:
// the connection was blackholed before, and no byte was forwarded since; or it was blackholed
// while the request was about to be written, and no byte was ever forwarded. A record that was
// blackholed before dialedAt is that of an earlier connection from the same address.
func (rec connRecord) lost(dialedAt, sent time.Time) bool {
	if !rec.blackholedAt.After(dialedAt) {
		return false
	}
	return rec.forwarded == 0 || rec.blackholedAt.Before(sent) && rec.forwardedAt.Before(sent)
}

// describe gives the state of the connection relative to the sending of a request.
func (rec connRecord) describe(sent time.Time) string {
	if rec.openedAt.IsZero() {
		return "unknown connection"
	}
	blackholed := "never blackholed"
	if !rec.blackholedAt.IsZero() {
		blackholed = fmt.Sprintf("blackholed %v before the request was sent", sent.Sub(rec.blackholedAt))
	}
	forwarded := "no bytes forwarded"
	if rec.forwarded > 0 {
		forwarded = fmt.Sprintf("%d bytes forwarded to the instance, the last %v before the request was sent", rec.forwarded, sent.Sub(rec.forwardedAt))
	}
	return fmt.Sprintf("connection opened %v before the request was sent, %s; %s", sent.Sub(rec.openedAt), blackholed, forwarded)
}

func newTCPProxy(target string) (*tcpProxy, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	prx := &tcpProxy{lsn: lsn, target: target, conns: map[*proxyConn]struct{}{}, latest: map[string]*proxyConn{}}
	go prx.serve()
	return prx, nil
}

func (prx *tcpProxy) addr() string { return prx.lsn.Addr().String() }

func (prx *tcpProxy) set(to proxyState) { prx.state.Store(int32(to)) }

func (prx *tcpProxy) serve() {
	for {
		client, err := prx.lsn.Accept()
		if err != nil {
			return
		}
		pcn := &proxyConn{client: client, openedAt: time.Now()}
		prx.mtx.Lock()
		prx.latest[client.RemoteAddr().String()] = pcn
		prx.mtx.Unlock()
		go prx.handle(pcn)
	}
}

func (prx *tcpProxy) handle(pcn *proxyConn) {
	client := pcn.client
	server, err := net.Dial("tcp", prx.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	pcn.server = server
	prx.mtx.Lock()
	prx.conns[pcn] = struct{}{}
	prx.mtx.Unlock()
	done := make(chan struct{}, 2)
	go prx.copyOneWay(pcn, client, server, stateBlockRequests, done)
	go prx.copyOneWay(pcn, server, client, stateBlockReplies, done)
	<-done
	<-done
	pcn.shut(false)
	prx.mtx.Lock()
	delete(prx.conns, pcn)
	prx.mtx.Unlock()
}

// copyOneWay copies one direction; in the state blocked it forwards nothing.
func (prx *tcpProxy) copyOneWay(pcn *proxyConn, from, to net.Conn, blocked proxyState, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		prx.awaitForward(pcn, blocked)
		if n > 0 {
			if _, failed := to.Write(buf[:n]); failed != nil {
				pcn.shut(true)
				return
			}
			if to == pcn.server {
				pcn.countForwarded(n)
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			// A reset must not look like an end.
			pcn.shut(true)
			return
		}
	}
}

// awaitForward waits while nothing may be forwarded in a direction.
func (prx *tcpProxy) awaitForward(pcn *proxyConn, blocked proxyState) {
	if proxyState(prx.state.Load()) == stateDelay {
		time.Sleep(proxyDelay)
	}
	for !pcn.closed.Load() {
		now := proxyState(prx.state.Load())
		if !pcn.blackholed.Load() && now != blocked && now != stateBlockBoth {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (pcn *proxyConn) shut(reset bool) {
	if pcn.closed.Swap(true) {
		return
	}
	for _, con := range []net.Conn{pcn.client, pcn.server} {
		if reset {
			_ = con.(*net.TCPConn).SetLinger(0)
		}
		_ = con.Close()
	}
}

func (prx *tcpProxy) forEach(visit func(pcn *proxyConn)) {
	prx.mtx.Lock()
	defer prx.mtx.Unlock()
	for pcn := range prx.conns {
		visit(pcn)
	}
}

// reset resets all connections.
func (prx *tcpProxy) reset() { prx.forEach(func(pcn *proxyConn) { pcn.shut(true) }) }

// blackhole makes the open connections forward nothing any more; new ones work.
func (prx *tcpProxy) blackhole() {
	prx.forEach(func(pcn *proxyConn) {
		pcn.mtx.Lock()
		defer pcn.mtx.Unlock()
		if !pcn.blackholed.Swap(true) {
			pcn.blackholedAt = time.Now()
		}
	})
}

func (pcn *proxyConn) countForwarded(n int) {
	pcn.mtx.Lock()
	defer pcn.mtx.Unlock()
	pcn.forwarded, pcn.forwardedAt = pcn.forwarded+n, time.Now()
}

// lookup returns the record of the last connection from a client address.
func (prx *tcpProxy) lookup(from string) connRecord {
	prx.mtx.Lock()
	pcn := prx.latest[from]
	prx.mtx.Unlock()
	if pcn == nil {
		return connRecord{}
	}
	pcn.mtx.Lock()
	defer pcn.mtx.Unlock()
	return connRecord{openedAt: pcn.openedAt, blackholedAt: pcn.blackholedAt, forwardedAt: pcn.forwardedAt, forwarded: pcn.forwarded}
}

func (prx *tcpProxy) close() {
	_ = prx.lsn.Close()
	prx.reset()
}
