// Package ports finds ports for tests that start processes or instances.
//
// A port that the machine chose and that was closed again is given to the next outgoing
// connection of anybody, and the instance that was to listen there doesn't start. So ports
// are taken below those that the machine gives out, on a loopback address of this test
// process alone, and never twice.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports lie below those that Linux gives to outgoing connections (32768 and up).
const (
	first = 11000
	last  = 30000
)

// Loopback is an address on loopback of this process alone: the same tests run side by side,
// and an instance that is down for a moment must find its ports free again.
var Loopback = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, os.Getpid()&0xff)

var (
	mtx  sync.Mutex
	next = first
)

// Free gives so many ports of [Loopback] that nobody listens on, by TCP or UDP, and that were
// never given before; an error if there are no more.
func Free(count int) ([]int, error) {
	mtx.Lock()
	defer mtx.Unlock()
	var list []int
	for len(list) < count {
		next++
		if next >= last {
			return nil, fmt.Errorf("no port is left of %d to %d", first, last)
		}
		if free(next) {
			list = append(list, next)
		}
	}
	return list, nil
}

func free(port int) bool {
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
