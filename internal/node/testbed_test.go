package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
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

// TestRoutes runs the suite of tests with instances that serve routes; AMV_SPECS, if set, says which by their
// labels.
func TestRoutes(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	suite.LabelFilter = cmp.Or(os.Getenv("AMV_SPECS"), suite.LabelFilter)
	suite.SkipStrings = append(suite.SkipStrings, known.Specs(os.Getenv("AMV_KNOWN_RED"), "TestRoutes")...)
	ginkgo.RunSpecs(t, "routes", suite, reporter)
}

var (
	expect     = gomega.Expect
	eventually = gomega.Eventually
	equal      = gomega.Equal
	anything   = gomega.HaveOccurred
)

// nodeLog is the logger of the instances.
var nodeLog = zerolog.Nop()

const (
	pollTimeout = 5 * time.Second
	key         = "key-of-corella"
	host        = "desk.example"
	deadline    = "4000"
)

// testbed is a store, endpoints and instances in one process, connected over loopback.
type testbed struct {
	store   *fake.Store
	srv     *stand.Server
	engines []*fake.Endpoint
	plain   []*fake.Endpoint
	stages  []*fake.Endpoint
	servers map[string]*stand.Server
	nodes   []*Node
	proxies []*storeProxy
	version int
	keys    []string
	// settings is the text of the settings file of the instance that was started last.
	settings string
	// moreSettings is added to the settings of the instances.
	moreSettings string
	// shutdownTimeout and tokenMaxViewAge are settings of the instances.
	shutdownTimeout clock.Milli
	tokenMaxViewAge clock.Milli
	// cleanup registers work for the end of the test.
	cleanup func(work func())
	// clk is the clock that times the planned shutdowns.
	clk clock.Clock
}

// newTestbed starts two engines, two plain endpoints, two stage endpoints and a number of
// instances, and waits until all are ready.
func newTestbed(nodes int) *testbed {
	return newShutdownTestbed(nodes, 8*clock.Second, func(work func()) { ginkgo.DeferCleanup(work) })
}

// newTokenTestbed is newTestbed with another maximum view age for tokens.
func newTokenTestbed(nodes int, maxAge clock.Milli) *testbed {
	return setUp(&testbed{shutdownTimeout: 8 * clock.Second, tokenMaxViewAge: maxAge, cleanup: func(work func()) { ginkgo.DeferCleanup(work) }}, nodes)
}

// newShutdownTestbed is newTestbed with another shutdown time-out.
func newShutdownTestbed(nodes int, timeout clock.Milli, cleanup func(work func())) *testbed {
	return setUp(&testbed{shutdownTimeout: timeout, tokenMaxViewAge: 2 * clock.Second, cleanup: cleanup}, nodes)
}

// setUp starts the parts of a testbed.
func setUp(tbd *testbed, nodes int) *testbed {
	tbd.store, tbd.keys, tbd.servers = fake.NewStore(), []string{key}, map[string]*stand.Server{}
	var err error
	tbd.srv, err = stand.Serve("127.0.0.1:0", tbd.store.Handler())
	expect(err).NotTo(anything())
	for i := range 2 {
		tbd.engines = append(tbd.engines, tbd.add("engines", fmt.Sprintf("engine-%d", i)))
		tbd.plain = append(tbd.plain, tbd.add("bookings", fmt.Sprintf("booking-%d", i)))
		tbd.stages = append(tbd.stages, tbd.add("rosters", fmt.Sprintf("roster-%d", i)))
	}
	tbd.publish(nil)
	for range nodes {
		tbd.start()
	}
	tbd.cleanup(func() {
		tbd.store.SetMode(fake.Healthy)
		for _, prx := range tbd.proxies {
			prx.cut.Store(false)
		}
		for _, nod := range tbd.nodes {
			nod.Kill()
		}
		for _, srv := range tbd.servers {
			srv.Close()
		}
		tbd.srv.Close()
	})
	tbd.waitJoined()
	return tbd
}

// waitJoined waits until all instances are members of one group and ready.
func (tbd *testbed) waitJoined() {
	for _, nod := range tbd.nodes {
		eventually(func() int { return len(nod.ctl.View().Members()) }, pollTimeout).Should(equal(len(tbd.nodes)))
		eventually(func() bool { return nod.ctl.View().Ready(nod.clk.Now()) && nod.pools.HasUsable("bookings", 2) }, pollTimeout).Should(gomega.BeTrue())
	}
}

func (tbd *testbed) add(service, id string) *fake.Endpoint {
	return tbd.addAt(service, id, anyAddress)
}

// addAt is like add, with the address that the endpoint listens on.
func (tbd *testbed) addAt(service, id, addr string) *fake.Endpoint {
	ep := fake.NewEndpoint(id)
	srv, err := stand.Serve(addr, ep.Handler())
	expect(err).NotTo(anything())
	ep.SetAddr(srv.Addr())
	tbd.servers[id] = srv
	tbd.putEntry(service, id, srv.Addr(), false)
	return ep
}

func (tbd *testbed) putEntry(service, id, addr string, draining bool) {
	tbd.store.PutEndpoint(id, fake.Entry(service, addr, draining))
}

// publish writes a new version of the document, modified by change unless that is nil.
func (tbd *testbed) publish(change func(doc *fake.Document)) {
	tbd.version++
	doc := fake.Document{Version: tbd.version, Host: host, Tenant: "corella", Keys: tbd.keys}
	if change != nil {
		change(&doc)
	}
	tbd.store.PutDocument(doc.JSON())
}

// storeProxy is the connection of one instance to the store. While it is cut no request is
// answered, including those in flight.
type storeProxy struct {
	cut      atomic.Bool
	requests atomic.Int64
	store    http.Handler
}

func (prx *storeProxy) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	prx.requests.Add(1)
	rec := httptest.NewRecorder()
	if !prx.cut.Load() {
		prx.store.ServeHTTP(rec, req)
	}
	if prx.cut.Load() {
		<-req.Context().Done()
		return
	}
	maps.Copy(wrt.Header(), rec.Header())
	wrt.WriteHeader(rec.Code)
	_, _ = wrt.Write(rec.Body.Bytes())
}

// start starts one more instance.
func (tbd *testbed) start() *Node { return tbd.startWithLink(func(*Node) {}) }

// startWithLink starts one more instance; change may modify its link before the start.
func (tbd *testbed) startWithLink(change func(nod *Node)) *Node {
	prx := &storeProxy{store: tbd.store.Handler()}
	srv, err := stand.Serve("127.0.0.1:0", prx)
	expect(err).NotTo(anything())
	tbd.cleanup(srv.Close)
	tbd.proxies = append(tbd.proxies, prx)
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
%s
`, freePort(), freePort(), freePort(), freePort(), srv.Addr(), tbd.tokenMaxViewAge, tbd.shutdownTimeout, tbd.moreSettings)
	tbd.settings = text
	set, fts := conf.Parse([]byte(text))
	expect(set).NotTo(gomega.BeNil(), "%v", fts)
	var nod *Node
	nod, err = New(set, platform.Dialect(), nodeLog)
	expect(err).NotTo(anything())
	nod.clk = tbd.clk
	change(nod)
	nod.Start()
	tbd.nodes = append(tbd.nodes, nod)
	return nod
}

// freePort returns an address with a free port.
func freePort() string {
	list, err := ports.Free(1)
	expect(err).NotTo(anything())
	return fmt.Sprintf("%s:%d", ports.Loopback, list[0])
}

// request is a request that a test sends.
type request struct {
	method string
	path   string
	id     string
	body   string
	header map[string]string
}

// response is the response to a request, or the error in its place.
type response struct {
	status int
	header http.Header
	body   string
	// closes is set if the connection is to be closed after the response.
	closes bool
	err    error
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true}}

// send sends a request to an instance and reads the whole response.
func (tbd *testbed) send(node int, rqt request) response {
	return tbd.sendCtx(context.Background(), node, rqt)
}

func (tbd *testbed) sendCtx(ctx context.Context, node int, rqt request) response {
	if rqt.method == "" {
		rqt.method = http.MethodPost
	}
	if rqt.id == "" {
		rqt.id = fmt.Sprintf("id-%d", time.Now().UnixNano())
	}
	req, err := fake.Request(rqt.method, tbd.nodes[node].set.CallerAddr(), rqt.path, host, rqt.id, deadline, key, rqt.body, rqt.header)
	expect(err).NotTo(anything())
	res, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, header: res.Header, body: string(body), closes: res.Close, err: err}
}

// runs returns the requests that endpoints ran.
func runs(list []*fake.Endpoint) []fake.Run {
	var all []fake.Run
	for _, ep := range list {
		all = append(all, ep.Runs()...)
	}
	return all
}

// injectFaults makes the next requests fail at whichever endpoint they reach.
func injectFaults(list []*fake.Endpoint, faults ...fake.Fault) {
	for _, ep := range list {
		ep.QueueFaults(faults...)
	}
}

// resultCount returns the number of results that stage endpoints store.
func resultCount(list []*fake.Endpoint) int {
	sum := 0
	for _, ep := range list {
		sum += ep.ResultCount()
	}
	return sum
}
