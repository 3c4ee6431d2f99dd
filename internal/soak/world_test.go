package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"amaranthvalve/internal/ports"
	"amaranthvalve/internal/stand"
	"amaranthvalve/platform/fake"
)

// What the callers share.
const (
	host      = "desk.example"
	workspace = "corella"
	mainKey   = "key-that-stays"
)

// Names of the pools in the stand-in's document.
var poolNames = []string{"bookings", "engines", "rosters"}

const perPool = 3

// version is a document that the store has acknowledged.
type version struct {
	number int
	at     time.Time
}

// endpoint is a stand-in with the proxy before it.
type endpoint struct {
	*fake.Endpoint
	pool string
	srv  *stand.Server
	wire *wire
	// drained is when the store acknowledged that it leaves, gone when it went;
	// troubled is until when something was done to it.
	drained  time.Time
	gone     bool
	troubled time.Time
}

// world is one run.
type world struct {
	seed    uint64
	kinds   int
	program string
	store   *fake.Store
	srv     *stand.Server
	insts   []*instance

	mtx  sync.Mutex
	rng  *rand.Rand
	eps  []*endpoint
	docs []version
	// key is the second key in force; revoked tells when others were taken away.
	key      string
	revoked  map[string]time.Time
	attempts map[string]*attempt
	order    []*attempt
	broken   []string
	next     int
}

func newWorld(t *testing.T, program string, ply play, instances int) *world {
	wld := &world{
		seed: ply.seed, kinds: ply.kinds, program: program, store: fake.NewStore(), rng: rand.New(rand.NewPCG(ply.seed, 1)),
		revoked: map[string]time.Time{}, attempts: map[string]*attempt{},
	}
	var err error
	if wld.srv, err = stand.Serve("127.0.0.1:0", wld.store.Handler()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(wld.close)
	for _, pool := range poolNames {
		for range perPool {
			wld.addEndpoint(pool)
		}
	}
	wld.publish(true)
	dir := t.TempDir()
	for i := range instances {
		list, err := ports.Free(5)
		if err != nil {
			t.Fatal(err)
		}
		ins, err := newInstance(dir, fmt.Sprintf("node%d", i), wld.srv.Addr(), list)
		if err != nil {
			t.Fatal(err)
		}
		wld.insts = append(wld.insts, ins)
		if err := ins.start(program); err != nil {
			t.Fatal(err)
		}
	}
	return wld
}

func (wld *world) close() {
	for _, ins := range wld.insts {
		ins.close()
	}
	for _, ep := range wld.eps {
		ep.srv.Close()
		ep.wire.close()
	}
	wld.srv.Close()
}

// breaks notes a broken promise.
func (wld *world) breaks(format string, args ...any) {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	wld.broken = append(wld.broken, fmt.Sprintf(format, args...))
}

// addEndpoint starts an endpoint of a pool and writes its entry.
func (wld *world) addEndpoint(pool string) {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	wld.next++
	ep := &endpoint{Endpoint: fake.NewEndpoint(fmt.Sprintf("%s-%d", pool, wld.next)), pool: pool}
	srv, err := stand.Serve("127.0.0.1:0", ep.Handler())
	if err != nil {
		panic(err)
	}
	ep.srv = srv
	if ep.wire, err = newWire(srv.Addr()); err != nil {
		panic(err)
	}
	ep.SetAddr(ep.wire.addr())
	ep.Takes = 5 * time.Millisecond
	wld.eps = append(wld.eps, ep)
	wld.store.PutEndpoint(ep.ID(), fake.Entry(pool, ep.wire.addr(), false))
}

// serving lists a pool's endpoints that are neither leaving nor gone.
func (wld *world) serving(pool string) []*endpoint {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	var list []*endpoint
	for _, ep := range wld.eps {
		if ep.pool == pool && !ep.gone && ep.drained.IsZero() {
			list = append(list, ep)
		}
	}
	return list
}

// publish writes a new version with a route that no other version has, and with
// another second key if the one before is taken away.
func (wld *world) publish(rotate bool) {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	number := len(wld.docs) + 1
	before := wld.key
	if rotate {
		wld.key = fmt.Sprintf("key-of-%d", number)
	}
	wld.store.PutDocument(fake.Document{
		Version: number, Host: host, Tenant: workspace, Keys: []string{mainKey, wld.key}, Extra: []string{routeOf(number)},
	}.JSON())
	now := time.Now()
	wld.docs = append(wld.docs, version{number: number, at: now})
	if rotate && before != "" {
		wld.revoked[before] = now
	}
}

// routeOf names the route that only one version has.
func routeOf(number int) string { return fmt.Sprintf("v%d", number) }

// newest gives the newest version's number and the second key.
func (wld *world) newest() (number int, key string) {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	return len(wld.docs), wld.key
}

// troubleAll notes that something is done to all instances' surroundings.
func (wld *world) troubleAll(until time.Time) {
	for _, ins := range wld.insts {
		ins.trouble(until)
	}
}

// draw gives a number below n; all that is drawn comes from the run's seed.
func (wld *world) draw(n int) int {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	return wld.rng.IntN(n)
}

// span draws a time between two bounds.
func (wld *world) span(least, most time.Duration) time.Duration {
	return least + time.Duration(wld.draw(int((most-least)/time.Millisecond)+1))*time.Millisecond
}
