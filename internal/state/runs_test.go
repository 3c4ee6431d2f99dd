package state

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// begun is an endpoint that started at an instant.
func begun(name string, born clock.Milli, leaving bool) talk.Endpoint {
	return talk.Endpoint{ID: ident.NewProcess(name, born), Addr: name, Pool: "p", Leaving: leaving}
}

// TestLaterRunStays: an endpoint ends and starts again under its name. A list from before,
// which was on its way to a follower meanwhile, comes last. It brings the ended run back
// neither into the list nor as the word that the endpoint is leaving.
func TestLaterRunStays(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.read([]talk.Endpoint{begun("a", 1000, false), begun("b", 1000, false)}, nil, nil, 0)
	ect.heardLeaving("a@1000", "it said so", 100)
	ect.read([]talk.Endpoint{begun("a", 2000, false), begun("b", 1000, false)}, nil, nil, 700)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a@2000", "b@1000"}))
	gom.Expect(ect.list[0].Leaving).To(gomega.BeFalse(), "who was leaving has ended")

	ect.take([]talk.Endpoint{begun("a", 1000, true), begun("b", 1000, false)}, 900)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a@2000", "b@1000"}))
	gom.Expect(ect.list[0].Leaving).To(gomega.BeFalse())
	ect.heardLeaving("a@1000", "told by another instance", 950)
	gom.Expect(ect.list[0].Leaving).To(gomega.BeFalse())

	ect.take([]talk.Endpoint{begun("b", 1000, false)}, 1000)
	ect.take([]talk.Endpoint{begun("a", 1000, false), begun("b", 1000, false)}, 1100)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"b@1000"}), "the later run is gone, and the one before is no more")
}

// TestRunThatSaysNoStart: an entry without the instant of its start comes after one with it.
// It is somebody else's, or an old one, and changes nothing.
func TestRunThatSaysNoStart(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.read([]talk.Endpoint{begun("a", 0, false)}, nil, nil, 0)
	ect.read([]talk.Endpoint{begun("a", 1000, false)}, nil, nil, 700)
	ect.read([]talk.Endpoint{begun("a", 0, true)}, nil, nil, 1400)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a@1000"}))
	gom.Expect(ect.list[0].Leaving).To(gomega.BeFalse())
}

// TestLapsedRunIsNotWaitedFor: the store was down, and endpoint "a" started again
// meanwhile. What is missing after an outage is waited for, but not the run of "a" that
// has ended.
func TestLapsedRunIsNotWaitedFor(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.read([]talk.Endpoint{begun("a", 1000, false), begun("b", 1000, false)}, nil, nil, 0)
	ect.read(nil, nil, errStoreDown, 700)
	moved := begun("a", 2000, false)
	moved.Addr = "elsewhere"
	ect.read([]talk.Endpoint{moved}, nil, nil, 1400)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a@2000", "b@1000"}))
}

// TestRunsAreForgotten: endpoints come and go for days; only the latest are remembered.
func TestRunsAreForgotten(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	for i := range clock.Milli(1000) {
		ect.take([]talk.Endpoint{begun(ident.NewID(), 1000, false)}, i*clock.Second)
	}
	gom.Expect(len(ect.runs.byName)).To(gomega.BeNumerically("<=", 32))
}

// TestForeignServiceHidesNobody: the store was down, and the entry of endpoint "a" lapsed. When
// the store is back, somebody has written an entry with its address for a service that no
// document names. It says nothing about the address; "a" is waited for.
func TestForeignServiceHidesNobody(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "p"}, {Name: "q"}}})
	ect.ctl.docs.plan = pln
	foreign := talk.Endpoint{ID: "x", Addr: "a", Pool: "nobody's"}
	ect.read([]talk.Endpoint{begun("a", 1000, false)}, nil, nil, 0)
	ect.read(nil, nil, errStoreDown, 700)
	ect.read([]talk.Endpoint{foreign}, nil, nil, 1400)
	gom.Expect(names(ect.list)).To(gomega.ConsistOf("a@1000", "x"))
	foreign.Pool = "q"
	ect.read([]talk.Endpoint{foreign}, nil, nil, 1500)
	gom.Expect(names(ect.list)).To(gomega.ConsistOf("x"), "another endpoint lives there")
}

// TestForeignEntriesAreToldOnce: hundreds of entries that are no endpoint's stand in the store
// at each look. Each is counted once, and a few lines are written.
func TestForeignEntriesAreToldOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	var out bytes.Buffer
	ect.ctl.set.Log = zerolog.New(&out)
	var faults []error
	for i := range 300 {
		faults = append(faults, fmt.Errorf("entry %d", i))
	}
	for range 5 {
		ect.tellFaults(faults)
	}
	gom.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal(maxFaults + 1))
	gom.Expect(out.String()).To(gomega.ContainSubstring(`"more":292`))
}
