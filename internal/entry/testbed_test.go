package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/known"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
	"amaranthvalve/internal/zlog"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// TestInstances runs the specs that start instances in the test process.
func TestInstances(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	suite.SkipStrings = append(suite.SkipStrings, known.Specs(os.Getenv("AMV_KNOWN_RED"), "TestInstances")...)
	ginkgo.RunSpecs(t, "instances", suite, reporter)
}

const workspace = "corella-track"

var (
	expect       = gomega.Expect
	equal        = gomega.Equal
	isTrue       = gomega.BeTrue
	haveOccurred = gomega.HaveOccurred
)

// testbed is a platform, pools and instances in one process, connected over the loopback
// interface.
type testbed struct {
	plt      *stand.Platform
	platform *stand.Server
	pools    map[string][]*stand.Endpoint
	servers  map[string]*stand.Server
	nodes    []*Node
	relays   []*relay
	ath      *peer.Authority
	key      string
	ctx      context.Context
	settings string
}

// newTestbed starts the pools and the given number of instances and publishes the
// documents of the demo. lines are appended to the settings of each instance.
func newTestbed(nodes int, lines string) *testbed {
	ctx, cancel := context.WithCancel(context.Background())
	ath, err := peer.NewAuthority()
	expect(err).NotTo(haveOccurred())
	tbd := &testbed{
		plt: stand.NewPlatform(clock.Clock{}, 3*clock.Day, 100), pools: map[string][]*stand.Endpoint{},
		servers: map[string]*stand.Server{}, ath: ath, key: ident.NewID(), ctx: ctx, settings: lines,
	}
	tbd.platform, err = stand.Serve("127.0.0.1:0", tbd.plt.Handler())
	expect(err).NotTo(haveOccurred())
	ginkgo.DeferCleanup(func() {
		tbd.plt.SetFaults(stand.Faults{})
		for _, nod := range tbd.nodes {
			nod.Kill()
		}
		cancel()
		for _, srv := range tbd.servers {
			srv.Close()
		}
		tbd.platform.Close()
	})
	tbd.add("encoders", stand.NewEndpoint("encoder-1", 2, 16), stand.NewEndpoint("encoder-2", 2, 16))
	tbd.add("retrievers", stand.NewEndpoint("retriever-1", 2, 16))
	tbd.add("rerankers", stand.NewEndpoint("reranker-1", 2, 16))
	tbd.add("planners", stand.NewEngine("planner-1", 3, 16), stand.NewEngine("planner-2", 3, 16))
	tbd.add("booking", stand.NewEndpoint("booking-1", 5, 16))
	for range nodes {
		tbd.addNode()
	}
	for _, service := range []string{"planning", "booking"} {
		tbd.publish(0, service, tbd.read(service))
	}
	tbd.awaitReady()
	return tbd
}

// read returns a document of the demo with limits too high to be reached.
func (tbd *testbed) read(service string) string {
	text, err := os.ReadFile(filepath.Join("..", "demo", service+".toml"))
	expect(err).NotTo(haveOccurred())
	wide := strings.NewReplacer("requests_per_second = 50", "requests_per_second = 5000", "in_flight = 32", "in_flight = 512")
	return wide.Replace(string(text))
}

func (tbd *testbed) add(pool string, epts ...*stand.Endpoint) {
	for _, ept := range epts {
		srv, err := stand.Serve("127.0.0.1:0", ept.Handler())
		expect(err).NotTo(haveOccurred())
		tbd.servers[ept.ID()] = srv
		tbd.pools[pool] = append(tbd.pools[pool], ept)
		inst := wire.Instance{ID: ept.ID(), Addr: srv.Addr(), Pool: pool, Zone: "dc1", State: wire.StateLive}
		go stand.Register(tbd.ctx, "http://"+tbd.platform.Addr(), inst)
	}
}

// addNode starts an instance that reaches the platform through a relay of its
// own, so that a test can partition this instance alone.
func (tbd *testbed) addNode() *Node {
	rly := newRelay(tbd.platform.Addr())
	ginkgo.DeferCleanup(rly.close)
	fresh := "fresh_ms = 3000"
	if strings.Contains(tbd.settings, "fresh_ms") {
		fresh = ""
	}
	text := fmt.Sprintf(`
caller_addr = "127.0.0.1:0"
ops_addr = "127.0.0.1:0"
peer_addr = "127.0.0.1:0"
zone = "dc%d"
platform = "http://%s"
resume_key_hex = "%s"
keep_ms = 500
%s
tls = { cert = "/dev/null", key = "/dev/null", ca = "/dev/null" }
%s
`, len(tbd.nodes)%2+1, rly.addr(), tbd.key, fresh, tbd.settings)
	set, fts := conf.Parse([]byte(text))
	expect(set).NotTo(gomega.BeNil(), "%v", fts.Err())
	nod, err := New(set, tbd.keys, zerolog.Nop())
	expect(err).NotTo(haveOccurred())
	// Partitioned must be set before the link is used; tests start and end the partition
	// through the relay.
	nod.link.Partitioned = func(string) bool { return rly.cut.Load() && rly.cutPeers.Load() }
	nod.Start()
	tbd.nodes = append(tbd.nodes, nod)
	tbd.relays = append(tbd.relays, rly)
	return nod
}

func (tbd *testbed) keys() (*tls.Config, *tls.Config, error) {
	pair, err := tbd.ath.Issue()
	if err != nil {
		return nil, nil, err
	}
	server, client := peer.TLSConfigsFrom(func() (*tls.Certificate, *x509.CertPool, error) { return pair, tbd.ath.Pool(), nil })
	return server, client, nil
}

func (nod *Node) isReady() bool {
	ready, _ := nod.ctl.View().Ready(nod.clk.Now())
	return ready
}

func (tbd *testbed) publish(node int, service, text string) wire.Published {
	nod := tbd.nodes[node]
	until(8*time.Second, nod.isReady)
	base := int64(0)
	if dvr, ok := nod.ctl.View().Doc(service); ok {
		base = dvr.Revision()
	}
	pub := nod.ctl.Publish(tbd.ctx, service, wire.Publish{ID: ident.NewID(), Base: base, Text: text, By: "test", WaitMs: 8 * clock.Second})
	expect(pub.Verdict).To(equal("accepted"), pub.Detail)
	return pub
}

func (tbd *testbed) awaitReady() {
	for _, nod := range tbd.nodes {
		until(8*time.Second, func() bool {
			st := nod.ctl.Status(tbd.ctx)
			return st.Ready && len(st.Members) == len(tbd.nodes) && len(st.Endpoints) == len(tbd.servers) && len(st.Services) == 2
		})
	}
}

// until waits for a condition and returns how long that took. It fails the test if the
// condition does not hold within the given time.
func until(most time.Duration, cond func() bool) time.Duration {
	began := time.Now()
	gomega.EventuallyWithOffset(1, cond, most, 5*time.Millisecond).Should(isTrue())
	return time.Since(began)
}

// call sends a request once to one instance.
func (tbd *testbed) call(node int, service string, sub wire.Submit) wire.Answer {
	return tbd.callAs(workspace, node, service, sub)
}

func (tbd *testbed) callAs(wsp string, node int, service string, sub wire.Submit) wire.Answer {
	addr := tbd.nodes[node].CallerAddr()
	return caller.New([]string{addr}, wsp, "", "").CallAt(tbd.ctx, addr, service, sub, nil)
}

func booking(key string) wire.Submit {
	return wire.Submit{Request: "confirm", Input: "possession " + key, Key: key, ExpiresMs: clock.Clock{}.Now() + clock.Minute}
}

func firstBooking(key string) wire.Submit {
	sub := booking(key)
	sub.First = true
	return sub
}

// ran counts the executions of the booking service for a workspace's key.
func (tbd *testbed) ran(wsp, key string) int {
	return len(slices.DeleteFunc(tbd.pools["booking"][0].Executions(), func(exc stand.Execution) bool {
		return exc.RequestID != wsp+"/booking/"+key
	}))
}

// executions counts the executions at all endpoints.
func (tbd *testbed) executions() int {
	n := 0
	for _, epts := range tbd.pools {
		for _, ept := range epts {
			n += len(ept.Executions())
		}
	}
	return n
}

// generated returns the complete answer of the planning service.
func generated(input string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(stand.TokenAt("rerank(retrieve(encode("+input+")))", i))
	}
	return text.String()
}

// relay forwards TCP connections until it is cut.
type relay struct {
	lsn    net.Listener
	target string
	cut    atomic.Bool
	// cutPeers is set if a cut partitions the instance from its peers as well.
	cutPeers atomic.Bool
	mtx      sync.Mutex
	conns    []net.Conn
}

func newRelay(target string) *relay {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(haveOccurred())
	rly := &relay{lsn: lsn, target: target}
	go rly.run()
	return rly
}

func (rly *relay) addr() string { return rly.lsn.Addr().String() }

func (rly *relay) run() {
	for {
		in, err := rly.lsn.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", rly.target)
		if err != nil || rly.cut.Load() {
			_ = in.Close()
			continue
		}
		rly.mtx.Lock()
		rly.conns = append(rly.conns, in, out)
		rly.mtx.Unlock()
		go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
		go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
	}
}

// setCut closes all connections and refuses new ones, or forwards them again.
func (rly *relay) setCut(cut bool) {
	rly.cut.Store(cut)
	if cut {
		rly.mtx.Lock()
		defer rly.mtx.Unlock()
		for _, cn := range rly.conns {
			_ = cn.Close()
		}
		rly.conns = nil
	}
}

func (rly *relay) close() {
	_ = rly.lsn.Close()
	rly.setCut(true)
}

// setPartitioned starts or ends the partition of an instance from the platform and from all other
// instances.
func (tbd *testbed) setPartitioned(node int, cut bool) {
	tbd.relays[node].cutPeers.Store(cut)
	tbd.relays[node].setCut(cut)
}
