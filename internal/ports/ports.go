// Package ports allocates ports for tests that start processes or instances.
//
// A port that the kernel assigned to a listener may be assigned to any outgoing connection as
// soon as the listener is closed; an instance that is then to listen on it fails to start.
// Ports are therefore taken from below the kernel's ephemeral range, on a loopback address
// that only this test process uses, and each port is allocated only once.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Bounds of the allocated ports, below the ephemeral range of Linux (32768 and up).
const (
	firstPort = 11000
	lastPort  = 30000
)

// Loopback is a loopback address that only this process uses: several processes may run the
// same tests at once, and an instance that restarts must find its ports free.
var Loopback = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, os.Getpid()&0xff)

var (
	mtx  sync.Mutex
	next = firstPort
)

// Free allocates as many ports of [Loopback] as count, on which no TCP or UDP socket listens. It
// fails if the range is exhausted.
func Free(count int) ([]int, error) {
	mtx.Lock()
	defer mtx.Unlock()
	var list []int
	for len(list) < count {
		next++
		if next >= lastPort {
			return nil, fmt.Errorf("no free port left in the range from %d to %d", firstPort, lastPort)
		}
		if isFree(next) {
			list = append(list, next)
		}
	}
	return list, nil
}

func isFree(port int) bool {
	addr := fmt.Sprintf("%s:%d", Loopback, port)
	lsn, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = lsn.Close() }()
	pkt, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = pkt.Close()
	return true
}
