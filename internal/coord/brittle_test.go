package coord

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
)

// brittleEngines are three instances and a pool of two brittle engines.
type brittleEngines struct {
	crds []*Coordinator
	plss []*pools.Pools
	ids  []ident.Incarnation
	// silent is set while the first instance answers nothing.
	silent chan struct{}
	base   *state.View
}

func newBrittleEngines(t *testing.T, slots int) *brittleEngines {
	gom := gomega.NewWithT(t)
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "models", Engine: &plan.DraftEngine{}}}})
	bre := &brittleEngines{silent: make(chan struct{}, 1)}
	var eps []proto.Endpoint
	for i := range 2 {
		eps = append(eps, proto.Endpoint{ID: ident.Process(fmt.Sprint("e", i)), Pool: "models", Addr: "a", Zone: fmt.Sprint("z", i), Places: slots})
	}
	bre.base = state.ViewOf(pln, eps...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range 3 {
		server, client, err := peer.EphemeralTLS()
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		lnk, err := peer.Listen("127.0.0.1:0", server, client, func(_ context.Context, msg peer.Message) peer.Message {
			if i == 0 && len(bre.silent) > 0 {
				time.Sleep(2 * placeTimeout)
			}
			if msg.Kind == peer.ReportPlaced {
				return bre.crds[i].HandleReports(msg)
			}
			return bre.crds[i].handlePlace(bre.view(0), msg)
		})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		pls := pools.New(pools.Setup{})
		pls.Sync(bre.base.WithBrittlePool("models"))
		bre.plss = append(bre.plss, pls)
		bre.ids = append(bre.ids, ident.NewIncarnation(lnk.Addr()))
		crd := New(Setup{
			Control: state.New(state.Setup{Self: bre.ids[i], Meter: meter.New(), Log: zerolog.Nop()}), Pools: pls, Link: lnk, Log: zerolog.Nop(),
		})
		bre.crds = append(bre.crds, crd)
		defer func() { go lnk.Serve(ctx) }()
		gom.Eventually(crd.hasJoined, 5*time.Second).Should(gomega.BeTrue())
	}
	return bre
}

// view returns a view in which the given instance is the first coordinator.
func (bre *brittleEngines) view(first int) *state.View {
	return bre.base.WithBrittlePool("models", slices.Concat(bre.ids[first:], bre.ids[:first])...)
}

// place lets an instance place prompts, and counts those that are placed.
func (bre *brittleEngines) place(ins, count, first int) int {
	placed := 0
	for i := range count {
		if _, ok := bre.crds[ins].Place(context.Background(), bre.view(first), "models", fmt.Sprint("r", ins, i, "/0"), place.Ask{}); ok {
			placed++
		}
	}
	return placed
}

// Guards against prompts that are sent to an evacuated data centre, or not at all, because the coordinator has not
// learned of the evacuation yet.
func TestCoordinatorMayNotKnowOfEvacuation(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 12)
	vw := bre.view(0).WithEvacuated("z0")
	bre.plss[1].Sync(vw)
	for i := range 10 {
		var plc Placement
		ok, late := false, true
		// On a busy machine the coordinator may answer too late, or count as unresponsive: only then is there a
		// next try.
		for until := time.Now().Add(10 * time.Second); !ok && late && time.Now().Before(until); time.Sleep(time.Millisecond) {
			began := time.Now()
			plc, ok = bre.crds[1].Place(t.Context(), vw, "models", fmt.Sprint("r", i, "/0"), place.Ask{})
			late = time.Since(began) >= placeTimeout || bre.crds[1].isUnresponsive(bre.ids[0])
		}
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(plc.ID).To(gomega.BeEquivalentTo("e1"))
	}
}

// Guards against brittle engines that are sent prompts by two instances at once, each of which knows only
// its own: the coordinator, and one to which it answers late.
func TestLateCoordinatorIsNotReplacedAtBrittleEngines(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 4)
	gom.Eventually(func() int { return bre.place(1, 1, 0) }, 5*time.Second).Should(gomega.Equal(1))
	bre.silent <- struct{}{}
	gom.Expect(bre.place(1, maxPlaceTimeouts-1, 0)).To(gomega.BeZero())
	<-bre.silent
	gom.Eventually(func() int { return bre.place(1, 1, 0) }, 5*time.Second).Should(gomega.Equal(1))
}

// Guards against instances that serve nothing while nobody answers as the coordinator, or fill the engines
// then: they may use one slot of each.
func TestOneSlotIsUsedWithoutCoordinator(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 4)
	total := 0
	gom.Eventually(func() int {
		total += bre.place(0, 1, 1)
		return total
	}, 10*time.Second, time.Millisecond).Should(gomega.BeNumerically(">=", 2))
	for until := time.Now().Add(2 * slotFallbackAfter.Duration()); time.Now().Before(until); {
		total += bre.place(0, 1, 1)
	}
	gom.Expect(total).To(gomega.Equal(2))
}

// Guards against two instances that both place prompts, since their views differ.
func TestOthersPlaceNothingAtBrittleEngines(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 4)
	gom.Expect(bre.place(0, 8, 1)).To(gomega.BeZero())
}

// Guards against instances that choose an engine themselves when the coordinator has none to grant.
func TestNoneIsChosenWhenNoneIsGranted(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 4)
	gom.Eventually(func() int { return bre.place(1, 1, 0) }, 5*time.Second).Should(gomega.Equal(1))
	gom.Expect(bre.place(0, 8, 0)).To(gomega.Equal(7))
	gom.Expect(bre.place(1, 2, 0)).To(gomega.BeZero())
}

// Guards against slots that stay taken for placements whose answer came too late.
func TestLatePlacementsAreEnded(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 1)
	bre.silent <- struct{}{}
	gom.Expect(bre.place(1, maxPlaceTimeouts-1, 0)).To(gomega.BeZero())
	<-bre.silent
	for range 2 {
		gom.Eventually(func() int { return bre.place(1, 1, 0) }, 5*time.Second).Should(gomega.Equal(1))
	}
}

// Guards against engines that count as full for half a minute once they are brittle, since placements before
// that had no answer.
func TestLatePlacementsAreEndedBeforeEnginesAreBrittle(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 1)
	for _, pls := range bre.plss {
		pls.Sync(bre.base)
	}
	bre.silent <- struct{}{}
	gom.Expect(bre.place(1, maxPlaceTimeouts-1, 0)).To(gomega.Equal(maxPlaceTimeouts - 1))
	<-bre.silent
	for _, pls := range bre.plss {
		pls.Sync(bre.base.WithBrittlePool("models"))
	}
	for range 2 {
		gom.Eventually(func() int { return bre.place(1, 1, 0) }, 5*time.Second).Should(gomega.Equal(1))
	}
}

// Guards against seconds without placements after the coordinator has been late a few times: the next one
// isn't the coordinator, and says so.
func TestCoordinatorIsTriedAgainWhenTheNextOneRefuses(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 4)
	gom.Eventually(func() int { return bre.place(2, 1, 0) }, 5*time.Second).Should(gomega.Equal(1))
	bre.silent <- struct{}{}
	gom.Expect(bre.place(2, maxPlaceTimeouts, 0)).To(gomega.BeZero())
	<-bre.silent
	gom.Expect(bre.crds[2].isUnresponsive(bre.ids[0])).To(gomega.BeTrue())
	gom.Eventually(func() bool {
		bre.place(2, 1, 0)
		return bre.crds[2].isUnresponsive(bre.ids[0])
	}, unresponsiveFor.Duration()/2).Should(gomega.BeFalse())
}

// Guards against a coordinator that is passed over for seconds since many requests met one pause of it.
func TestOnePauseIsOneTimeout(t *testing.T) {
	gom := gomega.NewWithT(t)
	bre := newBrittleEngines(t, 4)
	gom.Eventually(func() int { return bre.place(1, 1, 0) }, 5*time.Second).Should(gomega.Equal(1))
	bre.silent <- struct{}{}
	var grp sync.WaitGroup
	for range 3 * maxPlaceTimeouts {
		grp.Go(func() { bre.place(1, 1, 0) })
	}
	grp.Wait()
	gom.Expect(bre.crds[1].isUnresponsive(bre.ids[0])).To(gomega.BeFalse())
}
