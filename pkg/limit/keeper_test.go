package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/rumor"
)

const (
	step     = 10 * clock.Milli(1)
	tick     = 100 * clock.Milli(1)
	window   = 4 * clock.Second
	endpoint = "engine"
	// silentFor is how long an instance that gave no answer is passed over.
	silentFor = 2 * clock.Second
)

// inst is an instance that sends requests to one endpoint, within the rate that it names.
type inst struct {
	who    ident.Incarnation
	list   *member.List
	spread rumor.Spread
	rates  limit.Rates
	silent map[ident.Incarnation]clock.Milli
	term   clock.Milli
	keeps  bool
	cut    bool
	// calm is since when nothing was done to it.
	calm clock.Milli
	// told is when the endpoint named the rate to it, zero if it didn't.
	told clock.Milli
}

// arrival is a request that came to the endpoint.
type arrival struct {
	at clock.Milli
	by *inst
	// counts tells that its sender was told before and nothing was done to it.
	counts bool
}

// fleet is instances in fake time, over links that lose messages.
type fleet struct {
	rng      *rand.Rand
	now      clock.Milli
	rate     float64
	within   clock.Milli
	insts    []*inst
	byWho    map[ident.Incarnation]*inst
	arrivals []arrival
}

func (flt *fleet) start(i int, boot string) *inst {
	who := ident.Incarnation(fmt.Sprintf("10.0.%d.%d:1#%s", i/250, i%250, boot))
	ins := &inst{who: who, list: member.New(who, "dc1", "", flt.now), silent: map[ident.Incarnation]clock.Milli{}, calm: flt.now}
	ins.spread.Bound(rumor.NamedRate, rumor.Bounds{Keep: clock.Hour, Most: 100})
	flt.byWho[who] = ins
	return ins
}

func newFleet(count int, rate float64, within clock.Milli) *fleet {
	flt := &fleet{rng: rand.New(rand.NewPCG(uint64(count), 1)), rate: rate, within: within, byWho: map[ident.Incarnation]*inst{}, now: clock.Hour}
	for i := range count {
		flt.insts = append(flt.insts, flt.start(i, "a"))
	}
	flt.acquaint()
	return flt
}

func (flt *fleet) acquaint() {
	for _, ins := range flt.insts {
		for _, oth := range flt.insts {
			ins.list.Learn([]member.News{{Who: oth.who, Zone: "dc1", Seq: 1}}, flt.now)
		}
	}
}

func (flt *fleet) reaches(from, to *inst) bool {
	return to != nil && slices.Contains(flt.insts, to) && !from.cut && !to.cut && flt.rng.Float64() >= 0.02
}

// run lets a span pass, with so many requests a step.
func (flt *fleet) run(span clock.Milli, requests float64) {
	for end := flt.now + span; flt.now < end; flt.now += step {
		for _, ins := range flt.insts {
			for _, part := range ins.spread.Flush() {
				for _, who := range ins.list.Neighbours() {
					if oth := flt.byWho[who]; flt.reaches(ins, oth) {
						oth.spread.Told(part, oth.list.IsMesh(), flt.now)
					}
				}
			}
		}
		if flt.now%tick == 0 {
			for _, ins := range flt.insts {
				for _, act := range ins.list.Tick(flt.now) {
					flt.probe(ins, flt.byWho[act.Target], act.Target)
				}
			}
		}
		for left := requests; left > flt.rng.Float64(); left-- {
			flt.ask(flt.insts[flt.rng.IntN(len(flt.insts))])
		}
	}
}

func (flt *fleet) probe(ins, oth *inst, who ident.Incarnation) {
	if !flt.reaches(ins, oth) {
		if oth != nil && !slices.Contains(flt.insts, oth) {
			ins.list.Drop(who, flt.now)
		}
		return
	}
	oth.list.Learn(ins.list.Gossip(oth.who), flt.now)
	ins.list.Learn(oth.list.Gossip(ins.who), flt.now)
	ins.list.Ack(oth.who, flt.now)
	ins.spread.Told(oth.spread.Missing(ins.spread.Digest(), flt.now), ins.list.IsMesh(), flt.now)
	oth.spread.Told(ins.spread.Missing(oth.spread.Digest(), flt.now), oth.list.IsMesh(), flt.now)
}

// keeper gives who keeps the rate, as far as an instance knows, and how many silent ones it
// passes over.
func (flt *fleet) keeper(ins *inst) (who ident.Incarnation, silent int) {
	for _, who := range ins.list.Homes("pool") {
		if who == ins.who || flt.now >= ins.silent[who] {
			return who, silent
		}
		silent++
	}
	return ins.who, silent
}

// grants tells whether an instance that is asked lets a request through.
func (flt *fleet) grants(ins *inst) bool {
	who, silent := flt.keeper(ins)
	if keeps := who == ins.who; keeps != ins.keeps {
		ins.keeps, ins.term = keeps, flt.now
	}
	share := limit.KeptShare(silent, flt.now-ins.term)
	if !ins.keeps || share == 0 {
		return false
	}
	ins.rates.Sync(map[string]float64{endpoint: flt.rate})
	if ins.rates.Wait(endpoint, flt.now) > 0 {
		return false
	}
	ins.rates.Take(endpoint, share, flt.now)
	return true
}

// ask has an instance send a request, if it may. One that knows of no rate sends it.
func (flt *fleet) ask(ins *inst) {
	if _, _, knows := ins.spread.Get(rumor.NamedRate, endpoint); knows {
		who, _ := flt.keeper(ins)
		oth := flt.byWho[who]
		if who != ins.who && !flt.reaches(ins, oth) {
			ins.silent[who] = flt.now + silentFor
			return
		}
		if !flt.grants(oth) {
			return
		}
	}
	counts := ins.told > 0 && flt.now-ins.told >= 500 && flt.now-ins.calm >= flt.within && !ins.cut
	flt.arrivals = append(flt.arrivals, arrival{at: flt.now, by: ins, counts: counts})
	if ins.told == 0 {
		ins.told = flt.now
	}
	if fct, ok := ins.spread.Set(rumor.NamedRate, endpoint, fmt.Sprint(flt.rate), flt.now); ok {
		ins.spread.Learned(fct)
	}
}

// most gives the most requests that count within the window, from an instant on, and the longest
// time without any request.
func (flt *fleet) most(from clock.Milli) (most int, idle clock.Milli) {
	var at []clock.Milli
	last := from
	for _, arr := range flt.arrivals {
		if arr.at < from {
			continue
		}
		idle, last = max(idle, arr.at-last), arr.at
		if arr.counts {
			at = append(at, arr.at)
		}
	}
	idle = max(idle, flt.now-last)
	for i := range at {
		count := 0
		for ; i+count < len(at) && at[i+count]-at[i] < window; count++ {
			continue
		}
		most = max(most, count)
	}
	return most, idle
}

// Guards against a rate that isn't kept to, or whose endpoint stands idle, in systems of each
// size: while the keeper is cut off, instances start anew, and after all have ended at once.
func TestKeptAtSize(t *testing.T) {
	for _, size := range []struct {
		instances int
		within    clock.Milli
	}{{8, 3 * clock.Second}, {66, 3 * clock.Second}, {195, 5 * clock.Second}} {
		for _, rate := range []float64{1, 20} {
			t.Run(fmt.Sprintf("%d instances, %v a second", size.instances, rate), func(t *testing.T) {
				t.Parallel()
				gom := gomega.NewWithT(t)
				flt := newFleet(size.instances, rate, size.within)
				flt.run(2*clock.Second, 0)
				from := flt.now + size.within
				flt.run(12*clock.Second, 2)
				for round := range 4 {
					who, _ := flt.keeper(flt.insts[round])
					keeper := flt.byWho[who]
					keeper.cut = true
					flt.run(4*clock.Second, 2)
					keeper.cut, keeper.calm = false, flt.now
					flt.run(8*clock.Second, 2)
					for i := range flt.insts {
						if i%10 == round {
							flt.insts[i] = flt.start(i, fmt.Sprint("b", round))
							flt.insts[i].list.Learn(flt.insts[(i+1)%size.instances].list.Everybody(), flt.now)
						}
					}
					flt.run(10*clock.Second, 2)
				}
				most, idle := flt.most(from)
				t.Logf("most %d in 4 s, idle for %d ms", most, idle)
				gom.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.5*4*rate+5))
				gom.Expect(idle).To(gomega.BeNumerically("<", 7*clock.Second))

				for i := range flt.insts {
					flt.insts[i] = flt.start(i, "c")
				}
				flt.acquaint()
				from = flt.now + size.within
				flt.run(20*clock.Second, 2)
				most, idle = flt.most(from)
				t.Logf("after a loss of all: most %d in 4 s, idle for %d ms", most, idle)
				gom.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.5*4*rate+5))
				gom.Expect(idle).To(gomega.BeNumerically("<", 7*clock.Second))
			})
		}
	}
}
