package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/reach"
)

const (
	zones     = 3
	endpoints = 30
	// holdTime is how long a request holds its connection.
	holdTime = 300 * clock.Milli(1)
	// perInstance is the number of requests a second at each instance.
	perInstance = 4
	// settleTime is the time after the begin of a partition from which callers must be served.
	settleTime = 3 * clock.Second
	// reportInterval is the interval at which instances report their load, and probe blocked paths.
	reportInterval = 500 * clock.Milli(1)
)

// dialer is an instance that connects to endpoints.
type dialer struct {
	*fleet.Instance
	table  reach.Table
	relays reach.Relays
	// load counts its own requests, served those that it relays.
	load, served int
}

// system is a fleet whose instances connect to endpoints.
type system struct {
	*fleet.Fleet
	rng *rand.Rand
	of  map[*fleet.Instance]*dialer
	// isCut reports whether an instance is partitioned from all endpoints.
	isCut   func(i int) bool
	index   map[string]int
	ends    map[clock.Milli][]func()
	counted bool
	// sent and done count the requests at partitioned instances, of which done were connected; tries
	// counts the relays that were asked.
	sent, done, tries int
	mostServed        int
}

func newSystem(count int) *system {
	sys := &system{
		rng: rand.New(rand.NewPCG(uint64(count), 7)), of: map[*fleet.Instance]*dialer{}, index: map[string]int{},
		ends: map[clock.Milli][]func(){}, isCut: func(int) bool { return false },
	}
	zoneOf := func(i int) string { return fmt.Sprint("dc", i*zones/count) }
	sys.Fleet = fleet.New(fleet.Setup{Count: count, LossRate: 0.02, Seed: uint64(count), ZoneOf: zoneOf, OnStart: func(ins *fleet.Instance) {
		dlr := &dialer{Instance: ins}
		dlr.table.SetKnown(endpoints)
		sys.of[ins] = dlr
	}})
	for i, ins := range sys.Instances() {
		sys.index[ins.ID().Addr()] = i
	}
	return sys
}

func (sys *system) cut(ins *fleet.Instance) bool { return sys.isCut(sys.index[ins.ID().Addr()]) }

// runFor sends requests at random instances for a time.
func (sys *system) runFor(span clock.Milli) {
	perStep := float64(perInstance*len(sys.Instances())) * fleet.Step.Seconds()
	left := 0.0
	sys.Run(span, func() {
		for _, end := range sys.ends[sys.Now()] {
			end()
		}
		delete(sys.ends, sys.Now())
		if sys.Now()%reportInterval == 0 {
			sys.report()
		}
		for left += perStep; left >= 1; left-- {
			sys.request(sys.of[sys.Random()])
		}
	})
}

// report has all instances report their load, and probe what they don't reach.
func (sys *system) report() {
	for _, ins := range sys.Instances() {
		dlr := sys.of[ins]
		if dlr.table.NeedsProbe() {
			dlr.table.RecordDirect(sys.endpoint(), sys.result(dlr), sys.Now())
		}
		ins.List().SetSelf(0, dlr.load+dlr.served, false, sys.Now())
		ins.List().SetBlind(dlr.table.Advertised(sys.Now()))
	}
}

func (sys *system) endpoint() string { return fmt.Sprint("10.0.0.", sys.rng.IntN(endpoints), ":80") }

func (sys *system) result(dlr *dialer) reach.Result {
	if sys.cut(dlr.Instance) {
		return reach.Refused
	}
	return reach.Connected
}

// request connects to an endpoint as internal/dial does.
func (sys *system) request(dlr *dialer) {
	addr, counts := sys.endpoint(), sys.counted && sys.cut(dlr.Instance)
	if counts {
		sys.sent++
	}
	if dlr.table.Strategy(addr, sys.Now()) != reach.RelayFirst {
		res := sys.result(dlr)
		dlr.table.RecordDirect(addr, res, sys.Now())
		if res == reach.Connected {
			sys.hold(&dlr.load)
			return
		}
	}
	for _, rel := range dlr.relays.Choose(dlr.ID(), sys.candidates(dlr), []string{dlr.zoneOf(), "dc1"}, sys.rng, sys.Now()) {
		if counts {
			sys.tries++
		}
		oth := sys.Find(rel.ID)
		if oth == nil || sys.cut(oth) {
			dlr.relays.Avoid(rel.ID, sys.Now())
			continue
		}
		dlr.table.RecordRelayed(addr, true, sys.Now())
		dlr.relays.Opened(rel.ID)
		relay := sys.of[oth]
		sys.hold(&relay.served)
		sys.ends[sys.Now()+holdTime] = append(sys.ends[sys.Now()+holdTime], func() { dlr.relays.Closed(rel.ID) })
		if counts {
			sys.done++
			sys.mostServed = max(sys.mostServed, relay.served)
		}
		return
	}
}

func (dlr *dialer) zoneOf() string {
	mbr, _ := dlr.List().Find(dlr.ID())
	return mbr.Zone()
}

// hold counts a connection until its end.
func (sys *system) hold(count *int) {
	*count++
	at := sys.Now() + holdTime
	sys.ends[at] = append(sys.ends[at], func() { *count-- })
}

// candidates returns the relays that an instance knows.
func (sys *system) candidates(dlr *dialer) []reach.Relay {
	var list []reach.Relay
	for _, mbr := range dlr.List().All() {
		if mbr.ID() != dlr.ID() && mbr.Status() == member.Alive && mbr.ReachesEndpoints() {
			list = append(list, reach.Relay{ID: mbr.ID(), Zone: mbr.Zone(), Load: mbr.Load(), Capacity: 1})
		}
	}
	return list
}

// TestPartitionedDataCentreIsServed guards against callers of a partitioned data centre that are not
// served, and against relays that are overloaded, at the sizes of the users' deployments: with most or all
// instances of a data centre partitioned, restarts of some and of all of them, and a partition that comes
// and goes.
func TestPartitionedDataCentreIsServed(t *testing.T) {
	for _, count := range []int{8, 66, 195} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			t.Parallel()
			gom := gomega.NewWithT(t)
			sys := newSystem(count)
			size := (count + zones - 1) / zones
			most, all, none := func(i int) bool { return i < 9*size/10 }, func(i int) bool { return i < size }, func(int) bool { return false }
			sys.runFor(2 * clock.Second)
			check := func(name string) {
				cut := 0
				for i := range count {
					if sys.isCut(i) {
						cut++
					}
				}
				fair := float64(cut) * perInstance * holdTime.Seconds() / float64(max(count-cut, 1))
				t.Logf("%s: %d of %d served, %.2f relays asked each, %d connections relayed at the busiest, %.1f if shared evenly", name, sys.done, sys.sent, float64(sys.tries)/float64(max(sys.sent, 1)), sys.mostServed, fair)
				gom.Expect(float64(sys.done)).To(gomega.BeNumerically(">=", 0.98*float64(sys.sent)), name)
				sys.sent, sys.done, sys.tries, sys.mostServed, sys.counted = 0, 0, 0, 0, false
			}
			sys.isCut = most
			sys.counted = true
			sys.runFor(settleTime)
			t.Logf("first %d ms: %d of %d served", settleTime, sys.done, sys.sent)
			sys.sent, sys.done, sys.tries = 0, 0, 0
			sys.runFor(5 * clock.Second)
			check("most of a data centre")
			sys.isCut = all
			sys.runFor(settleTime)
			sys.counted = true
			sys.runFor(5 * clock.Second)
			check("all of a data centre")
			sys.Restart(func(i int) bool { return i%10 < 3 })
			sys.runFor(settleTime)
			sys.counted = true
			sys.runFor(3 * clock.Second)
			check("three tenths restarted")
			sys.RestartAll()
			sys.runFor(settleTime)
			sys.counted = true
			sys.runFor(3 * clock.Second)
			check("all restarted")
			sys.counted = true
			for range 4 {
				sys.isCut = none
				sys.runFor(clock.Second)
				sys.isCut = all
				sys.runFor(clock.Second)
			}
			check("comes and goes every second")
		})
	}
}
