package limit_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/rumor"
)

const (
	window   = 4 * clock.Second
	endpoint = "engine"
	// silentFor is how long an instance that gave no answer is passed over.
	silentFor = 2 * clock.Second
)

// sender is an instance that sends requests to one endpoint, within the rate that it names.
type sender struct {
	*fleet.Instance
	rates  limit.Rates
	silent map[ident.Incarnation]clock.Milli
	term   clock.Milli
	keeps  bool
	// told is when the endpoint named the rate to it, zero if it didn't.
	told clock.Milli
}

// arrival is a request that came to the endpoint.
type arrival struct {
	at clock.Milli
	// counts tells that its sender was told before and nothing was done to it.
	counts bool
}

// senders is a fleet that sends requests to one endpoint.
type senders struct {
	*fleet.Fleet
	rate     float64
	within   clock.Milli
	of       map[*fleet.Instance]*sender
	arrivals []arrival
}

func newSenders(count int, rate float64, within clock.Milli) *senders {
	sds := &senders{rate: rate, within: within, of: map[*fleet.Instance]*sender{}}
	sds.Fleet = fleet.New(fleet.Setup{Count: count, Lost: 0.02, Seed: uint64(count), Begin: func(ins *fleet.Instance) {
		ins.Spread().Bound(rumor.NamedRate, rumor.Bounds{Keep: clock.Hour, Most: 100})
		sds.of[ins] = &sender{Instance: ins, silent: map[ident.Incarnation]clock.Milli{}}
	}})
	return sds
}

// load lets a span pass, with a request each step.
func (sds *senders) load(span clock.Milli) {
	sds.Run(span, func() { sds.ask(sds.of[sds.Any()]) })
}

// keeper gives who keeps the rate, as far as an instance knows, and how many silent ones it
// passes over.
func (sds *senders) keeper(sdr *sender) (who ident.Incarnation, silent int) {
	for _, who := range sdr.List().Homes("pool") {
		if who == sdr.Who() || sds.Now() >= sdr.silent[who] {
			return who, silent
		}
		silent++
	}
	return sdr.Who(), silent
}

// grants tells whether an instance that is asked lets a request through.
func (sds *senders) grants(sdr *sender) bool {
	who, silent := sds.keeper(sdr)
	if keeps := who == sdr.Who(); keeps != sdr.keeps {
		sdr.keeps, sdr.term = keeps, sds.Now()
	}
	share := limit.KeptShare(silent, sds.Now()-sdr.term)
	if !sdr.keeps || share == 0 {
		return false
	}
	sdr.rates.Sync(map[string]float64{endpoint: sds.rate})
	if sdr.rates.Wait(endpoint, sds.Now()) > 0 {
		return false
	}
	sdr.rates.Take(endpoint, share, sds.Now())
	return true
}

// ask has an instance send a request, if it may. One that knows of no rate sends it.
func (sds *senders) ask(sdr *sender) {
	if _, _, knows := sdr.Spread().Get(rumor.NamedRate, endpoint); knows {
		who, _ := sds.keeper(sdr)
		oth := sds.Find(who)
		if who != sdr.Who() && !sds.Reaches(sdr.Instance, oth) {
			sdr.silent[who] = sds.Now() + silentFor
			return
		}
		if !sds.grants(sds.of[oth]) {
			return
		}
	}
	counts := sdr.told > 0 && sds.Now()-sdr.told >= 500 && sds.IsCalm(sdr.Instance, sds.within)
	sds.arrivals = append(sds.arrivals, arrival{at: sds.Now(), counts: counts})
	if sdr.told == 0 {
		sdr.told = sds.Now()
	}
	if fct, ok := sdr.Spread().Set(rumor.NamedRate, endpoint, fmt.Sprint(sds.rate), sds.Now()); ok {
		sdr.Spread().Learned(fct)
	}
}

// most gives the most requests that count within the window, from an instant on, and the longest
// time without any request.
func (sds *senders) most(from clock.Milli) (most int, idle clock.Milli) {
	var at []clock.Milli
	last := from
	for _, arr := range sds.arrivals {
		if arr.at < from {
			continue
		}
		idle, last = max(idle, arr.at-last), arr.at
		if arr.counts {
			at = append(at, arr.at)
		}
	}
	idle = max(idle, sds.Now()-last)
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
				sds := newSenders(size.instances, rate, size.within)
				sds.Run(2*clock.Second, nil)
				from := sds.Now() + size.within
				sds.load(12 * clock.Second)
				for round := range 4 {
					who, _ := sds.keeper(sds.of[sds.Instances()[round]])
					keeper := sds.Find(who)
					sds.Cut(keeper, true)
					sds.load(4 * clock.Second)
					sds.Cut(keeper, false)
					sds.load(8 * clock.Second)
					sds.Restart(func(i int) bool { return i%10 == round })
					sds.load(10 * clock.Second)
				}
				most, idle := sds.most(from)
				t.Logf("most %d in 4 s, idle for %d ms", most, idle)
				gom.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.5*4*rate+5))
				gom.Expect(idle).To(gomega.BeNumerically("<", 7*clock.Second))

				sds.RestartAll()
				from = sds.Now() + size.within
				sds.load(20 * clock.Second)
				most, idle = sds.most(from)
				t.Logf("after a loss of all: most %d in 4 s, idle for %d ms", most, idle)
				gom.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.5*4*rate+5))
				gom.Expect(idle).To(gomega.BeNumerically("<", 7*clock.Second))
			})
		}
	}
}
