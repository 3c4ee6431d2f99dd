package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/pace"
)

// Parameters of simulated endpoints whose machines are shared.
const (
	simSlots   = 6
	simWorkMs  = 200.0
	simTarget  = 600
	simSlowBy  = 2.5
	simSlowMs  = 600
	simSlowPer = 0.15
)

// simJob is a request at a simulated endpoint.
type simJob struct {
	instance int
	endpoint int
	came     clock.Milli
	sent     clock.Milli
	work     float64
}

// simEndpoint runs up to simSlots requests at once and queues the others.
type simEndpoint struct {
	speed     float64
	slowUntil clock.Milli
	jobs      []*simJob
}

// simResult has what callers get.
type simResult struct {
	p50, p95, p99 float64
	onTime        float64
}

func (res simResult) String() string {
	return fmt.Sprintf("p50 %.0f p95 %.0f p99 %.0f on time %.2f%%", res.p50, res.p95, res.p99, 100*res.onTime)
}

// simulate runs a minute of random arrivals at a number of instances. load is the part of the endpoints'
// capacity in use, without slow periods.
func simulate(seed uint64, instances, endpts int, load float64, policy Baseline) simResult {
	// Arrivals and slow periods are the same for all policies.
	arrivals, slowness, noise := rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8)), rand.New(rand.NewPCG(seed, 9))
	eps := make([]*simEndpoint, endpts)
	speeds := []float64{0.7, 0.7, 1.7}
	capacity := 0.0
	for i := range eps {
		eps[i] = &simEndpoint{speed: speeds[i%len(speeds)]}
		capacity += eps[i].speed * simSlots / simWorkMs
	}
	pools := make([]*Pool, instances)
	for i := range pools {
		pools[i] = New("dc1", rand.New(rand.NewPCG(seed, uint64(i))))
		pools[i].UseBaseline(policy)
		pools[i].Sync(endpoints(endpts))
	}
	var waiting []*simJob
	var took []clock.Milli
	onTime, next := 0, 0.0
	startSlow := simSlowPer / (1 - simSlowPer) / simSlowMs
	const warmUp, end = 5_000, 65_000
	for now := clock.Milli(1); now < end; now++ {
		for ; next < float64(now); next += arrivals.ExpFloat64() / (load * capacity) {
			waiting = append(waiting, &simJob{instance: arrivals.IntN(instances), came: now, work: simWorkMs * (0.5 + arrivals.Float64())})
		}
		waiting = slices.DeleteFunc(waiting, func(job *simJob) bool {
			ep, ok := pools[job.instance].Pick(Ask{}, now)
			if ok {
				_, _ = fmt.Sscanf(ep.ID, "e%d", &job.endpoint)
				job.sent = now
				eps[job.endpoint].jobs = append(eps[job.endpoint].jobs, job)
			}
			return ok
		})
		for id, ep := range eps {
			if now >= ep.slowUntil && slowness.Float64() < startSlow {
				ep.slowUntil = now + simSlowMs
			}
			speed, figure := ep.speed, 100.0
			if now < ep.slowUntil {
				speed, figure = speed/simSlowBy, 100*simSlowBy
			}
			for _, job := range ep.jobs[:min(len(ep.jobs), simSlots)] {
				job.work -= speed
			}
			ep.jobs = slices.DeleteFunc(ep.jobs, func(job *simJob) bool {
				if job.work > 0 {
					return false
				}
				pl, name := pools[job.instance], fmt.Sprintf("e%d", id)
				pl.ReportPace(name, pace.Figure{Percent: int(figure * (0.9 + 0.2*noise.Float64())), At: now})
				pl.Finish(name, Success, now-job.sent, now)
				if job.came > warmUp {
					took = append(took, now-job.came)
					if now-job.came <= simTarget {
						onTime++
					}
				}
				return true
			})
		}
	}
	slices.Sort(took)
	at := func(q float64) float64 { return float64(took[int(q*float64(len(took)-1))]) }
	return simResult{p50: at(0.5), p95: at(0.95), p99: at(0.99), onTime: float64(onTime) / float64(len(took))}
}

// compare returns the means with and without the reported pace, and for how many seeds more requests were on
// time with it.
func compare(seeds uint64, instances, endpts int, load float64) (without, with simResult, better int) {
	for seed := range seeds {
		one, oth := simulate(seed, instances, endpts, load, NoPace), simulate(seed, instances, endpts, load, Full)
		without.add(one, seeds)
		with.add(oth, seeds)
		if oth.onTime > one.onTime {
			better++
		}
	}
	return without, with, better
}

// add adds the share of one of several results.
func (res *simResult) add(oth simResult, count uint64) {
	res.p50 += oth.p50 / float64(count)
	res.p95 += oth.p95 / float64(count)
	res.p99 += oth.p99 / float64(count)
	res.onTime += oth.onTime / float64(count)
}

// TestPaceUnderLoad guards against a use of the reported pace that serves callers worse: four endpoints of
// uneven speed, of which 15 in 100 are slow at any moment, at seven tenths of their capacity.
func TestPaceUnderLoad(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, instances := range []int{8, 66, 195} {
		without, with, better := compare(12, instances, 4, 0.7)
		t.Logf("%d instances: without %v; with %v; better in %d of 12", instances, without, with, better)
		gom.Expect(with.onTime).To(gomega.BeNumerically(">", without.onTime), "%d instances", instances)
	}
}

// TestPaceByLoad measures what callers get with and without the reported pace at further loads and sizes.
func TestPaceByLoad(t *testing.T) {
	golden.SkipUnlessMeasuring(t)
	for _, endpts := range []int{4, 24} {
		for _, load := range []float64{0.3, 0.5, 0.7, 0.8} {
			for _, instances := range []int{8, 66, 195} {
				without, with, better := compare(10, instances, endpts, load)
				t.Logf("%2d endpoints, load %.1f, %3d instances: without %v; with %v; better in %d of 10", endpts, load, instances, without, with, better)
			}
		}
	}
}

// TestNoPaceChangesNothing guards against any influence on endpoints that report no pace: their costs and
// the endpoints chosen are those of a pool that disregards it, to the last bit.
func TestNoPaceChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		both := [2]*Pool{}
		for i, policy := range []Baseline{Full, NoPace} {
			both[i] = New("dc1", rand.New(rand.NewPCG(seed, 1)))
			both[i].UseBaseline(policy)
			both[i].Sync(endpoints(5))
		}
		now := clock.Milli(1000)
		var busy []string
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 900).Draw(t, "passes"))
			if len(busy) > 0 && rapid.Bool().Draw(t, "finish") {
				out := Outcome(rapid.IntRange(int(Success), int(Cancelled)).Draw(t, "outcome"))
				took := clock.Milli(rapid.IntRange(0, 5000).Draw(t, "took"))
				invalid := rapid.SampledFrom([]int{-1, 0, 9, 10_001}).Draw(t, "invalid")
				for _, pl := range both {
					pl.ReportPace(busy[0], pace.Figure{Percent: invalid, At: now})
					pl.Finish(busy[0], out, took, now)
				}
				busy = busy[1:]
				continue
			}
			ep, ok := both[0].Pick(Ask{}, now)
			oth, also := both[1].Pick(Ask{}, now)
			if ep != oth || ok != also {
				t.Fatalf("%v %v chosen, not %v %v", ep, ok, oth, also)
			}
			if ok {
				busy = append(busy, ep.ID)
			}
			for i, pr := range both[0].peers {
				without := both[1].peers[i]
				plain := (float64(pr.inFlight) + 1) * max(pr.latency, 1)
				if cost := both[0].cost(pr, Ask{}, now); cost != both[1].cost(without, Ask{}, now) || cost != plain || pr.usual != pr.latency {
					t.Fatalf("%s costs %v, and %v without regard to the pace", pr.ep.ID, cost, plain)
				}
			}
		}
	})
}

// TestPaceIsCountedOnce guards against slowness that is counted both by latencies and by the pace: an endpoint
// that always takes 2.5 times as long, and says so, costs 2.5 times as much.
func TestPaceIsCountedOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	pl := pool(2)
	for i := range clock.Milli(50) {
		for id, factor := range map[string]clock.Milli{"e0": 100, "e1": 250} {
			_, ok := pl.Begin(id)
			gom.Expect(ok).To(gomega.BeTrue())
			pl.ReportPace(id, pace.Figure{Percent: int(factor), At: 100 * i})
			pl.Finish(id, Success, factor, 100*i)
		}
	}
	now := 49 * 100 * clock.Milli(1)
	gom.Expect(pl.cost(pl.byID["e1"], Ask{}, now)).To(gomega.BeNumerically("~", 2.5*pl.cost(pl.byID["e0"], Ask{}, now), 1e-6))
	// A late figure of another time doesn't replace it.
	pl.ReportPace("e1", pace.Figure{Percent: 100, At: now - 1})
	gom.Expect(pl.cost(pl.byID["e1"], Ask{}, now)).To(gomega.BeNumerically("~", 250, 1e-6))
}
