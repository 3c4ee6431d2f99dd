package dial

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
)

const (
	// checkAddrs is the number of other addresses that are connected to tell whether this instance
	// reaches any endpoint, checkTimeout bounds these connections.
	checkAddrs   = 4
	checkTimeout = 200 * time.Millisecond
	// checkValid is how long the result of a check is used again.
	checkValid = 50 * clock.Milli(1)
	// idleInterval is how long no endpoint is connected before one is probed.
	idleInterval = clock.Second
	// probeInterval is the interval at which blocked paths are probed.
	probeInterval = 500 * time.Millisecond
)

// checks holds the result of the last check whether this instance reaches any endpoint.
type checks struct {
	mtx     sync.Mutex
	at      clock.Milli
	reaches bool
	sure    bool
}

// reachesOthers reports whether this instance reaches any endpoint other than that at an address,
// which was not reached. Without another endpoint it returns true: nothing tells otherwise. The
// result is not sure if there are others, of which none may be connected to see.
func (dlr *Dialer) reachesOthers(addr string) (reaches, sure bool) {
	chk := &dlr.checks
	chk.mtx.Lock()
	defer chk.mtx.Unlock()
	if now := dlr.set.Clock.Now(); chk.at == 0 || now-chk.at >= checkValid {
		chk.reaches, chk.sure = dlr.connectsAny(addr)
		chk.at = dlr.set.Clock.Now()
	}
	return chk.reaches, chk.sure
}

// connectsAny connects to a few endpoints other than that at an address, and reports whether any
// accepted; not sure if none may be connected.
func (dlr *Dialer) connectsAny(addr string) (connects, sure bool) {
	addrs := dlr.sampleAddrs(addr)
	if len(addrs) == 0 {
		return true, !slices.ContainsFunc(dlr.set.Endpoints(), func(ep proto.Endpoint) bool { return ep.Addr != addr && !ep.Leaving })
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	results := make(chan bool, len(addrs))
	for _, oth := range addrs {
		go func() { results <- dlr.probe(ctx, oth) }()
	}
	for range addrs {
		if <-results {
			return true, true
		}
	}
	return false, true
}

// sampleAddrs returns some addresses of endpoints except one, in random order.
func (dlr *Dialer) sampleAddrs(except string) []string {
	seen := map[string]bool{except: true}
	var addrs []string
	for _, ep := range dlr.set.Endpoints() {
		if !seen[ep.Addr] && (dlr.set.MayProbe == nil || dlr.set.MayProbe(ep)) {
			seen[ep.Addr] = true
			addrs = append(addrs, ep.Addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), checkAddrs)]
}

// probe reports whether an address accepts a direct connection.
func (dlr *Dialer) probe(ctx context.Context, addr string) bool {
	con, err := dlr.direct(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = con.Close()
	return true
}

// startProbing probes blocked paths until there are none. Without probes a request would have to find
// out that a path is open again.
func (dlr *Dialer) startProbing() {
	dlr.mtx.Lock()
	defer dlr.mtx.Unlock()
	if dlr.probing || !dlr.table.NeedsProbe() {
		return
	}
	dlr.probing = true
	go func() {
		for dlr.keepProbing() {
			time.Sleep(probeInterval)
			dlr.probeNext()
		}
	}()
}

// keepProbing reports whether any path is blocked, and ends the probing if none is.
func (dlr *Dialer) keepProbing() bool {
	dlr.mtx.Lock()
	defer dlr.mtx.Unlock()
	dlr.probing = dlr.table.NeedsProbe() && !dlr.closed
	return dlr.probing
}

// probeNext probes one blocked path, or any endpoints while this instance is blind, if any may be probed.
func (dlr *Dialer) probeNext() {
	dlr.mtx.Lock()
	addr, severed := dlr.table.NextProbe(dlr.set.Clock.Now())
	blind := dlr.table.Blind()
	dlr.mtx.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if blind {
		if _, sure := dlr.connectsAny(""); sure {
			return
		}
	}
	if severed {
		dlr.probe(ctx, addr)
	}
}
