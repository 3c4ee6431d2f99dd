package limit_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
)

const (
	window   = 4 * clock.Second
	endpoint = "engine"
	// unresponsiveFor is the time for which an instance that didn't answer is passed over.
	unresponsiveFor = 2 * clock.Second
)

// sender is an instance that sends requests to one endpoint within the declared rate.
type sender struct {
	*fleet.Instance
	rates        limit.Rates
	unresponsive map[ident.Incarnation]clock.Milli
	// term is the time at which the instance last became or ceased to be coordinator.
	term        clock.Milli
	coordinates bool
	// learned is the time at which the sender first got the rate from the endpoint, zero if it
	// didn't.
	learned clock.Milli
}

// arrival is a request that reached the endpoint.
type arrival struct {
	at clock.Milli
	// counts is set if the sender knew the rate and was neither partitioned nor restarted.
	counts bool
}

// senders is a fleet whose instances send requests to one endpoint.
type senders struct {
	*fleet.Fleet
	rate     float64
	within   clock.Milli
	of       map[*fleet.Instance]*sender
	arrivals []arrival
}

func newSenders(count int, rate float64, within clock.Milli) *senders {
	sds := &senders{rate: rate, within: within, of: map[*fleet.Instance]*sender{}}
	sds.Fleet = fleet.New(fleet.Setup{Count: count, LossRate: 0.02, Seed: uint64(count), OnStart: func(ins *fleet.Instance) {
		ins.Spread().Bound(gossip.DeclaredRate, gossip.Bounds{Retention: clock.Hour, MaxFacts: 100})
		sds.of[ins] = &sender{Instance: ins, unresponsive: map[ident.Incarnation]clock.Milli{}}
	}})
	return sds
}

// runLoaded runs the fleet for a time with one request in each step.
func (sds *senders) runLoaded(span clock.Milli) {
	sds.Run(span, func() { sds.ask(sds.of[sds.Random()]) })
}

// coordinator returns the coordinator of the rate in the view of an instance, and how many
// unresponsive ones were passed over.
func (sds *senders) coordinator(sdr *sender) (who ident.Incarnation, unresponsive int) {
	for _, who := range sdr.List().Owners("pool") {
		if who == sdr.ID() || sds.Now() >= sdr.unresponsive[who] {
			return who, unresponsive
		}
		unresponsive++
	}
	return sdr.ID(), unresponsive
}

// grants reports whether an instance that is asked for a permit allows a request.
func (sds *senders) grants(sdr *sender) bool {
	who, unresponsive := sds.coordinator(sdr)
	if coordinates := who == sdr.ID(); coordinates != sdr.coordinates {
		sdr.coordinates, sdr.term = coordinates, sds.Now()
	}
	share := limit.CoordinatorShare(unresponsive, sds.Now()-sdr.term)
	if !sdr.coordinates || share == 0 {
		return false
	}
	sdr.rates.Sync(map[string]float64{endpoint: sds.rate})
	if sdr.rates.Wait(endpoint, sds.Now()) > 0 {
		return false
	}
	sdr.rates.Take(endpoint, share, sds.Now())
	return true
}

// ask sends a request from an instance if the rate allows it. An instance that doesn't know of a
// rate sends without a permit.
func (sds *senders) ask(sdr *sender) {
	if _, _, knows := sdr.Spread().Get(gossip.DeclaredRate, endpoint); knows {
		who, _ := sds.coordinator(sdr)
		oth := sds.Find(who)
		if who != sdr.ID() && !sds.Send(sdr.Instance, oth) {
			sdr.unresponsive[who] = sds.Now() + unresponsiveFor
			return
		}
		if !sds.grants(sds.of[oth]) {
			return
		}
	}
	counts := sdr.learned > 0 && sds.Now()-sdr.learned >= 500 && sds.IsSteady(sdr.Instance, sds.within)
	sds.arrivals = append(sds.arrivals, arrival{at: sds.Now(), counts: counts})
	if sdr.learned == 0 {
		sdr.learned = sds.Now()
	}
	if fct, ok := sdr.Spread().Set(gossip.DeclaredRate, endpoint, fmt.Sprint(sds.rate), sds.Now()); ok {
		sdr.Spread().Enqueue(fct)
	}
}

// peak returns the maximum number of counted requests in any window since from, and the longest
// time without a request.
func (sds *senders) peak(from clock.Milli) (most int, idle clock.Milli) {
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

// TestRateAtSize guards against exceeding a rate, or leaving its endpoint idle, at each system
// size: while the coordinator is partitioned, during restarts of some instances, and after a
// restart of all.
func TestRateAtSize(t *testing.T) {
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
				sds.runLoaded(12 * clock.Second)
				for round := range 4 {
					who, _ := sds.coordinator(sds.of[sds.Instances()[round]])
					coordinator := sds.Find(who)
					sds.SetPartitioned(coordinator, true)
					sds.runLoaded(4 * clock.Second)
					sds.SetPartitioned(coordinator, false)
					sds.runLoaded(8 * clock.Second)
					sds.Restart(func(i int) bool { return i%10 == round })
					sds.runLoaded(10 * clock.Second)
				}
				most, idle := sds.peak(from)
				t.Logf("at most %d requests in 4 s, idle for up to %d ms", most, idle)
				gom.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.5*4*rate+5))
				gom.Expect(idle).To(gomega.BeNumerically("<", 7*clock.Second))

				sds.RestartAll()
				from = sds.Now() + size.within
				sds.runLoaded(20 * clock.Second)
				most, idle = sds.peak(from)
				t.Logf("after a restart of all: at most %d requests in 4 s, idle for up to %d ms", most, idle)
				gom.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.5*4*rate+5))
				gom.Expect(idle).To(gomega.BeNumerically("<", 7*clock.Second))
			})
		}
	}
}
