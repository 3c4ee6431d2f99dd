package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
)

const (
	// slotsEach is the number of requests that a brittle endpoint runs at a time, runTime how long
	// each takes, downTime how long an endpoint is gone after a fall.
	slotsEach = 6
	runTime   = 60 * clock.Milli(1)
	downTime  = 3 * clock.Second
	// patience is how long a request waits for a slot.
	patience = 40 * clock.Milli(1)
	// lostAfter is how long a coordinator is out of reach before endpoints are used without it.
	lostAfter = 500 * clock.Milli(1)
	// maxLost is the number of consecutive requests without an answer after which a coordinator is
	// passed over.
	maxLost = 4
	// rankInterval is the interval at which an instance ranks the coordinators.
	rankInterval = 100 * clock.Milli(1)
	// resendTime is the time after which a lost message is sent again.
	resendTime = 200 * clock.Milli(1)
	// releaseTime is how long after its end the coordinator hears of the end of a request.
	releaseTime = 10 * clock.Milli(1)
)

// brittleEndpoint is an endpoint that falls when it rejects more than survives requests in a second.
type brittleEndpoint struct {
	id       string
	running  []clock.Milli
	rejected []clock.Milli
	downTill clock.Milli
}

// granter is an instance that sends requests to brittle endpoints, and grants slots.
type granter struct {
	*fleet.Instance
	slots        limit.Slots
	unresponsive map[ident.Incarnation]clock.Milli
	// lost counts the consecutive requests for a slot without an answer, the first at lostSince.
	lost      int
	lostSince clock.Milli
	// owners is the ranking of the coordinators as of rankedAt, and first whether this instance has
	// been the first of them since some time.
	owners   []ident.Incarnation
	rankedAt clock.Milli
	first    bool
	since    clock.Milli
	syncedAt clock.Milli
}

// rank returns the coordinators as this instance ranks them.
func (grt *granter) rank(now clock.Milli) []ident.Incarnation {
	if grt.owners == nil || now-grt.rankedAt >= rankInterval {
		grt.owners, grt.rankedAt = grt.List().Owners("pool"), now
		if first := grt.owners[0] == grt.ID(); first != grt.first || grt.List().IsIsolated(now) {
			grt.first, grt.since = first, now
		}
	}
	return grt.owners
}

// waiting is a request that has no slot yet.
type waiting struct {
	grt    *granter
	ticket string
	until  clock.Milli
}

// brittlePool is a fleet whose instances send requests to brittle endpoints.
type brittlePool struct {
	*fleet.Fleet
	rng       *rand.Rand
	survives  int
	endpoints []*brittleEndpoint
	of        map[*fleet.Instance]*granter
	queue     []waiting
	releases  map[clock.Milli][]func()
	next      int
	asked     int
	served    int
	falls     int
}

func newBrittlePool(count, endpoints, survives int) *brittlePool {
	bpl := &brittlePool{rng: rand.New(rand.NewPCG(uint64(count), uint64(survives))), survives: survives, of: map[*fleet.Instance]*granter{}, releases: map[clock.Milli][]func(){}}
	for i := range endpoints {
		bpl.endpoints = append(bpl.endpoints, &brittleEndpoint{id: fmt.Sprint("e", i)})
	}
	bpl.Fleet = fleet.New(fleet.Setup{Count: count, LossRate: 0.02, Seed: uint64(count), OnStart: func(ins *fleet.Instance) {
		bpl.of[ins] = &granter{Instance: ins, unresponsive: map[ident.Incarnation]clock.Milli{}}
	}})
	return bpl
}

// runFor lets requests arrive at random instances for a time, load times as many as the endpoints can
// run on average, in bursts.
func (bpl *brittlePool) runFor(span clock.Milli, load float64) {
	perStep := load * float64(len(bpl.endpoints)*slotsEach) * float64(fleet.Step) / float64(runTime)
	burst := 0.0
	bpl.Run(span, func() {
		for _, release := range bpl.releases[bpl.Now()] {
			release()
		}
		delete(bpl.releases, bpl.Now())
		if burst += perStep * 2 * bpl.rng.Float64(); bpl.rng.Float64() < 0.1 {
			for ; burst >= 1; burst-- {
				bpl.next++
				bpl.asked++
				bpl.queue = append(bpl.queue, waiting{grt: bpl.of[bpl.Random()], ticket: fmt.Sprint(bpl.next), until: bpl.Now() + patience})
			}
		}
		var rest []waiting
		for _, wtg := range bpl.queue {
			if !bpl.send(wtg) && bpl.Now() < wtg.until {
				rest = append(rest, wtg)
			}
		}
		bpl.queue = rest
	})
}

// send sends a request if it gets a slot.
func (bpl *brittlePool) send(wtg waiting) bool {
	grt := wtg.grt
	by, id := bpl.acquire(grt, wtg.ticket)
	if id == "" {
		return false
	}
	rejected := bpl.arrive(id)
	if !rejected {
		bpl.served++
	}
	took := releaseTime
	if !rejected {
		took += runTime
	}
	bpl.release(bpl.Now()+took, grt, by, func() {
		by.slots.Release(wtg.ticket)
		if rejected {
			by.slots.Pause(id, bpl.Now()+clock.Second)
		}
	})
	return true
}

// release tells the instance that granted a slot of the end of its request, once more if the message
// is lost.
func (bpl *brittlePool) release(at clock.Milli, grt, by *granter, done func()) {
	bpl.releases[at] = append(bpl.releases[at], func() {
		switch {
		case by == grt || bpl.Send(grt.Instance, by.Instance):
			done()
		case bpl.Find(by.ID()) != nil && bpl.Find(grt.ID()) != nil:
			bpl.release(bpl.Now()+resendTime, grt, by, done)
		}
	})
}

// acquire returns the instance that grants a slot, and the endpoint.
func (bpl *brittlePool) acquire(grt *granter, ticket string) (*granter, string) {
	unresponsive := 0
	for _, who := range grt.rank(bpl.Now()) {
		if who == grt.ID() {
			break
		}
		if bpl.Now() < grt.unresponsive[who] {
			unresponsive++
			continue
		}
		oth := bpl.Find(who)
		if !bpl.Send(grt.Instance, oth) {
			if grt.lost++; grt.lost == 1 {
				grt.lostSince = bpl.Now()
			}
			if grt.lost%maxLost == 0 {
				grt.unresponsive[who] = bpl.Now() + unresponsiveFor
			}
			if bpl.Now()-grt.lostSince >= lostAfter {
				return grt, bpl.grant(grt, ticket, limit.OneSlot)
			}
			return nil, ""
		}
		grt.lost = 0
		gtr := bpl.of[oth]
		return gtr, bpl.grant(gtr, ticket, bpl.share(gtr, 0))
	}
	return grt, bpl.grant(grt, ticket, bpl.share(grt, unresponsive))
}

// share returns the fraction of the slots that an instance may grant.
func (bpl *brittlePool) share(grt *granter, unresponsive int) float64 {
	if grt.rank(bpl.Now()); !grt.first && unresponsive == 0 {
		return 0
	}
	return limit.SlotShare(unresponsive, bpl.Now()-grt.since)
}

// grant takes a slot of the least used endpoint.
func (bpl *brittlePool) grant(grt *granter, ticket string, share float64) string {
	if bpl.Now()-grt.syncedAt >= rankInterval {
		grt.syncedAt = bpl.Now()
		sizes := map[string]int{}
		for _, ep := range bpl.endpoints {
			if bpl.Now() >= ep.downTill {
				sizes[ep.id] = slotsEach
			}
		}
		grt.slots.Sync(sizes)
		grt.slots.Expire(bpl.Now())
	}
	best, least := "", 0.0
	for _, ep := range bpl.endpoints {
		if usage, ok := grt.slots.Usage(ep.id, share, bpl.Now()); ok && (best == "" || usage < least) {
			best, least = ep.id, usage
		}
	}
	if best != "" {
		grt.slots.Take(best, ticket, bpl.Now()+4*clock.Second)
	}
	return best
}

// arrive lets a request arrive at an endpoint, and reports whether it was rejected.
func (bpl *brittlePool) arrive(id string) (rejected bool) {
	for _, ep := range bpl.endpoints {
		if ep.id != id {
			continue
		}
		ep.running = later(ep.running, bpl.Now()+1)
		if bpl.Now() >= ep.downTill && len(ep.running) < slotsEach {
			ep.running = append(ep.running, bpl.Now()+runTime)
			return false
		}
		ep.rejected = append(later(ep.rejected, bpl.Now()-clock.Second), bpl.Now())
		if len(ep.rejected) > bpl.survives && bpl.Now() >= ep.downTill {
			bpl.falls++
			ep.downTill, ep.running = bpl.Now()+downTime, nil
		}
	}
	return true
}

// later returns the instants that are not before another one.
func later(list []clock.Milli, than clock.Milli) []clock.Milli {
	var rest []clock.Milli
	for _, at := range list {
		if at >= than {
			rest = append(rest, at)
		}
	}
	return rest
}

// TestBrittleEndpointsStandAtSize guards against brittle endpoints that fall since more is sent than they
// run at a time, at the sizes of the users' deployments, while instances are partitioned and restart,
// all of them at last.
func TestBrittleEndpointsStandAtSize(t *testing.T) {
	for _, tst := range []struct {
		instances, endpoints int
		survives             []int
	}{{8, 4, []int{1, 3, 10}}, {66, 12, []int{1, 10}}, {195, 20, []int{1}}} {
		for _, survives := range tst.survives {
			t.Run(fmt.Sprintf("%d instances, %d endpoints, %d rejections", tst.instances, tst.endpoints, survives), func(t *testing.T) {
				t.Parallel()
				gom := gomega.NewWithT(t)
				bpl := newBrittlePool(tst.instances, tst.endpoints, survives)
				bpl.runFor(8*clock.Second, 0.3)
				bpl.asked, bpl.served, bpl.falls = 0, 0, 0
				bpl.runFor(5*clock.Second, 0.7)
				calm := float64(bpl.served) / float64(bpl.asked)
				before := bpl.served
				bpl.runFor(3*clock.Second, 1.5)
				usage := float64(bpl.served-before) * float64(runTime) / float64(3*clock.Second) / float64(tst.endpoints*slotsEach)
				falls := []int{bpl.falls}
				coordinator := bpl.Find(bpl.Random().List().Owners("pool")[0])
				bpl.SetPartitioned(coordinator, true)
				bpl.runFor(6*clock.Second, 0.7)
				falls = append(falls, bpl.falls)
				bpl.SetPartitioned(coordinator, false)
				bpl.Restart(func(i int) bool { return i%10 < 3 })
				bpl.runFor(5*clock.Second, 0.7)
				falls = append(falls, bpl.falls)
				bpl.RestartAll()
				bpl.runFor(5*clock.Second, 0.7)
				t.Logf("%d of %d served, %.2f at ease; %.2f of the room used in overload; falls after each part: %v", bpl.served, bpl.asked, calm, usage, append(falls, bpl.falls))
				gom.Expect(bpl.falls).To(gomega.BeNumerically("<=", 2+tst.endpoints/10))
			})
		}
	}
}
