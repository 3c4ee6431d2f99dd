package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/golden"
	"amaranthvalve/internal/model"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/pace"
)

// informed is which figures of the engines' pace reach the placers.
type informed int

const (
	// byNone: no figures.
	byNone informed = iota
	// byOwn: those of answers to the coordinator's own callers.
	byOwn
	// byAll: those in the reports of all instances too.
	byAll
)

// sharedFleet simulates engines whose machines are shared: 15 of 100 are 2.5 times as slow at any moment, for
// 600 ms at a time.
type sharedFleet struct {
	instances int
	// alone is set if each instance places by its own records, without a coordinator.
	alone bool
	// perSecond is the number of requests a second.
	perSecond float64
	informed  informed
}

// simResult has what callers get: percentiles of the time to the first event, and the share of requests
// whose first event and pauses were within their limits.
type simResult struct {
	p50, p95, p99 float64
	onTime        float64
}

func (res simResult) String() string {
	return fmt.Sprintf("p50 %.0f p95 %.0f p99 %.0f on time %.2f%%", res.p50, res.p95, res.p99, 100*res.onTime)
}

// add adds the share of one of several results.
func (res *simResult) add(oth simResult, count uint64) {
	res.p50 += oth.p50 / float64(count)
	res.p95 += oth.p95 / float64(count)
	res.p99 += oth.p99 / float64(count)
	res.onTime += oth.onTime / float64(count)
}

const (
	sharedEngines = 18
	slowBy        = 2.5
	slowMs        = 600
	slowShare     = 0.15
	// reportLag is the time from an answer at one instance to the arrival of its report at another.
	reportLag = 6
)

// message is a report on its way to the coordinator.
type message struct {
	at      float64
	deliver func(now clock.Milli)
}

// play simulates a minute.
func (shf sharedFleet) play(seed uint64) simResult {
	flt := &fleet{rnd: rand.New(rand.NewPCG(seed, 4))}
	slowness, noise := rand.New(rand.NewPCG(seed, 5)), rand.New(rand.NewPCG(seed, 6))
	speeds := []float64{0.7, 0.7, 1.7}
	slowUntil := make([]float64, sharedEngines)
	placers := []*Placer{newPlacer(sharedEngines)}
	for shf.alone && len(placers) < shf.instances {
		placers = append(placers, newPlacer(sharedEngines))
	}
	type request struct {
		sent
		instance int
		plc      *Placer
	}
	under := map[string]request{}
	var pending []message
	var firsts []float64
	onTime, now := 0, 0.0
	send := func(req request, at float64, deliver func(clock.Milli)) {
		if req.instance > 0 && !shf.alone {
			at += reportLag
		}
		pending = append(pending, message{at: at, deliver: deliver})
	}
	figure := func(i int) int {
		val := 90 + 20*noise.Float64()
		if now < slowUntil[i] {
			val *= slowBy
		}
		return int(val)
	}
	for i := range sharedEngines {
		eng := model.NewEngine(model.Dense())
		eng.OnFirst = func(ans model.Timing) {
			req, percent := under[ans.ID], figure(i)
			send(req, ans.FirstEvent, func(at clock.Milli) {
				if shf.informed == byAll || shf.informed == byOwn && req.instance == 0 {
					req.plc.ReportPace(fmt.Sprintf("e%d", i), pace.Figure{Percent: percent, At: clock.Milli(ans.FirstEvent)})
				}
				req.plc.FirstEvent(ans.ID, clock.Milli(ans.FirstEvent-req.at), at)
			})
		}
		eng.OnDone = func(ans model.Timing) {
			req := under[ans.ID]
			delete(under, ans.ID)
			send(req, ans.LastEvent, func(at clock.Milli) { req.plc.End(ans.ID, Succeeded, clock.Milli(ans.MaxGap), at) })
			target := float64(shortTarget)
			if req.page {
				target = pageTarget
			}
			firsts = append(firsts, ans.FirstEvent-req.at)
			if ans.FirstEvent-req.at <= target && ans.MaxGap <= maxGap {
				onTime++
			}
		}
		flt.engines = append(flt.engines, eng)
	}
	deliver := func() {
		slices.SortStableFunc(pending, func(x, y message) int { return int(clock.Milli(x.at) - clock.Milli(y.at)) })
		n := 0
		for n < len(pending) && pending[n].at <= now {
			pending[n].deliver(clock.Milli(pending[n].at))
			n++
		}
		pending = slices.Delete(pending, 0, n)
	}
	const tick = 2.0
	next := 0.0
	for n := 0; now < 60000; now += tick {
		for i, eng := range flt.engines {
			if now >= slowUntil[i] && slowness.Float64() < tick*slowShare/(1-slowShare)/slowMs {
				slowUntil[i] = now + slowMs
			}
			factor := 1 / speeds[i%len(speeds)]
			if now < slowUntil[i] {
				factor *= slowBy
			}
			eng.SetSlowFactor(factor)
			eng.Run(now)
		}
		deliver()
		for ; next <= now; next += flt.rnd.ExpFloat64() * 1000 / shf.perSecond {
			isPage := flt.rnd.IntN(6) == 0
			prm, out := flt.question(), 250+flt.rnd.IntN(100)
			if isPage {
				prm, out = flt.page(), 380
			}
			n++
			ticket, instance := fmt.Sprint(n), flt.rnd.IntN(shf.instances)
			plc := placers[instance%len(placers)]
			under[ticket] = request{sent: sent{at: now, page: isPage}, instance: instance, plc: plc}
			req := model.Request{ID: ticket, InTokens: prm.InTokens, OutTokens: out}
			for _, prt := range prm.shared() {
				req.Parts, req.Sizes = append(req.Parts, prt.ID), append(req.Sizes, prt.Tokens)
			}
			plm := pick(plc, ticket, Ask{Prompt: prm, Salt: ticket, MaxGap: maxGap}, clock.Milli(now))
			flt.engines[index(plm)].Add(req, now)
		}
	}
	for _, eng := range flt.engines {
		eng.Run(1e6)
	}
	slices.Sort(firsts)
	at := func(q float64) float64 { return firsts[int(q*float64(len(firsts)-1))] }
	return simResult{p50: at(0.5), p95: at(0.95), p99: at(0.99), onTime: float64(onTime) / float64(len(firsts))}
}

// compare returns the mean results by which figures reach the placers, and for how many seeds more requests
// were on time with all of them than with none.
func (shf sharedFleet) compare(seeds uint64, arms ...informed) (mean [byAll + 1]simResult, better int) {
	for seed := range seeds {
		var res [byAll + 1]simResult
		for _, inf := range arms {
			shf.informed = inf
			res[inf] = shf.play(seed)
			mean[inf].add(res[inf], seeds)
		}
		if res[byAll].onTime > res[byNone].onTime {
			better++
		}
	}
	return mean, better
}

// TestPaceUnderLoad guards against a use of the reported pace that serves callers worse: engines of uneven
// speed, of which 15 in 100 are slow at any moment.
func TestPaceUnderLoad(t *testing.T) {
	gom := gomega.NewWithT(t)
	without, with := 0.0, 0.0
	for _, instances := range []int{8, 66, 195} {
		mean, better := sharedFleet{instances: instances, perSecond: 60}.compare(3, byNone, byAll)
		t.Logf("%d instances: without: %v; with all: %v; better in %d of 3", instances, mean[byNone], mean[byAll], better)
		without, with = without+mean[byNone].onTime, with+mean[byAll].onTime
	}
	gom.Expect(with).To(gomega.BeNumerically(">", without))
}

// TestPaceByLoad measures what callers get with and without the reported pace at further loads, with a
// coordinator and with instances that place by their own records.
func TestPaceByLoad(t *testing.T) {
	golden.SkipUnlessMeasuring(t)
	for _, alone := range []bool{false, true} {
		for _, perSecond := range []float64{30, 60, 90, 120} {
			for _, instances := range []int{8, 66, 195} {
				t.Run(fmt.Sprintf("alone=%v/perSecond=%.0f/instances=%d", alone, perSecond, instances), func(t *testing.T) {
					mean, better := sharedFleet{instances: instances, alone: alone, perSecond: perSecond}.compare(10, byNone, byOwn, byAll)
					t.Logf("without: %v; with own: %v; with all: %v; better in %d of 10", mean[byNone], mean[byOwn], mean[byAll], better)
				})
			}
		}
	}
}

// TestNoPaceChangesNothing guards against any influence on engines that report no pace: their costs and
// expected times are those without figures, to the last bit.
func TestNoPaceChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plc := newPlacer(4)
		now := clock.Milli(1000)
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 300).Draw(t, "passes"))
			ticket := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "ticket"))
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "id"))
			plc.ReportPace(id, pace.Figure{Percent: rapid.SampledFrom([]int{-1, 0, 9, 10_001}).Draw(t, "invalid"), At: now})
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				plc.FirstEvent(ticket, clock.Milli(rapid.IntRange(1, 3000).Draw(t, "took")), now)
			case 1:
				plc.End(ticket, Succeeded, clock.Milli(rapid.IntRange(1, 400).Draw(t, "pause")), now)
			default:
				pick(plc, fmt.Sprint(n), Ask{Prompt: prompt(ticket), Salt: ticket, MaxGap: 200}, now)
			}
			for _, eng := range plc.list {
				read := eng.slow.current(now) * plc.firstEvent.at(900, defaultFixedMs+defaultMsPerToken*900)
				disrupts := plc.pauses.at(4400, 0)*eng.slow.current(now) > pauseMargin*200
				if plc.readTime(eng, 900, now) != read || eng.queueTime(now) != unscaledQueueTime(eng, now) || plc.disrupts(eng, prompt("a"), 200, now) != disrupts {
					t.Fatalf("%s: the expected times differ from those without figures", eng.ID)
				}
			}
		}
	})
}

// unscaledQueueTime is [engine.queueTime] without regard to the pace.
func unscaledQueueTime(eng *engine, now clock.Milli) (sum float64) {
	first := true
	for _, rn := range eng.runs {
		if rn.streaming {
			continue
		}
		if first {
			since := float64(now - eng.headSince)
			sum, first = max(rn.readMs-since, since-rn.readMs), false
			continue
		}
		sum += rn.readMs
	}
	return sum
}

// TestPaceIsCountedOnce guards against slowness that is counted both by the times of first events and by the
// pace.
func TestPaceIsCountedOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(2)
	now := clock.Milli(0)
	for n := range 60 {
		for id, percent := range map[string]int{"e0": 100, "e1": 250} {
			ticket := fmt.Sprint(id, n)
			now += 1000
			plc.Begin(id, ticket, Prompt{InTokens: 900, MaxOutTokens: 10}, 0, now-clock.Milli(percent))
			plc.ReportPace(id, pace.Figure{Percent: percent, At: now})
			plc.FirstEvent(ticket, clock.Milli(percent), now)
			plc.End(ticket, Succeeded, 0, now)
		}
	}
	for id, percent := range map[string]int{"e0": 100, "e1": 250} {
		plc.ReportPace(id, pace.Figure{Percent: percent, At: now})
	}
	gom.Expect(plc.readTime(plc.byID["e1"], 900, now)).To(gomega.BeNumerically("~", 2.5*plc.readTime(plc.byID["e0"], 900, now), 5))
	// A prompt that waits at the slow engine is expected to take as long as one that is sent.
	plc.Begin("e1", "waits", Prompt{InTokens: 900, MaxOutTokens: 10}, 0, now)
	gom.Expect(plc.byID["e1"].queueTime(now)).To(gomega.BeNumerically("~", plc.readTime(plc.byID["e1"], 900, now), 1e-6))
	// A late figure of another time doesn't replace it.
	before := plc.readTime(plc.byID["e1"], 900, now)
	plc.ReportPace("e1", pace.Figure{Percent: 100, At: now - 1})
	gom.Expect(plc.readTime(plc.byID["e1"], 900, now)).To(gomega.Equal(before))
}

// TestPaceScalesPauses guards against a long prompt beside streams at an engine that is slow at the moment, where
// their pauses exceed the maximum gap.
func TestPaceScalesPauses(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(2)
	plc.pauses.sample(4400, 100)
	eng := plc.byID["e0"]
	gom.Expect(plc.disrupts(eng, prompt("a"), 200, 5000)).To(gomega.BeFalse())
	plc.ReportPace("e0", pace.Figure{Percent: 250, At: 5000})
	gom.Expect(plc.disrupts(eng, prompt("a"), 200, 5000)).To(gomega.BeTrue())
	gom.Expect(plc.disrupts(eng, prompt("a"), 200, 6000)).To(gomega.BeFalse())
}
