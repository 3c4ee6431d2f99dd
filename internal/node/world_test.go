package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/known"
	"amaranthvalve/internal/ports"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/zlog"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/platform"
	"amaranthvalve/platform/fake"
)

// TestRoutes is the entry of all tests with instances that serve routes.
func TestRoutes(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	suite.SkipStrings = append(suite.SkipStrings, known.Specs(os.Getenv("AMV_KNOWN_RED"), "TestRoutes")...)
	ginkgo.RunSpecs(t, "routes", suite, reporter)
}

var (
	expect     = gomega.Expect
	eventually = gomega.Eventually
	equal      = gomega.Equal
	anything   = gomega.HaveOccurred
)

// nodeLog is where instances write.
var nodeLog = zerolog.Nop()

const (
	soon     = 5 * time.Second
	key      = "key-of-corella"
	host     = "desk.example"
	deadline = "4000"
)

// world is a store, endpoints and instances in one process, over loopback.
type world struct {
	store   *fake.Store
	srv     *stand.Server
	engines []*fake.Endpoint
	plain   []*fake.Endpoint
	makers  []*fake.Endpoint
	servers map[string]*stand.Server
	nodes   []*Node
	ways    []*way
	version int
	keys    []string
	// text has the settings of the instance that was started last.
	text string
	// stop is how long a planned stop may take, tokens how long tokens are honoured; defers has work done at the test's end.
	stop   clock.Milli
	tokens clock.Milli
	defers func(work func())
	// clk is the clock by which planned stops are timed.
	clk clock.Clock
}

// newWorld starts two engines, two plain endpoints, two makers and so many
// instances, and waits until all are ready.
func newWorld(nodes int) *world {
	return newStoppingWorld(nodes, 8*clock.Second, func(work func()) { ginkgo.DeferCleanup(work) })
}

// newTokensWorld is newWorld with another time for which tokens are honoured.
func newTokensWorld(nodes int, tokens clock.Milli) *world {
	return fill(&world{stop: 8 * clock.Second, tokens: tokens, defers: func(work func()) { ginkgo.DeferCleanup(work) }}, nodes)
}

// newStoppingWorld is newWorld with another time for planned stops.
func newStoppingWorld(nodes int, stop clock.Milli, defers func(work func())) *world {
	return fill(&world{stop: stop, tokens: 2 * clock.Second, defers: defers}, nodes)
}

// fill starts what a world consists of.
func fill(wld *world, nodes int) *world {
	wld.store, wld.keys, wld.servers = fake.NewStore(), []string{key}, map[string]*stand.Server{}
	var err error
	wld.srv, err = stand.Serve("127.0.0.1:0", wld.store.Handler())
	expect(err).NotTo(anything())
	for i := range 2 {
		wld.engines = append(wld.engines, wld.add("engines", fmt.Sprintf("engine-%d", i)))
		wld.plain = append(wld.plain, wld.add("bookings", fmt.Sprintf("booking-%d", i)))
		wld.makers = append(wld.makers, wld.add("rosters", fmt.Sprintf("roster-%d", i)))
	}
	wld.publish(nil)
	for range nodes {
		wld.start()
	}
	wld.defers(func() {
		wld.store.SetMode(fake.Healthy)
		for _, wy := range wld.ways {
			wy.cut.Store(false)
		}
		for _, nod := range wld.nodes {
			nod.Kill()
		}
		for _, srv := range wld.servers {
			srv.Close()
		}
		wld.srv.Close()
	})
	wld.meet()
	return wld
}

// meet waits until all instances know one another and are ready.
func (wld *world) meet() {
	for _, nod := range wld.nodes {
		eventually(func() int { return len(nod.ctl.View().Members()) }, soon).Should(equal(len(wld.nodes)))
		eventually(func() bool { return nod.ctl.View().Ready(nod.clk.Now()) && nod.pools.HasUsable("bookings", 2) }, soon).Should(gomega.BeTrue())
	}
}

func (wld *world) add(service, id string) *fake.Endpoint {
	ep := fake.NewEndpoint(id)
	srv, err := stand.Serve("127.0.0.1:0", ep.Handler())
	expect(err).NotTo(anything())
	ep.SetAddr(srv.Addr())
	wld.servers[id] = srv
	wld.entry(service, id, srv.Addr(), false)
	return ep
}

func (wld *world) entry(service, id, addr string, draining bool) {
	wld.store.PutEndpoint(id, fake.Entry(service, addr, draining))
}

// publish writes a new version of the document; change may alter it first.
func (wld *world) publish(change func(doc *fake.Document)) {
	wld.version++
	doc := fake.Document{Version: wld.version, Host: host, Tenant: "corella", Keys: wld.keys}
	if change != nil {
		change(&doc)
	}
	wld.store.PutDocument(doc.JSON())
}

// way is one instance's way to the store. While it is cut nothing comes through,
// also what was under way.
type way struct {
	cut   atomic.Bool
	calls atomic.Int64
	store http.Handler
}

func (wy *way) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	wy.calls.Add(1)
	rec := httptest.NewRecorder()
	if !wy.cut.Load() {
		wy.store.ServeHTTP(rec, req)
	}
	if wy.cut.Load() {
		<-req.Context().Done()
		return
	}
	wrt.WriteHeader(rec.Code)
	_, _ = wrt.Write(rec.Body.Bytes())
}

// start starts one more instance.
func (wld *world) start() *Node { return wld.startLinked(func(*Node) {}) }

// startLinked starts one more instance; change may alter its link before it is used.
func (wld *world) startLinked(change func(nod *Node)) *Node {
	wy := &way{store: wld.store.Handler()}
	srv, err := stand.Serve("127.0.0.1:0", wy)
	expect(err).NotTo(anything())
	wld.defers(srv.Close)
	wld.ways = append(wld.ways, wy)
	text := fmt.Sprintf(`
dialect = "platform"
caller_addr = %q
entries_addr = %q
ready_addr = %q
peer_addr = %q
zone = "dc1"
platform = "http://%s"
keep_ms = 100
tokens_for_ms = %d
stop_ms = %d
`, freePort(), freePort(), freePort(), freePort(), srv.Addr(), wld.tokens, wld.stop)
	wld.text = text
	set, fts := conf.Parse([]byte(text))
	expect(set).NotTo(gomega.BeNil(), "%v", fts)
	var nod *Node
	nod, err = New(set, platform.Dialect(), nodeLog)
	expect(err).NotTo(anything())
	nod.clk = wld.clk
	change(nod)
	nod.Start()
	wld.nodes = append(wld.nodes, nod)
	return nod
}

// freePort gives an address whose port nobody listens on.
func freePort() string {
	list, err := ports.Free(1)
	expect(err).NotTo(anything())
	return fmt.Sprintf("%s:%d", ports.Loopback, list[0])
}

// ask is a request that a test sends.
type ask struct {
	method string
	path   string
	id     string
	body   string
	header map[string]string
}

// got is what came back.
type got struct {
	status int
	header http.Header
	body   string
	// closes tells that the connection is to be closed after the answer.
	closes bool
	err    error
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true}}

// send sends a request to an instance and reads the whole answer.
func (wld *world) send(node int, ak ask) got {
	return wld.sendCtx(context.Background(), node, ak)
}

func (wld *world) sendCtx(ctx context.Context, node int, ak ask) got {
	if ak.method == "" {
		ak.method = http.MethodPost
	}
	if ak.id == "" {
		ak.id = fmt.Sprintf("id-%d", time.Now().UnixNano())
	}
	req, err := fake.Request(ak.method, wld.nodes[node].set.CallerAddr(), ak.path, host, ak.id, deadline, key, ak.body, ak.header)
	expect(err).NotTo(anything())
	res, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return got{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return got{status: res.StatusCode, header: res.Header, body: string(body), closes: res.Close, err: err}
}

// runs adds up what endpoints ran.
func runs(list []*fake.Endpoint) []fake.Run {
	var all []fake.Run
	for _, ep := range list {
		all = append(all, ep.Runs()...)
	}
	return all
}

// fault makes the next request meet a fault, wherever it goes.
func fault(list []*fake.Endpoint, faults ...fake.Fault) {
	for _, ep := range list {
		ep.QueueFaults(faults...)
	}
}

// held adds up the results that makers hold.
func held(list []*fake.Endpoint) int {
	sum := 0
	for _, ep := range list {
		sum += ep.ResultCount()
	}
	return sum
}
