package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// cut is a partition: while it is on, what it applies to is dropped silently.
type cut struct{ on atomic.Bool }

// udpProxy stands before the UDP address of one machine's traffic with the others.
type udpProxy struct {
	sock   *net.UDPConn
	target *net.UDPAddr
	// blocks reports whether datagrams between the machine behind the proxy and a sender are dropped.
	blocks func(sender string) bool
	mtx    sync.Mutex
	paths  map[string]*net.UDPConn
}

func newUDPProxy(target string, blocks func(sender string) bool) (*udpProxy, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	sock, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	upx := &udpProxy{sock: sock, target: to, blocks: blocks, paths: map[string]*net.UDPConn{}}
	go upx.serve()
	return upx, nil
}

func (upx *udpProxy) addr() string { return upx.sock.LocalAddr().String() }

func (upx *udpProxy) serve() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := upx.sock.ReadFromUDP(buf)
		if err != nil {
			return
		}
		path, err := upx.path(from)
		if err == nil && !upx.blocks(from.String()) {
			_, _ = path.Write(buf[:n])
		}
	}
}

func (upx *udpProxy) path(from *net.UDPAddr) (*net.UDPConn, error) {
	upx.mtx.Lock()
	defer upx.mtx.Unlock()
	if path, ok := upx.paths[from.String()]; ok {
		return path, nil
	}
	path, err := net.DialUDP("udp", nil, upx.target)
	if err != nil {
		return nil, err
	}
	upx.paths[from.String()] = path
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := path.Read(buf)
			if err != nil && n == 0 {
				// A refused datagram, while no process listens.
				time.Sleep(time.Millisecond)
				continue
			}
			if !upx.blocks(from.String()) {
				_, _ = upx.sock.WriteToUDP(buf[:n], from)
			}
		}
	}()
	return path, nil
}

// tcpProxy stands between one machine and the store. While it is cut, bytes wait and are not delivered, and new
// connections hang.
type tcpProxy struct {
	lsn    net.Listener
	target string
	cut    *cut
}

func newTCPProxy(target string, cut *cut) (*tcpProxy, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	tpx := &tcpProxy{lsn: lsn, target: target, cut: cut}
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			go tpx.pass(con)
		}
	}()
	return tpx, nil
}

func (tpx *tcpProxy) addr() string { return tpx.lsn.Addr().String() }

func (tpx *tcpProxy) await() {
	for tpx.cut.on.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (tpx *tcpProxy) pass(con net.Conn) {
	defer func() { _ = con.Close() }()
	tpx.await()
	out, err := net.Dial("tcp", tpx.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	ended := make(chan struct{}, 2)
	copyBytes := func(to io.Writer, from io.Reader) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			tpx.await()
			if n > 0 {
				if _, failed := to.Write(buf[:n]); failed != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		ended <- struct{}{}
	}
	go copyBytes(out, con)
	go copyBytes(con, out)
	<-ended
}
