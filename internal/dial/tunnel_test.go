package dial

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/reach"
)

// network is an instance that reaches no endpoint, one that relays for it, an endpoint, and another
// endpoint that accepts all connections.
type network struct {
	origin, relay *Dialer
	endpoint      net.Listener
	addr          string
	// withheld is set if the relay must not connect to the endpoint.
	withheld atomic.Bool
	// forbidden is set if the relay must send the endpoint nothing, by its last check.
	forbidden atomic.Bool
	// unknown is set if the relay doesn't know the endpoint.
	unknown atomic.Bool
	// unprobed is set if no endpoint may be connected only to see whether it is reached.
	unprobed atomic.Bool
	// healed ends the partition of the origin, blocked partitions the relay as well.
	healed, blocked atomic.Bool
}

func newNetwork(t *testing.T) *network {
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = lsn.Close() })
	other, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = other.Close() })
	nwk := &network{endpoint: lsn, addr: lsn.Addr().String()}
	refuse := func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	partitioned := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !nwk.healed.Load() {
			return refuse(ctx, network, addr)
		}
		return Direct(EndpointSilence).DialContext(ctx, network, addr)
	}
	unlessBlocked := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if nwk.blocked.Load() {
			return refuse(ctx, network, addr)
		}
		return Direct(EndpointSilence).DialContext(ctx, network, addr)
	}
	link := func(handle func(context.Context, peer.Message) peer.Message) *peer.Link {
		server, client, err := peer.EphemeralTLS()
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		lnk, err := peer.Listen("127.0.0.1:0", server, client, handle)
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		return lnk
	}
	here := link(func(context.Context, peer.Message) peer.Message { return peer.Message{Kind: peer.Nack} })
	there := link(func(ctx context.Context, msg peer.Message) peer.Message { return nwk.relay.HandleCheck(ctx, msg) })
	endpoints := func() []proto.Endpoint {
		return []proto.Endpoint{{ID: "one", Addr: nwk.addr}, {ID: "other", Addr: other.Addr().String()}}
	}
	relay := ident.Incarnation(there.Addr() + "#b")
	set := Setup{Endpoints: endpoints, MayProbe: func(proto.Endpoint) bool { return !nwk.unprobed.Load() }, Meter: meter.New(), Log: zerolog.Nop()}
	set.Self, set.Link, set.Direct = ident.Incarnation(here.Addr()+"#a"), here, partitioned
	set.Relays = func() []reach.Relay { return []reach.Relay{{ID: relay, Capacity: 1}} }
	nwk.origin = New(set)
	set.Self, set.Link, set.Direct = relay, there, unlessBlocked
	set.Relays = func() []reach.Relay { return nil }
	set.MayRelay = func(proto.Endpoint) bool { return !nwk.withheld.Load() }
	set.MaySend = func(ident.Process, string) bool { return !nwk.forbidden.Load() }
	set.Endpoints = func() []proto.Endpoint {
		if nwk.unknown.Load() {
			return nil
		}
		return endpoints()
	}
	nwk.relay = New(set)
	there.HandleTunnel = nwk.relay.ServeTunnel
	ctx, cancel := context.WithCancel(context.Background())
	go here.Serve(ctx)
	go there.Serve(ctx)
	t.Cleanup(func() {
		nwk.origin.Close()
		nwk.relay.Close()
		cancel()
	})
	return nwk
}

// connect opens a connection through the relay and returns both of its ends.
func (nwk *network) connect(gom *gomega.WithT) (net.Conn, *net.TCPConn) {
	con, err := nwk.origin.DialContext(context.Background(), "tcp", nwk.addr)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	end, err := nwk.endpoint.Accept()
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	return con, end.(*net.TCPConn)
}

// Guards against bytes that are lost, changed or held back on the way through a relay.
func TestTunnelCarriesBytes(t *testing.T) {
	gom := gomega.NewWithT(t)
	con, end := newNetwork(t).connect(gom)
	sent := make([]byte, 8<<20)
	_, _ = rand.Read(sent)
	for _, dir := range []struct{ from, to net.Conn }{{con, end}, {end, con}} {
		got := make([]byte, len(sent))
		done := make(chan error, 1)
		go func() {
			_, err := io.ReadFull(dir.to, got)
			done <- err
		}()
		_, err := dir.from.Write(sent)
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		gom.Eventually(done, 10*time.Second).Should(gomega.Receive(gomega.BeNil()))
		gom.Expect(bytes.Equal(got, sent)).To(gomega.BeTrue())
	}
	began := time.Now()
	_, _ = end.Write([]byte("an event"))
	_, err := io.ReadFull(con, make([]byte, 8))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", 100*time.Millisecond))
}

// Guards against a response that ends with its connection and looks complete although that was reset.
func TestTunnelTellsResetFromEnd(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	con, end := nwk.connect(gom)
	_, _ = end.Write([]byte("all of it"))
	_ = end.Close()
	text, err := io.ReadAll(con)
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(string(text)).To(gomega.Equal("all of it"))

	con, end = nwk.connect(gom)
	_, _ = end.Write([]byte("a part"))
	_, err = io.ReadFull(con, make([]byte, 6))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	_ = end.SetLinger(0)
	_ = end.Close()
	_, err = con.Read(make([]byte, 1))
	gom.Expect(err).To(gomega.HaveOccurred())
	gom.Expect(errors.Is(err, io.EOF)).To(gomega.BeFalse())
}

// Guards against an answer that looks complete since its connection was reset while the request was still
// being sent.
func TestTunnelTellsResetWhileSending(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	for range 20 {
		con, end := nwk.connect(gom)
		_, _ = end.Write([]byte("a part"))
		_, err := io.ReadFull(con, make([]byte, 6))
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		go func() {
			part := make([]byte, 64<<10)
			for err := error(nil); err == nil; {
				_, err = con.Write(part)
			}
		}()
		_, _ = io.ReadFull(end, make([]byte, 64<<10))
		_ = end.SetLinger(0)
		_ = end.Close()
		_, err = io.Copy(io.Discard, con)
		gom.Expect(err).To(gomega.HaveOccurred())
		_ = con.Close()
	}
}

// Guards against an answer that is broken off although the endpoint has sent all of it before it reset the
// connection: what the relay has read reaches the caller's instance first.
func TestTunnelDeliversWhatCameBeforeReset(t *testing.T) {
	gom := gomega.NewWithT(t)
	for range 5 {
		nwk := newNetwork(t)
		con, accepted := nwk.connect(gom)
		const size = 200_000
		_, err := accepted.Write(make([]byte, size))
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		_ = accepted.SetLinger(0)
		_ = accepted.Close()
		time.Sleep(50 * time.Millisecond)
		got, err := io.ReadAll(con)
		gom.Expect(got).To(gomega.HaveLen(size))
		gom.Expect(err).To(gomega.HaveOccurred())
		_ = con.Close()
	}
}

// Guards against an endpoint that works on for a caller that is gone, and against relayed connections
// that are never freed.
func TestTunnelPassesOnTheClose(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	con, end := nwk.connect(gom)
	gom.Expect(nwk.relay.Served()).To(gomega.BeEquivalentTo(1))
	gom.Expect(nwk.relay.Origins("one")).To(gomega.ConsistOf(nwk.origin.set.Self))
	gom.Expect(nwk.relay.Origins("other")).To(gomega.BeEmpty())
	_ = con.Close()
	_ = end.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	_, err := end.Read(make([]byte, 1))
	gom.Expect(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
	_ = end.Close()
	gom.Eventually(nwk.relay.Served, time.Second).Should(gomega.BeZero())
	gom.Expect(nwk.relay.Origins("one")).To(gomega.BeEmpty())
}

// Guards against a relay that connects to addresses which are no endpoints, and against asking again
// for an endpoint that no instance reaches.
func TestRelayConnectsOnlyToEndpoints(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	_, err := nwk.origin.DialContext(t.Context(), "tcp", "127.0.0.1:9")
	gom.Expect(err).To(gomega.HaveOccurred())
	nwk.unknown.Store(true)
	_, err = nwk.origin.DialContext(t.Context(), "tcp", nwk.addr)
	gom.Expect(err).To(gomega.HaveOccurred())
	gom.Eventually(nwk.relay.Served).Should(gomega.BeZero())
}

// Guards against a relay that connects to an endpoint which must get no requests from it, and against taking
// its refusal for the end of the endpoint, or of the relay.
func TestRelayWithholdsConnection(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	nwk.withheld.Store(true)
	_, err := nwk.origin.DialContext(t.Context(), "tcp", nwk.addr)
	gom.Expect(err).To(gomega.HaveOccurred())
	gom.Eventually(nwk.relay.Served).Should(gomega.BeZero())
	nwk.withheld.Store(false)
	nwk.connect(gom)
}

// Guards against a relay that sends to an endpoint, over a connection that it has opened before, what it must not send
// any more, and against one that cuts what is under way.
func TestRelayWithholdsFirstBytes(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	begun, begunEnd := nwk.connect(gom)
	_, err := begun.Write([]byte("one"))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadFull(begunEnd, make([]byte, 3))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	con, end := nwk.connect(gom)
	nwk.forbidden.Store(true)
	_, err = con.Write([]byte("two"))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	text, _ := io.ReadAll(end)
	gom.Expect(text).To(gomega.BeEmpty())
	_, err = con.Read(make([]byte, 1))
	gom.Expect(err).To(gomega.HaveOccurred())
	gom.Expect(errors.Is(err, io.EOF)).To(gomega.BeFalse(), "the end of an answer")
	_, err = begun.Write([]byte("more"))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadFull(begunEnd, make([]byte, 4))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = nwk.origin.DialContext(t.Context(), "tcp", nwk.addr)
	gom.Expect(err).To(gomega.HaveOccurred())
}

// Guards against requests that wait for relays although nobody reaches the endpoint.
func TestUnreachedEndpointFailsAtOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	nwk.blocked.Store(true)
	began := time.Now()
	_, err := nwk.origin.DialContext(t.Context(), "tcp", nwk.addr)
	gom.Expect(err).To(gomega.HaveOccurred())
	gom.Expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
}

// Guards against connections that stay relayed after the partition has healed.
func TestHealedPathIsUsed(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	nwk.connect(gom)
	nwk.healed.Store(true)
	gom.Eventually(func() bool {
		con, _ := nwk.connect(gom)
		_, direct := con.(*net.TCPConn)
		return direct
	}, 3*probeInterval, probeInterval/5).Should(gomega.BeTrue())
}

// Guards against an instance that learns that it is partitioned only from its first requests.
func TestIdleInstanceKnowsItsPartition(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	nwk.origin.SetKnown(2)
	go nwk.origin.Watch(t.Context())
	gom.Eventually(nwk.origin.Blind, 3*idleInterval.Duration()).Should(gomega.BeTrue())
	nwk.healed.Store(true)
	gom.Eventually(nwk.origin.Blind, (blindTime + idleInterval).Duration()).Should(gomega.BeFalse())
}

// blindTime covers the time for which an instance is still taken for blind after its partition.
const blindTime = 4 * clock.Second

// Guards against a relay that is partitioned itself and is taken for proof that an endpoint is down, since it may connect to
// no other endpoint to see whether it reaches any.
func TestUnsureRelayProvesNothing(t *testing.T) {
	gom := gomega.NewWithT(t)
	nwk := newNetwork(t)
	nwk.unprobed.Store(true)
	nwk.blocked.Store(true)
	_, err := nwk.origin.DialContext(t.Context(), "tcp", nwk.addr)
	gom.Expect(err).To(gomega.HaveOccurred())
	nwk.blocked.Store(false)
	con, _ := nwk.connect(gom)
	_ = con.Close()
}
