package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
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
	// rated is until when it names a rate.
	rated time.Time
}

// terms are what holds for the whole of a run.
type terms struct {
	// stop and keep are stop_ms and keep_ms of the instances.
	stop time.Duration
	keep time.Duration
	// varied tells that answers are of varied length: least at least, twice that in
	// the middle, and up to mostLasts.
	varied bool
	least  time.Duration
}

// Bounds of what is drawn where answers are of varied length.
const (
	leastStop = 1500 * time.Millisecond
	mostStop  = 6 * time.Second
	mostKeep  = time.Second
	leastLast = 100 * time.Millisecond
	mostLast  = 300 * time.Millisecond
	mostLasts = 7 * time.Second
	// routeTime is longer than every deadline.
	routeTime = 12 * time.Second
)

// newTerms draws them from a row of their own, so that nothing else is drawn otherwise.
func newTerms(ply play) terms {
	rng := rand.New(rand.NewPCG(ply.seed, 2))
	if ply.kinds < withStops || rng.IntN(2) == 0 {
		return terms{stop: stopIn, keep: keepFor}
	}
	return terms{
		stop: between(rng, leastStop, mostStop), keep: between(rng, keepFor, mostKeep),
		varied: true, least: between(rng, leastLast, mostLast),
	}
}

// between draws a time between two bounds.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.IntN(int((most-least)/time.Millisecond)+1))*time.Millisecond
}

// lasts draws how long an answer takes: half take more than twice the least, one in ten
// more than ten times.
func (trm terms) lasts(rng *rand.Rand) time.Duration {
	return min(mostLasts, time.Duration(float64(trm.least)/(1-rng.Float64())))
}

// world is one run.
type world struct {
	seed    uint64
	kinds   int
	trm     terms
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
	// notes are what the judgement of some attempts went by.
	notes []string
	// deadlies are the deadly requests that came.
	deadlies []*deadly
	// named are the rates that endpoints named.
	named []*named
	// heldAll tells that requests count as held whatever became of their connections.
	heldAll bool
	next    int
}

func newWorld(t *testing.T, program string, ply play, instances int) *world {
	wld := &world{
		seed: ply.seed, kinds: ply.kinds, trm: newTerms(ply), program: program, store: fake.NewStore(), rng: rand.New(rand.NewPCG(ply.seed, 1)),
		revoked: map[string]time.Time{}, attempts: map[string]*attempt{}, heldAll: os.Getenv("AMV_SOAK_HELD") == "all",
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
		ins, err := newInstance(dir, fmt.Sprintf("node%d", i), wld.srv.Addr(), list, wld.trm)
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

// note keeps what a judgement went by.
func (wld *world) note(format string, args ...any) {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	wld.notes = append(wld.notes, fmt.Sprintf(format, args...))
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
	ep.Takes, ep.Lasts = 5*time.Millisecond, wld.lasts
	ep.EndsOn(deadlyText, func() { wld.endsUnder(ep) })
	wld.eps = append(wld.eps, ep)
	wld.store.PutEndpoint(ep.ID(), fake.Entry(pool, ep.wire.addr(), false))
}

// lasts gives how long the answer to a request takes, zero for the usual time.
func (wld *world) lasts(id string) time.Duration {
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	if att, ok := wld.attempts[id]; ok {
		return att.lasts
	}
	return 0
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
	doc := fake.Document{Version: number, Host: host, Tenant: workspace, Keys: []string{mainKey, wld.key}, Extra: []string{routeOf(number)}}
	if wld.trm.varied {
		doc.Timeouts = map[string]int{}
		for _, knd := range kinds {
			doc.Timeouts[knd.route] = int(routeTime.Milliseconds())
		}
	}
	wld.store.PutDocument(doc.JSON())
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
	wld.mtx.Lock()
	defer wld.mtx.Unlock()
	return between(wld.rng, least, most)
}
