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

// world is a test environment of a platform, pools and instances in one process, connected
// over the loopback interface.
type world struct {
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

// newWorld starts the pools and the given number of instances and publishes the
// documents of the demo. lines are appended to the settings of each instance.
func newWorld(nodes int, lines string) *world {
	ctx, cancel := context.WithCancel(context.Background())
	ath, err := peer.NewAuthority()
	expect(err).NotTo(haveOccurred())
	wld := &world{
		plt: stand.NewPlatform(clock.Clock{}, 3*clock.Day, 100), pools: map[string][]*stand.Endpoint{},
		servers: map[string]*stand.Server{}, ath: ath, key: ident.NewID(), ctx: ctx, settings: lines,
	}
	wld.platform, err = stand.Serve("127.0.0.1:0", wld.plt.Handler())
	expect(err).NotTo(haveOccurred())
	ginkgo.DeferCleanup(func() {
		wld.plt.SetFaults(stand.Faults{})
		for _, nod := range wld.nodes {
			nod.Kill()
		}
		cancel()
		for _, srv := range wld.servers {
			srv.Close()
		}
		wld.platform.Close()
	})
	wld.add("encoders", stand.NewEndpoint("encoder-1", 2, 16), stand.NewEndpoint("encoder-2", 2, 16))
	wld.add("retrievers", stand.NewEndpoint("retriever-1", 2, 16))
	wld.add("rerankers", stand.NewEndpoint("reranker-1", 2, 16))
	wld.add("planners", stand.NewEngine("planner-1", 3, 16), stand.NewEngine("planner-2", 3, 16))
	wld.add("booking", stand.NewEndpoint("booking-1", 5, 16))
	for range nodes {
		wld.addNode()
	}
	for _, service := range []string{"planning", "booking"} {
		wld.publish(0, service, wld.read(service))
	}
	wld.awaitReady()
	return wld
}

// read returns a document of the demo with limits too high to be reached.
func (wld *world) read(service string) string {
	text, err := os.ReadFile(filepath.Join("..", "demo", service+".toml"))
	expect(err).NotTo(haveOccurred())
	wide := strings.NewReplacer("requests_per_second = 50", "requests_per_second = 5000", "in_flight = 32", "in_flight = 512")
	return wide.Replace(string(text))
}

func (wld *world) add(pool string, epts ...*stand.Endpoint) {
	for _, ept := range epts {
		srv, err := stand.Serve("127.0.0.1:0", ept.Handler())
		expect(err).NotTo(haveOccurred())
		wld.servers[ept.ID()] = srv
		wld.pools[pool] = append(wld.pools[pool], ept)
		inst := wire.Instance{ID: ept.ID(), Addr: srv.Addr(), Pool: pool, Zone: "dc1", State: wire.StateLive}
		go stand.Register(wld.ctx, "http://"+wld.platform.Addr(), inst)
	}
}

// addNode starts an instance that reaches the platform through a relay of its
// own, so that a test can partition this instance alone.
func (wld *world) addNode() *Node {
	rly := newRelay(wld.platform.Addr())
	ginkgo.DeferCleanup(rly.close)
	fresh := "fresh_ms = 3000"
	if strings.Contains(wld.settings, "fresh_ms") {
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
`, len(wld.nodes)%2+1, rly.addr(), wld.key, fresh, wld.settings)
	set, fts := conf.Parse([]byte(text))
	expect(set).NotTo(gomega.BeNil(), "%v", fts.Err())
	nod, err := New(set, wld.keys, zerolog.Nop())
	expect(err).NotTo(haveOccurred())
	// Partitioned is set before the link is used; tests switch it through the relay.
	nod.link.Partitioned = func(string) bool { return rly.cut.Load() && rly.cutPeers.Load() }
	nod.Start()
	wld.nodes = append(wld.nodes, nod)
	wld.relays = append(wld.relays, rly)
	return nod
}

func (wld *world) keys() (*tls.Config, *tls.Config, error) {
	pair, err := wld.ath.Issue()
	if err != nil {
		return nil, nil, err
	}
	server, client := peer.TLSConfigsFrom(func() (*tls.Certificate, *x509.CertPool, error) { return pair, wld.ath.Pool(), nil })
	return server, client, nil
}

func (nod *Node) isReady() bool {
	ready, _ := nod.ctl.View().Ready(nod.clk.Now())
	return ready
}

func (wld *world) publish(node int, service, text string) wire.Published {
	nod := wld.nodes[node]
	until(8*time.Second, nod.isReady)
	base := int64(0)
	if hld, ok := nod.ctl.View().Doc(service); ok {
		base = hld.Revision()
	}
	pub := nod.ctl.Publish(wld.ctx, service, wire.Publish{ID: ident.NewID(), Base: base, Text: text, By: "test", WaitMs: 8 * clock.Second})
	expect(pub.Verdict).To(equal("accepted"), pub.Detail)
	return pub
}

func (wld *world) awaitReady() {
	for _, nod := range wld.nodes {
		until(8*time.Second, func() bool {
			st := nod.ctl.Status(wld.ctx)
			return st.Ready && len(st.Members) == len(wld.nodes) && len(st.Endpoints) == len(wld.servers) && len(st.Services) == 2
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
func (wld *world) call(node int, service string, sub wire.Submit) wire.Answer {
	return wld.callAs(workspace, node, service, sub)
}

func (wld *world) callAs(wsp string, node int, service string, sub wire.Submit) wire.Answer {
	addr := wld.nodes[node].CallerAddr()
	return caller.New([]string{addr}, wsp, "", "").CallAt(wld.ctx, addr, service, sub, nil)
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
func (wld *world) ran(wsp, key string) int {
	return len(slices.DeleteFunc(wld.pools["booking"][0].Executions(), func(exc stand.Execution) bool {
		return exc.RequestID != wsp+"/booking/"+key
	}))
}

// executions counts the executions at all endpoints.
func (wld *world) executions() int {
	n := 0
	for _, epts := range wld.pools {
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

// setPartitioned partitions an instance from the platform and from all other instances, or ends that.
func (wld *world) setPartitioned(node int, cut bool) {
	wld.relays[node].cutPeers.Store(cut)
	wld.relays[node].setCut(cut)
}
