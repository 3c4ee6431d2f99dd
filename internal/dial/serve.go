package dial

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/reach"
)

const (
	// maxServed bounds the connections that an instance relays at a time: each takes a descriptor and
	// two buffers.
	maxServed = 1024
	// servedTimeout bounds the opening of a connection for another instance, which tries other relays
	// meanwhile.
	servedTimeout = 300 * time.Millisecond
	// copyBytes is the size of such a buffer.
	copyBytes = 16 << 10
)

// serving counts the connections that this instance relays, also by endpoint and origin.
type serving struct {
	count atomic.Int64

	mtx     sync.Mutex
	origins map[ident.Process]map[ident.Incarnation]int
}

// add counts a connection to an endpoint for an instance; the returned function ends it.
func (srv *serving) add(id ident.Process, origin ident.Incarnation) (end func()) {
	srv.mtx.Lock()
	defer srv.mtx.Unlock()
	if srv.origins == nil {
		srv.origins = map[ident.Process]map[ident.Incarnation]int{}
	}
	if srv.origins[id] == nil {
		srv.origins[id] = map[ident.Incarnation]int{}
	}
	srv.origins[id][origin]++
	return func() {
		srv.mtx.Lock()
		defer srv.mtx.Unlock()
		if srv.origins[id][origin]--; srv.origins[id][origin] == 0 {
			delete(srv.origins[id], origin)
		}
		if len(srv.origins[id]) == 0 {
			delete(srv.origins, id)
		}
	}
}

// Origins returns the instances for which this one relays connections to an endpoint.
func (dlr *Dialer) Origins(id ident.Process) []ident.Incarnation {
	dlr.serving.mtx.Lock()
	defer dlr.serving.mtx.Unlock()
	return slices.Collect(maps.Keys(dlr.serving.origins[id]))
}

// Served returns the number of connections that this instance relays.
func (dlr *Dialer) Served() int64 { return dlr.serving.count.Load() }

// ServeTunnel relays a connection to an endpoint for another instance; it is registered with the link.
func (dlr *Dialer) ServeTunnel(msg peer.Message, tnl *peer.Tunnel) {
	defer dlr.serving.count.Add(-1)
	con, ep, reply := dlr.connectFor(msg, dlr.serving.count.Add(1))
	ans := peer.Message{Kind: peer.Nack, From: dlr.set.Self}
	if con != nil {
		ans.Kind = peer.OK
		defer dlr.serving.add(ep.ID, msg.From)()
	}
	body, err := cbor.Marshal(reply)
	ans.Body = body
	if err != nil || tnl.Answer(ans) != nil || con == nil {
		if con != nil {
			_ = con.Close()
		}
		_ = tnl.Close()
		return
	}
	splice(tnl, con, func() bool { return dlr.set.MaySend == nil || dlr.set.MaySend(ep.ID, ep.Zone) })
}

// connectFor opens the connection to an endpoint that another instance asks for. count is the number of
// connections relayed here with this one.
func (dlr *Dialer) connectFor(msg peer.Message, count int64) (net.Conn, proto.Endpoint, tunnelReply) {
	var trq tunnelRequest
	if cbor.Unmarshal(msg.Body, &trq) != nil {
		return nil, proto.Endpoint{}, tunnelReply{Result: reach.Unreachable, Withheld: true}
	}
	ep, ok := dlr.endpoint(trq.Endpoint)
	if !ok || count > maxServed || dlr.set.MayRelay != nil && !dlr.set.MayRelay(ep) {
		return nil, ep, tunnelReply{Result: reach.Unreachable, Withheld: true}
	}
	ctx, cancel := context.WithTimeout(context.Background(), boundedBy(trq.Timeout))
	defer cancel()
	con, err := dlr.direct(ctx, "tcp", ep.Addr)
	if err != nil {
		reply := tunnelReply{Result: ResultOf(err)}
		reply.setReach(dlr.reachesOthers(ep.Addr))
		return nil, ep, reply
	}
	if dlr.set.MaySend != nil && !dlr.set.MaySend(ep.ID, ep.Zone) {
		// The answer has changed while the connection was opened.
		_ = con.Close()
		return nil, ep, tunnelReply{Result: reach.Unreachable, Withheld: true}
	}
	return con, ep, tunnelReply{}
}

// boundedBy returns a caller's timeout within the one for connections.
func boundedBy(span clock.Milli) time.Duration {
	return min(max(span.Duration(), 0), servedTimeout)
}

// endpoint returns the endpoint with an ID. Its address here may differ from the one that the caller
// knows, and an address that is no endpoint's is never connected.
func (dlr *Dialer) endpoint(id ident.Process) (proto.Endpoint, bool) {
	for _, ep := range dlr.set.Endpoints() {
		if ep.ID == id {
			return ep, true
		}
	}
	return proto.Endpoint{}, false
}

// splice copies between a tunnel and the connection of an endpoint until both directions have ended.
// Anything but the end of the endpoint's data breaks the tunnel, so that the caller can tell a complete
// answer from a cut one; a tunnel that was closed closes the connection, by which the endpoint learns that
// its caller is gone.
// may is asked before the first byte is sent to the endpoint: the caller may know less than this instance.
func splice(tnl *peer.Tunnel, con net.Conn, may func() bool) {
	var grp sync.WaitGroup
	snd := &sender{con: con, may: may}
	grp.Go(func() {
		_, _ = io.CopyBuffer(snd, tnl, make([]byte, copyBytes))
		_ = con.Close()
	})
	_, err := io.CopyBuffer(onlyWriter{tnl}, con, make([]byte, copyBytes))
	if err != nil || snd.stop() {
		tnl.Reset()
	} else {
		_ = tnl.Close()
	}
	grp.Wait()
}

// sender writes to a connection. A reset is reported once: after a write that failed with it, reads end as if
// the connection had been closed in order.
type sender struct {
	con net.Conn
	// may reports whether the first bytes may be sent; it is nil afterwards.
	may    func() bool
	mtx    sync.Mutex
	failed bool
}

// errWithheld is returned for the first bytes to an endpoint that must be sent nothing by now.
var errWithheld = errors.New("the endpoint must be sent nothing")

func (snd *sender) Write(buf []byte) (int, error) {
	snd.mtx.Lock()
	defer snd.mtx.Unlock()
	if snd.may != nil && !snd.may() {
		snd.failed = true
		return 0, errWithheld
	}
	snd.may = nil
	n, err := snd.con.Write(buf)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		snd.failed = true
	}
	return n, err
}

// stop ends all writes and reports whether one has failed before.
func (snd *sender) stop() bool {
	_ = snd.con.SetWriteDeadline(time.Now())
	snd.mtx.Lock()
	defer snd.mtx.Unlock()
	return snd.failed
}

// onlyWriter hides the other methods of a writer, by which io.CopyBuffer would choose a buffer of its
// own.
type onlyWriter struct{ io.Writer }
