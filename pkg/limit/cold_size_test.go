package limit_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/cold"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
)

const (
	coldSpan  = 3 * clock.Second
	coldNames = 4
	// coldOver and coldSlack are the users' bound: in no second may a cold endpoint get more than
	// its rate times coldOver and coldSlack requests.
	coldOver, coldSlack = 1.5, 5
	// listWithin is the longest time from the start of an endpoint until an instance lists it.
	listWithin = 700
)

// coldSender is an instance that sends requests to endpoints that may be cold.
type coldSender struct {
	*fleet.Instance
	book         cold.Tracker
	rates        limit.Rates
	unresponsive map[ident.Incarnation]clock.Milli
	// first is set while the instance is the first coordinator, since term.
	term  clock.Milli
	first bool
	// owners is the ranking of the coordinators as of rankedAt.
	owners   []ident.Incarnation
	rankedAt clock.Milli
	// listsAt is when the instance reads the list of the generation run next, listed the one that it
	// has; zero for none.
	listsAt clock.Milli
	listed  int
}

// coldFleet is a fleet whose instances send requests to endpoints of one data centre, which become
// cold together.
type coldFleet struct {
	*fleet.Fleet
	rng      *rand.Rand
	rate     float64
	of       map[*fleet.Instance]*coldSender
	run      int
	began    clock.Milli
	arrivals map[string][]clock.Milli
	// gone are the instances that are partitioned. They have callers of their own.
	gone []*fleet.Instance
}

func newColdFleet(count int, rate float64, seed uint64) *coldFleet {
	cfl := &coldFleet{rate: rate, rng: rand.New(rand.NewPCG(seed, 2)), of: map[*fleet.Instance]*coldSender{}, arrivals: map[string][]clock.Milli{}, run: 1}
	cfl.Fleet = fleet.New(fleet.Setup{Count: count, LossRate: 0.02, Seed: seed, OnStart: func(ins *fleet.Instance) {
		ins.Spread().Bound(gossip.Cold, gossip.Bounds{Retention: clock.Minute, MaxFacts: 1000})
		sdr := &coldSender{Instance: ins, unresponsive: map[ident.Incarnation]clock.Milli{}}
		cfl.of[ins] = sdr
		if cfl.Fleet != nil {
			sdr.listsAt = cfl.Now() + clock.Milli(cfl.rng.IntN(listWithin))
		}
	}})
	return cfl
}

// startAll replaces all endpoints by new runs, which are cold.
func (cfl *coldFleet) startAll() {
	cfl.run, cfl.began = cfl.run+1, cfl.Now()
	for _, ins := range cfl.Instances() {
		cfl.of[ins].listsAt = cfl.Now() + clock.Milli(cfl.rng.IntN(listWithin))
	}
}

func idOf(name, run int) string { return fmt.Sprintf("engine-%d@%d", name, run) }

// list has an instance read the list when it is time.
func (cfl *coldFleet) list(sdr *coldSender) {
	if sdr.listed == cfl.run || cfl.Now() < sdr.listsAt {
		return
	}
	var ids []string
	for i := range coldNames {
		ids = append(ids, idOf(i, cfl.run))
	}
	sdr.book.List(ids, cfl.Now())
	for _, id := range ids {
		sdr.book.Entry(id, cold.Entry{Left: max(cfl.began+coldSpan-cfl.Now(), 0)}, cfl.Now())
	}
	sdr.listed = cfl.run
}

// ends returns the endpoints that are cold in the view of an instance, and spreads what moved.
func (cfl *coldFleet) ends(sdr *coldSender) map[string]cold.End {
	var eps []cold.Endpoint
	for i := range coldNames {
		ep := cold.Endpoint{ID: idOf(i, sdr.listed), Span: coldSpan}
		if value, at, ok := sdr.Spread().Get(gossip.Cold, ep.ID); ok {
			left, _ := strconv.Atoi(value)
			ep.ToldUntil = at + clock.Milli(left)
		}
		eps = append(eps, ep)
	}
	ends := sdr.book.Ends(eps, cfl.Now())
	for _, ep := range eps {
		if left, ok := cold.ToSpread(ends[ep.ID].Until, ep.ToldUntil, cfl.Now()); ok {
			sdr.Spread().Enqueue(sdr.Spread().Refresh(gossip.Cold, ep.ID, fmt.Sprintf("%07d", left), cfl.Now()))
		}
	}
	return ends
}

// ranked returns the coordinators in the view of an instance.
func (cfl *coldFleet) ranked(sdr *coldSender) []ident.Incarnation {
	if sdr.owners == nil || cfl.Now()-sdr.rankedAt >= rankInterval {
		sdr.owners, sdr.rankedAt = sdr.List().Owners("pool"), cfl.Now()
	}
	return sdr.owners
}

func (cfl *coldFleet) coordinator(sdr *coldSender) (who ident.Incarnation, unresponsive int) {
	for _, who := range cfl.ranked(sdr) {
		if who == sdr.ID() || cfl.Now() >= sdr.unresponsive[who] {
			return who, unresponsive
		}
		unresponsive++
	}
	return sdr.ID(), unresponsive
}

// share returns the share of the rates that an instance may use.
func (cfl *coldFleet) share(sdr *coldSender) float64 {
	who, unresponsive := cfl.coordinator(sdr)
	if first := cfl.ranked(sdr)[0] == sdr.ID(); first != sdr.first || sdr.List().IsIsolated(cfl.Now()) {
		sdr.first, sdr.term = first, cfl.Now()
	}
	if who != sdr.ID() {
		return 0
	}
	return limit.ColdShare(unresponsive, cfl.Now()-sdr.term, sdr.List().IsMinority(cfl.Now()))
}

// grants reports whether an instance that is asked for a permit allows a request to an endpoint.
func (cfl *coldFleet) grants(sdr *coldSender, id string) bool {
	rates := map[string]float64{}
	for id := range cfl.ends(sdr) {
		rates[id] = cfl.rate
	}
	sdr.rates.Sync(rates)
	if !sdr.rates.Has(id) {
		return true
	}
	share := cfl.share(sdr)
	if share == 0 || sdr.rates.Wait(id, cfl.Now()) > 0 {
		return false
	}
	sdr.rates.Take(id, share, cfl.Now())
	return true
}

// ask sends a request to an endpoint from an instance, if its rate allows that.
func (cfl *coldFleet) ask(sdr *coldSender, name int) {
	cfl.list(sdr)
	if sdr.listed != cfl.run {
		return
	}
	id := idOf(name, cfl.run)
	if _, isCold := cfl.ends(sdr)[id]; isCold {
		who, _ := cfl.coordinator(sdr)
		oth := cfl.Find(who)
		if who != sdr.ID() && !cfl.Send(sdr.Instance, oth) {
			sdr.unresponsive[who] = cfl.Now() + unresponsiveFor
			return
		}
		owner := cfl.of[oth]
		cfl.list(owner)
		if owner.listed != cfl.run || !cfl.grants(owner, id) {
			return
		}
	}
	cfl.arrivals[id] = append(cfl.arrivals[id], cfl.Now())
}

// runLoaded runs the fleet for a time with many more requests than cold endpoints tolerate.
func (cfl *coldFleet) runLoaded(span clock.Milli) {
	cfl.Run(span, func() {
		for range 2 {
			cfl.ask(cfl.of[cfl.Random()], cfl.rng.IntN(coldNames))
		}
		// A coordinator also has callers of its own.
		who, _ := cfl.coordinator(cfl.of[cfl.Instances()[0]])
		if oth := cfl.Find(who); oth != nil {
			cfl.ask(cfl.of[oth], cfl.rng.IntN(coldNames))
			cfl.share(cfl.of[oth])
		}
		for _, ins := range cfl.gone {
			cfl.ask(cfl.of[ins], cfl.rng.IntN(coldNames))
		}
	})
}

// peak returns the largest number of requests that an endpoint of the present run got in a second
// while it was cold, and the number that all of them got in that time.
func (cfl *coldFleet) peak() (most, all int) {
	for i := range coldNames {
		list := cfl.arrivals[idOf(i, cfl.run)]
		for j := range list {
			if list[j] >= cfl.began+coldSpan {
				break
			}
			all++
			count := 0
			for ; j+count < len(list) && list[j+count] < min(list[j]+clock.Second, cfl.began+coldSpan); count++ {
				continue
			}
			most = max(most, count)
		}
	}
	return most, all
}

// partitionFirst partitions the first instances in the order of the coordinators.
func (cfl *coldFleet) partitionFirst(count int) {
	for _, who := range cfl.Instances()[0].List().Owners("pool")[:count] {
		cfl.gone = append(cfl.gone, cfl.Find(who))
		cfl.SetPartitioned(cfl.Find(who), true)
	}
}

// TestColdAtSize guards against more requests than cold endpoints tolerate, from all instances
// together, at each system size: all endpoints of a data centre become cold together while nothing
// else happens, at some time after the coordinator or several instances were partitioned, and while
// the coordinator and some other instances restart. The bound is that of the users: an endpoint
// crashes well above it.
func TestColdAtSize(t *testing.T) {
	type scenario struct {
		name string
		// before runs before the endpoints become cold, after when they are.
		before, after func(cfl *coldFleet)
		// least is the smallest share of what the endpoints tolerate that they get. The list has
		// them only after 700 ms, and a new coordinator uses half.
		least float64
	}
	list := []scenario{{name: "undisturbed", least: 0.6}}
	for _, before := range []clock.Milli{0, 500, 1500, 3000, 6000, 15_000} {
		list = append(list, scenario{name: fmt.Sprintf("coordinator partitioned %d ms before", before), before: func(cfl *coldFleet) {
			cfl.partitionFirst(1)
			cfl.runLoaded(before)
		}}, scenario{name: fmt.Sprintf("nearly half partitioned %d ms before", before), before: func(cfl *coldFleet) {
			cfl.partitionFirst((len(cfl.Instances()) - 1) / 2)
			cfl.runLoaded(before)
		}})
	}
	for _, after := range []clock.Milli{0, 400, 1200} {
		list = append(list, scenario{name: fmt.Sprintf("coordinator restarts %d ms after", after), least: 0.2, after: func(cfl *coldFleet) {
			cfl.runLoaded(after)
			coordinator := cfl.Find(cfl.Instances()[0].List().Owners("pool")[0])
			cfl.Restart(func(i int) bool { return cfl.Instances()[i] == coordinator || i%10 == 1 })
		}})
	}
	for _, count := range []int{8, 66, 195} {
		for i, scn := range list {
			t.Run(fmt.Sprintf("%d instances, %s", count, scn.name), func(t *testing.T) {
				t.Parallel()
				gom := gomega.NewWithT(t)
				rate := []float64{7.4, 9.9}[i%2]
				cfl := newColdFleet(count, rate, uint64(count+i))
				cfl.runLoaded(7 * clock.Second)
				if scn.before != nil {
					scn.before(cfl)
				}
				cfl.startAll()
				if scn.after != nil {
					scn.after(cfl)
				}
				cfl.runLoaded(5 * clock.Second)
				most, all := cfl.peak()
				t.Logf("at most %d requests in a second to one, %d in all", most, all)
				gom.Expect(float64(most)).To(gomega.BeNumerically("<=", coldOver*rate+coldSlack))
				gom.Expect(float64(all)).To(gomega.BeNumerically(">=", scn.least*rate*coldSpan.Seconds()*coldNames))
			})
		}
	}
}

// TestTwoCoordinatorsOfColdEndpoint guards against more requests than a cold endpoint tolerates in
// any second if the coordinator changes while the previous one goes on for up to five seconds, at
// any time of the cold period and for any load.
func TestTwoCoordinatorsOfColdEndpoint(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(rt)
		rate := rapid.SampledFrom([]float64{0.5, 3, 7.4, 9.9, 40}).Draw(rt, "rate")
		changes := clock.Milli(rapid.IntRange(0, 3000).Draw(rt, "changes"))
		pauses := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 20).Draw(rt, "pauses")
		var old, young limit.Rates
		old.Sync(map[string]float64{endpoint: rate})
		young.Sync(map[string]float64{endpoint: rate})
		var sent []clock.Milli
		for i, now := 0, clock.Milli(0); now < coldSpan; i, now = i+1, now+clock.Milli(pauses[i%len(pauses)])/100+1 {
			if old.Wait(endpoint, now) == 0 {
				old.Take(endpoint, 1, now)
				sent = append(sent, now)
			}
			if now >= changes && young.Wait(endpoint, now) == 0 {
				young.Take(endpoint, limit.ColdShare(0, now-changes, false), now)
				sent = append(sent, now)
			}
		}
		for i := range sent {
			count := 0
			for ; i+count < len(sent) && sent[i+count]-sent[i] < clock.Second; count++ {
				continue
			}
			gom.Expect(float64(count)).To(gomega.BeNumerically("<=", coldOver*rate+coldSlack))
		}
	})
}
