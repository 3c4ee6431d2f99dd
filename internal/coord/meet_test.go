package coord

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
)

// spread puts two endpoints of each pool into the bed, in the data centres z1 and z2.
func (bed *queueBed) spread(slots int) {
	bed.base = state.ViewOf(
		bed.base.Plan(),
		proto.Endpoint{ID: "b1", Pool: "bookings", Addr: "a:1", Zone: "z1", Places: slots}, proto.Endpoint{ID: "b2", Pool: "bookings", Addr: "a:2", Zone: "z2", Places: slots},
		proto.Endpoint{ID: "e1", Pool: "models", Addr: "a:3", Zone: "z1", Places: slots}, proto.Endpoint{ID: "e2", Pool: "models", Addr: "a:4", Zone: "z2", Places: slots},
	)
	for i := range bed.crds {
		bed.put(i, bed.viewOf(0))
	}
}

// put gives an instance a view, as the control loop does.
func (bed *queueBed) put(ins int, vw *state.View) {
	bed.views[ins].Store(vw)
	bed.crds[ins].set.Pools.Sync(vw)
	bed.crds[ins].DispatchAll(vw)
}

// Guards against a request that is refused since the coordinator, which does not know of an evacuation yet, granted
// it an endpoint there: the request goes elsewhere in the time that it may wait.
func TestGrantAtAWithheldEndpointIsReplaced(t *testing.T) {
	forPools(t, func(t *testing.T, pool string) {
		bed := newQueueBed(t, 2, 1)
		bed.spread(1)
		held := bed.hold(0, pool, 2)
		done := make(chan Placement, 1)
		go func() {
			plc, acq := bed.acquire(context.Background(), 1, pool, WaitTerms{}, 4*time.Second)
			if acq != Granted {
				plc = Placement{}
			}
			done <- plc
		}()
		bed.gom.Eventually(bed.waiting(0, pool), 5*time.Second).Should(gomega.Equal(1))
		bed.put(1, bed.viewOf(0).WithEvacuated("z1"))
		if held[0].ID != "b1" && held[0].ID != "e1" {
			held[0], held[1] = held[1], held[0]
		}
		bed.release(0, pool, held[0])
		bed.gom.Consistently(done, 100*time.Millisecond).ShouldNot(gomega.Receive())
		bed.release(0, pool, held[1])
		var plc Placement
		bed.gom.Eventually(done, 2*time.Second).Should(gomega.Receive(&plc))
		bed.gom.Expect(plc.ID).To(gomega.Equal(held[1].ID))
		// The slot of the grant that was not used is free again.
		bed.hold(0, pool, 1)
	})
}

// Guards against requests that wait in the queue of a pool whose last endpoints are evacuated, until they have waited
// as long as they may.
func TestWaitEndsWhenAllEndpointsAreEvacuated(t *testing.T) {
	forPools(t, func(t *testing.T, pool string) {
		bed := newQueueBed(t, 2, 1)
		bed.spread(1)
		bed.hold(0, pool, 2)
		done := make(chan Acquired, 2)
		for ins := range 2 {
			go func() {
				_, acq := bed.acquire(context.Background(), ins, pool, WaitTerms{}, 4*time.Second)
				done <- acq
			}()
		}
		bed.gom.Eventually(bed.waiting(0, pool), 5*time.Second).Should(gomega.Equal(2))
		bed.put(0, bed.viewOf(0).WithEvacuated("z1"))
		bed.gom.Consistently(done, 100*time.Millisecond).ShouldNot(gomega.Receive())
		bed.put(0, bed.viewOf(0).WithEvacuated("z1", "z2"))
		for range 2 {
			bed.gom.Eventually(done, time.Second).Should(gomega.Receive(gomega.Equal(Refused)))
		}
	})
}

// Guards against requests that overtake more urgent ones by asking for a placement before they join the queue.
func TestArrivalsDoNotOvertakeMoreUrgentRequestsAtARate(t *testing.T) {
	bed := newQueueBed(t, 2, 9)
	for i := range bed.views {
		bed.put(i, bed.base.WithCoordinators(queuePools, bed.ids...).WithRates(map[ident.Process]float64{"e1": 10}))
	}
	bed.connect(1, "models")
	var urgent sync.WaitGroup
	for i := range 8 {
		urgent.Go(func() {
			plc, acq := bed.acquire(context.Background(), i%2, "models", WaitTerms{Workspace: "w"}, 4*time.Second)
			bed.gom.Expect(acq).To(gomega.Equal(Granted))
			bed.release(i%2, "models", plc)
		})
	}
	bed.gom.Eventually(bed.waiting(0, "models"), time.Second).Should(gomega.BeNumerically(">=", 5))
	var overtook atomic.Int64
	var others sync.WaitGroup
	for ins := range 2 {
		others.Go(func() {
			for bed.waiting(0, "models")() >= 2 {
				if plc, acq := bed.acquire(context.Background(), ins, "models", WaitTerms{Rank: 1, Workspace: "x"}, 5*time.Millisecond); acq == Granted {
					overtook.Add(1)
					bed.release(ins, "models", plc)
				}
			}
		})
	}
	others.Wait()
	urgent.Wait()
	bed.gom.Expect(overtook.Load()).To(gomega.BeZero())
}

// Guards against permits of a rate that are recorded as grants: nobody releases them, and each would be logged as lost
// when its request has ended long ago.
func TestPermitsAreNotHeld(t *testing.T) {
	bed := newQueueBed(t, 2, 9)
	for i := range bed.views {
		bed.put(i, bed.base.WithCoordinators(queuePools, bed.ids...).WithRates(map[ident.Process]float64{"b1": 50}))
	}
	var grp sync.WaitGroup
	for range 6 {
		grp.Go(func() {
			plc, acq := bed.acquire(context.Background(), 1, "bookings", WaitTerms{}, 4*time.Second)
			bed.gom.Expect(acq).To(gomega.Equal(Granted))
			bed.release(1, "bookings", plc)
		})
	}
	grp.Wait()
	bed.crds[0].queues.mtx.Lock()
	defer bed.crds[0].queues.mtx.Unlock()
	bed.gom.Expect(bed.crds[0].queues.held).To(gomega.BeEmpty())
}

// Guards against cold endpoints that are also brittle and get requests by the share of their slots: from instances
// that replace an unresponsive coordinator, or cannot reach it.
func TestBrittleEndpointsThatAreColdGetNothingFromOthers(t *testing.T) {
	forPools(t, func(t *testing.T, pool string) {
		bed := newQueueBed(t, 2, 4)
		now := clock.Clock{}.Now()
		vw := bed.viewOf(0).WithCold(now+clock.Minute, 5, "b1", "e1")
		for i := range bed.views {
			bed.put(i, vw)
		}
		bed.crds[1].markUnresponsive(bed.ids[0])
		_, acq := bed.acquire(context.Background(), 1, pool, WaitTerms{}, 50*time.Millisecond)
		bed.gom.Expect(acq).To(gomega.Equal(Refused))
		_, ok := bed.crds[1].placeOneSlot(pool, "r/0", place.Ask{}, now+clock.Minute)
		bed.gom.Expect(ok).To(gomega.BeFalse())
		bed.hold(0, pool, 1)
	})
}

// Guards against a request that gave way to a more urgent one in a full queue just when the coordinator changed, and
// is refused a second time.
func TestFullQueueOfAFormerCoordinatorIsEmptied(t *testing.T) {
	bed := newQueueBed(t, 1, 1)
	crd := bed.crds[0]
	bed.hold(0, "bookings", 1)
	var grp sync.WaitGroup
	var moved atomic.Int64
	join := func(rank int) {
		grp.Go(func() {
			jrq := joinRequest{Pool: "bookings", Ticket: strconv.FormatInt(testTickets.Add(1), 10), Rank: rank, Wait: clock.Minute, Left: clock.Minute}
			if out := crd.join(context.Background(), "", jrq); out.moved {
				moved.Add(1)
			}
		})
	}
	for range 2048 {
		join(1)
	}
	bed.gom.Eventually(bed.waiting(0, "bookings"), 10*time.Second).Should(gomega.Equal(2048))
	bed.views[0].Store(bed.base.WithBrittlePools(queuePools, "10.0.0.9:1/x", bed.ids[0]))
	join(0)
	grp.Wait()
	bed.gom.Expect(moved.Load()).To(gomega.BeEquivalentTo(2049))
	bed.setCoordinator(0)
	_, acq := bed.acquire(context.Background(), 0, "bookings", WaitTerms{}, 20*time.Millisecond)
	bed.gom.Expect(acq).To(gomega.Equal(Refused))
}

// Guards against an examination of all grants each millisecond while requests wait for rates.
func TestGrantsAreExaminedRarely(t *testing.T) {
	gom := gomega.NewWithT(t)
	var qus queues
	gom.Expect(qus.lostDue(1000)).To(gomega.BeTrue())
	gom.Expect(qus.lostDue(1000 + sweepInterval - 1)).To(gomega.BeFalse())
	gom.Expect(qus.lostDue(1000 + sweepInterval)).To(gomega.BeTrue())
}

// Guards against a new coordinator that takes the single slot which it grants at first for its share of a rate: a
// third request to an endpoint with 20 requests a second would wait for 50 s.
func TestNewCoordinatorUsesTheRateOfBrittleEndpoints(t *testing.T) {
	bed := newQueueBed(t, 1, 4)
	bed.put(0, bed.viewOf(0).WithRates(map[ident.Process]float64{"b1": 20}).WithCoordinatorSince("bookings", clock.Clock{}.Now()))
	for range 4 {
		bed.release(0, "bookings", bed.hold(0, "bookings", 1)[0])
	}
}
