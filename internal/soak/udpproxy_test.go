package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"amaranthvalve/internal/ports"
)

const (
	// In stateDropSome one datagram in datagramLossOneIn is dropped.
	datagramLossOneIn = 3
	// maxDatagramSize exceeds the size of any datagram of the link.
	maxDatagramSize = 4 << 10
)

// udpProxy is a proxy in front of the UDP socket of one instance. Each sender has a socket of its
// own towards the instance, so that replies find their way back. Blocked datagrams are dropped.
type udpProxy struct {
	sock      *net.UDPConn
	target    *net.UDPAddr
	state     atomic.Int32
	lossCount atomic.Int64
	mtx       sync.Mutex
	conns     map[string]*net.UDPConn
}

func newUDPProxy(target string) (*udpProxy, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	sock, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ports.Loopback)})
	if err != nil {
		return nil, err
	}
	upx := &udpProxy{sock: sock, target: to, conns: map[string]*net.UDPConn{}}
	go upx.serve()
	return upx, nil
}

func (upx *udpProxy) addr() string { return upx.sock.LocalAddr().String() }

func (upx *udpProxy) set(to proxyState) { upx.state.Store(int32(to)) }

func (upx *udpProxy) serve() {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := upx.sock.ReadFromUDP(buf)
		if err != nil {
			return
		}
		upstream, err := upx.conn(from)
		if err != nil {
			continue
		}
		upx.forward(buf[:n], stateBlockRequests, func(part []byte) { _, _ = upstream.Write(part) })
	}
}

// conn returns the socket towards the instance for a sender.
func (upx *udpProxy) conn(from *net.UDPAddr) (*net.UDPConn, error) {
	upx.mtx.Lock()
	defer upx.mtx.Unlock()
	if upstream, ok := upx.conns[from.String()]; ok {
		return upstream, nil
	}
	upstream, err := net.DialUDP("udp", nil, upx.target)
	if err != nil {
		return nil, err
	}
	upx.conns[from.String()] = upstream
	go upx.copyBack(upstream, from)
	return upstream, nil
}

func (upx *udpProxy) copyBack(upstream *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagramSize)
	for {
		n, err := upstream.Read(buf)
		if err != nil && upx.closed(to) {
			return
		}
		if n > 0 {
			upx.forward(buf[:n], stateBlockReplies, func(part []byte) { _, _ = upx.sock.WriteToUDP(part, to) })
		}
	}
}

// closed reports whether the socket of a sender was closed. Other read errors are ignored: a
// refused datagram, while no process listens, is one.
func (upx *udpProxy) closed(to *net.UDPAddr) bool {
	upx.mtx.Lock()
	defer upx.mtx.Unlock()
	return upx.conns[to.String()] == nil
}

// forward sends a datagram on according to the state; in the state blocked nothing passes in this
// direction.
func (upx *udpProxy) forward(part []byte, blocked proxyState, send func([]byte)) {
	switch now := proxyState(upx.state.Load()); {
	case now == blocked || now == stateBlockBoth:
	case now == stateDropSome && upx.lossCount.Add(1)%datagramLossOneIn == 0:
	case now == stateDelay:
		part = append([]byte(nil), part...)
		time.AfterFunc(proxyDelay, func() { send(part) })
	default:
		send(part)
	}
}

func (upx *udpProxy) close() {
	_ = upx.sock.Close()
	upx.mtx.Lock()
	defer upx.mtx.Unlock()
	for from, upstream := range upx.conns {
		delete(upx.conns, from)
		_ = upstream.Close()
	}
}
