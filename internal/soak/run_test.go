package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthvalve/internal/ports"
	"amaranthvalve/internal/stand"
	"amaranthvalve/platform/fake"
)

// The document of all runs serves this host and workspace; permanentKey is never revoked.
const (
	host         = "desk.example"
	workspace    = "corella"
	permanentKey = "key-that-stays"
)

// poolNames are the pools in the document of the fake store.
var poolNames = []string{"bookings", "engines", "rosters"}

const endpointsPerPool = 3

// docVersion is a version of the document that the store has acknowledged.
type docVersion struct {
	version     int
	publishedAt time.Time
}

// endpoint is a test double of an endpoint with a proxy in front of it.
type endpoint struct {
	*fake.Endpoint
	pool  string
	srv   *stand.Server
	proxy *tcpProxy
	// build is the build of its software.
	build string
	// drainedAt is when the store acknowledged that the endpoint is leaving; gone is set when the
	// endpoint is stopped.
	drainedAt      time.Time
	gone           bool
	disturbedUntil time.Time
	// ratedUntil is until when it declares a rate.
	ratedUntil time.Time
}

// runParams are the parameters that hold for the whole run.
type runParams struct {
	// shutdownTimeout and entryTTL are the instances' settings stop_ms and keep_ms.
	shutdownTimeout time.Duration
	entryTTL        time.Duration
	// tokenMaxViewAge is the instances' setting tokens_for_ms.
	tokenMaxViewAge time.Duration
	// variedAnswers reports that answers are of varied length: minAnswerTime at least, twice that
	// at the median, maxAnswerTime at most.
	variedAnswers bool
	minAnswerTime time.Duration
	// calm reports that most faults leave the instances themselves alone, so that checks of what
	// steady instances do apply for longer.
	calm bool
	// parts reports that prompts with a part that crashes engines are sent all the time, and that most faults are
	// restarts and losses of instances.
	parts bool
	// floods reports that most faults are answers without end, and faults that move requests to their endpoints.
	floods bool
	// drains reports that most faults are endpoints that leave, and ends and pauses of instances.
	drains bool
	// rollOuts reports that most faults are roll-outs of builds and ends of instances, so that many streams
	// are taken up.
	rollOuts bool
}

// Bounds of the drawn parameters of runs with answers of varied length.
const (
	minShutdownTimeout   = 1500 * time.Millisecond
	maxShutdownTimeout   = 6 * time.Second
	maxEntryTTL          = time.Second
	lowestMinAnswerTime  = 100 * time.Millisecond
	highestMinAnswerTime = 300 * time.Millisecond
	maxAnswerTime        = 7 * time.Second
	// routeTimeout exceeds every deadline.
	routeTimeout = 12 * time.Second
)

// newRunParams draws the parameters from a random source of their own, so that the other draws of
// a seed are independent of them.
func newRunParams(spc runSpec) runParams {
	rng := rand.New(rand.NewPCG(spc.seed, 2))
	if spc.faultKinds >= drainsFromKinds && rng.IntN(2) == 0 {
		return runParams{shutdownTimeout: defaultShutdownTimeout, entryTTL: defaultEntryTTL, drains: true}
	}
	if spc.faultKinds >= floodsFromKinds && rng.IntN(2) == 0 {
		return runParams{shutdownTimeout: defaultShutdownTimeout, entryTTL: defaultEntryTTL, floods: true}
	}
	if spc.faultKinds >= partsFromKinds && rng.IntN(2) == 0 {
		return runParams{shutdownTimeout: defaultShutdownTimeout, entryTTL: defaultEntryTTL, parts: true}
	}
	if spc.faultKinds >= buildsFromKinds && rng.IntN(2) == 0 {
		return runParams{shutdownTimeout: defaultShutdownTimeout, entryTTL: defaultEntryTTL, rollOuts: true}
	}
	if spc.faultKinds < variedFromKinds || rng.IntN(2) == 0 {
		return runParams{shutdownTimeout: defaultShutdownTimeout, entryTTL: defaultEntryTTL, calm: spc.faultKinds >= calmFromKinds}
	}
	return runParams{
		shutdownTimeout: drawBetween(rng, minShutdownTimeout, maxShutdownTimeout), entryTTL: drawBetween(rng, defaultEntryTTL, maxEntryTTL),
		variedAnswers: true, minAnswerTime: drawBetween(rng, lowestMinAnswerTime, highestMinAnswerTime),
	}
}

// drawBetween draws a duration between two bounds.
func drawBetween(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.IntN(int((high-low)/time.Millisecond)+1))*time.Millisecond
}

// drawAnswerTime draws how long an answer takes: half of them take more than twice the minimum,
// one in ten more than ten times.
func (prm runParams) drawAnswerTime(rng *rand.Rand) time.Duration {
	return min(maxAnswerTime, time.Duration(float64(prm.minAnswerTime)/(1-rng.Float64())))
}

// soakRun is one run: its deployment, faults, requests and violations.
type soakRun struct {
	// restoring is set while the store is about to come back from a copy.
	restoring  atomic.Bool
	seed       uint64
	faultKinds int
	params     runParams
	program    string
	store      *fake.Store
	srv        *stand.Server
	insts      []*instance

	mtx  sync.Mutex
	rng  *rand.Rand
	eps  []*endpoint
	docs []docVersion
	// secondKey is the second API key in force; revoked has the times at which earlier ones were
	// revoked.
	secondKey  string
	revoked    map[string]time.Time
	attempts   map[string]*attempt
	order      []*attempt
	violations []string
	// notes explain checks in the report, such as the connections of unanswered requests.
	notes         []string
	poisons       []*poisonRequest
	parts         []*badPart
	declaredRates []*declaredRate
	partitions    []*partitionPeriod
	brittles      []*brittlePeriod
	// bursts counts the requests sent in bursts.
	bursts int
	// countAllUnanswered makes unanswered requests violations even if they were lost on the way
	// to their instance.
	countAllUnanswered bool
	// lastBuild is the number of the build that was rolled out last, streams are the resumable ones.
	lastBuild int
	streams   []*stream
	// lastEndpoint is the number in the ID of the last endpoint started.
	lastEndpoint int
}

func newSoakRun(t *testing.T, program string, spc runSpec, instances int) *soakRun {
	sr := &soakRun{
		seed: spc.seed, faultKinds: spc.faultKinds, params: newRunParams(spc), program: program, store: fake.NewStore(), rng: rand.New(rand.NewPCG(spc.seed, 1)),
		revoked: map[string]time.Time{}, attempts: map[string]*attempt{}, countAllUnanswered: os.Getenv("AMV_SOAK_HELD") == "all",
	}
	sr.params.tokenMaxViewAge = cmp.Or(spc.tokenMaxViewAge, defaultTokenMaxViewAge)
	var err error
	if sr.srv, err = stand.Serve("127.0.0.1:0", sr.store.Handler()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sr.close)
	for _, pool := range poolNames {
		for range endpointsPerPool {
			sr.addEndpoint(pool)
		}
	}
	sr.publish(true)
	dir := t.TempDir()
	for i := range instances {
		list, err := ports.Free(5)
		if err != nil {
			t.Fatal(err)
		}
		ins, err := newInstance(dir, fmt.Sprintf("node%d", i), sr.srv.Addr(), list, sr.params)
		if err != nil {
			t.Fatal(err)
		}
		sr.insts = append(sr.insts, ins)
		if err := ins.start(program); err != nil {
			t.Fatal(err)
		}
	}
	return sr
}

func (sr *soakRun) close() {
	for _, ins := range sr.insts {
		ins.close()
	}
	for _, ep := range sr.eps {
		ep.srv.Close()
		ep.proxy.close()
	}
	sr.srv.Close()
}

// violation records a violated guarantee.
func (sr *soakRun) violation(format string, args ...any) {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	sr.violations = append(sr.violations, fmt.Sprintf(format, args...))
}

// note records an explanation for the report.
func (sr *soakRun) note(format string, args ...any) {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	sr.notes = append(sr.notes, fmt.Sprintf(format, args...))
}

// addEndpoint starts an endpoint of a pool and publishes its entry.
func (sr *soakRun) addEndpoint(pool string) {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	sr.lastEndpoint++
	ep := &endpoint{Endpoint: fake.NewEndpoint(fmt.Sprintf("%s-%d", pool, sr.lastEndpoint)), pool: pool, build: sr.buildFor(pool)}
	if sr.hasBuilds() {
		ep.SetBuild(ep.build)
	}
	srv, err := stand.Serve("127.0.0.1:0", ep.Handler())
	if err != nil {
		panic(err)
	}
	ep.srv = srv
	if ep.proxy, err = newTCPProxy(srv.Addr()); err != nil {
		panic(err)
	}
	ep.SetAddr(ep.proxy.addr())
	ep.Duration, ep.DurationOf = 5*time.Millisecond, sr.answerTime
	ep.CrashOn(poisonText, func() { sr.crashEndpoint(ep) })
	for _, bpt := range sr.parts {
		sr.armPart(ep, bpt)
	}
	for _, brt := range sr.brittles {
		if brt.pool == pool && !brt.ended {
			brt.arm(sr, ep)
		}
	}
	sr.eps = append(sr.eps, ep)
	sr.store.PutEndpoint(ep.ID(), fake.EntryOf(pool, ep.proxy.addr(), ep.build, false))
}

// answerTime returns how long the answer to a request takes, zero for the usual time.
func (sr *soakRun) answerTime(id string) time.Duration {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	if att, ok := sr.attempts[id]; ok {
		return att.answerTime
	}
	return 0
}

// servingEndpoints lists a pool's endpoints that are neither leaving nor gone.
func (sr *soakRun) servingEndpoints(pool string) []*endpoint {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	var list []*endpoint
	for _, ep := range sr.eps {
		if ep.pool == pool && !ep.gone && ep.drainedAt.IsZero() {
			list = append(list, ep)
		}
	}
	return list
}

// publish writes a new version of the document, with a route that no other version has. With
// rotate it also replaces the second key, which revokes the previous one.
func (sr *soakRun) publish(rotate bool) {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	number := len(sr.docs) + 1
	before := sr.secondKey
	if rotate {
		sr.secondKey = fmt.Sprintf("key-of-%d", number)
	}
	doc := fake.Document{Version: number, Host: host, Tenant: workspace, Keys: []string{permanentKey, sr.secondKey}, Extra: []string{versionRoute(number)}}
	if sr.params.variedAnswers {
		doc.Timeouts = map[string]int{}
		for _, knd := range requestKinds {
			doc.Timeouts[knd.route] = int(routeTimeout.Milliseconds())
		}
	}
	sr.store.PutDocument(doc.JSON())
	now := time.Now()
	sr.docs = append(sr.docs, docVersion{version: number, publishedAt: now})
	if rotate && before != "" {
		sr.revoked[before] = now
	}
}

// versionRoute names the route that only one version has.
func versionRoute(number int) string { return fmt.Sprintf("v%d", number) }

// latest returns the number of the latest version and the second key.
func (sr *soakRun) latest() (number int, key string) {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	return len(sr.docs), sr.secondKey
}

// markAllDisturbed records that the surroundings of all instances are disturbed until the given
// time.
func (sr *soakRun) markAllDisturbed(until time.Time) {
	for _, ins := range sr.insts {
		ins.markDisturbed(until)
	}
}

// drawInt draws a number below n from the run's seed.
func (sr *soakRun) drawInt(n int) int {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	return sr.rng.IntN(n)
}

// drawDuration draws a duration between two bounds from the run's seed.
func (sr *soakRun) drawDuration(low, high time.Duration) time.Duration {
	sr.mtx.Lock()
	defer sr.mtx.Unlock()
	return drawBetween(sr.rng, low, high)
}
