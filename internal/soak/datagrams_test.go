package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"amaranthvalve/internal/ports"
)

const (
	// lossOneIn is the share of datagrams that a lossy way loses.
	lossOneIn = 3
	// datagramSize is more than any datagram of the link has.
	datagramSize = 4 << 10
)

// datagrams is a proxy for datagrams before the link of one instance. Who sends to it
// has a socket of its own towards the instance, so that answers find their way back.
// What can't pass is lost.
type datagrams struct {
	sock   *net.UDPConn
	target *net.UDPAddr
	state  atomic.Int32
	count  atomic.Int64
	mtx    sync.Mutex
	ways   map[string]*net.UDPConn
}

func newDatagrams(target string) (*datagrams, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	sock, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ports.Loopback)})
	if err != nil {
		return nil, err
	}
	dgs := &datagrams{sock: sock, target: to, ways: map[string]*net.UDPConn{}}
	go dgs.serve()
	return dgs, nil
}

func (dgs *datagrams) addr() string { return dgs.sock.LocalAddr().String() }

func (dgs *datagrams) set(to state) { dgs.state.Store(int32(to)) }

func (dgs *datagrams) serve() {
	buf := make([]byte, datagramSize)
	for {
		n, from, err := dgs.sock.ReadFromUDP(buf)
		if err != nil {
			return
		}
		way, err := dgs.way(from)
		if err != nil {
			continue
		}
		dgs.pass(buf[:n], deaf, func(part []byte) { _, _ = way.Write(part) })
	}
}

// way gives the socket for who sends from an address.
func (dgs *datagrams) way(from *net.UDPAddr) (*net.UDPConn, error) {
	dgs.mtx.Lock()
	defer dgs.mtx.Unlock()
	if way, ok := dgs.ways[from.String()]; ok {
		return way, nil
	}
	way, err := net.DialUDP("udp", nil, dgs.target)
	if err != nil {
		return nil, err
	}
	dgs.ways[from.String()] = way
	go dgs.back(way, from)
	return way, nil
}

func (dgs *datagrams) back(way *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, datagramSize)
	for {
		n, err := way.Read(buf)
		if err != nil && dgs.closed(to) {
			return
		}
		if n > 0 {
			dgs.pass(buf[:n], mute, func(part []byte) { _, _ = dgs.sock.WriteToUDP(part, to) })
		}
	}
}

// closed tells whether the way to an address was closed; a refused datagram, when no
// process listens, is no end.
func (dgs *datagrams) closed(to *net.UDPAddr) bool {
	dgs.mtx.Lock()
	defer dgs.mtx.Unlock()
	return dgs.ways[to.String()] == nil
}

// pass sends a datagram on as the state wants it; lost is the state in which nothing
// passes in its direction.
func (dgs *datagrams) pass(part []byte, lost state, send func([]byte)) {
	switch now := state(dgs.state.Load()); {
	case now == lost || now == silent:
	case now == loses && dgs.count.Add(1)%lossOneIn == 0:
	case now == delays:
		part = append([]byte(nil), part...)
		time.AfterFunc(delayBy, func() { send(part) })
	default:
		send(part)
	}
}

func (dgs *datagrams) close() {
	_ = dgs.sock.Close()
	dgs.mtx.Lock()
	defer dgs.mtx.Unlock()
	for from, way := range dgs.ways {
		delete(dgs.ways, from)
		_ = way.Close()
	}
}
