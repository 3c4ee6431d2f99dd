package state

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/plan"
)

// runOf returns an endpoint that started at an instant.
func runOf(name string, born clock.Milli, leaving bool) proto.Endpoint {
	return proto.Endpoint{ID: ident.NewProcess(name, born), Addr: name, Pool: "p", Leaving: leaving}
}

// Guards against an ended run that an outdated list or a late leaving notice brings back after the
// endpoint has started again under its name.
func TestLaterRunStays(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{runOf("a", 1000, false), runOf("b", 1000, false)}}, nil, 0, 0)
	ect.markLeaving("a@1000", "it said so", 100)
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{runOf("a", 2000, false), runOf("b", 1000, false)}}, nil, 700, 700)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a@2000", "b@1000"}))
	gom.Expect(ect.list[0].Leaving).To(gomega.BeFalse(), "the leaving run has ended")

	ect.apply([]proto.Endpoint{runOf("a", 1000, true), runOf("b", 1000, false)}, 900)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a@2000", "b@1000"}))
	gom.Expect(ect.list[0].Leaving).To(gomega.BeFalse())
	ect.markLeaving("a@1000", "reported by another instance", 950)
	gom.Expect(ect.list[0].Leaving).To(gomega.BeFalse())

	ect.apply([]proto.Endpoint{runOf("b", 1000, false)}, 1000)
	ect.apply([]proto.Endpoint{runOf("a", 1000, false), runOf("b", 1000, false)}, 1100)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"b@1000"}), "the later run is gone, and the earlier one has ended")
}

// Guards against an entry without a start time that replaces one with it: it is outdated or of
// another process.
func TestRunWithoutStartTime(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{runOf("a", 0, false)}}, nil, 0, 0)
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{runOf("a", 1000, false)}}, nil, 700, 700)
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{runOf("a", 0, true)}}, nil, 1400, 1400)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a@1000"}))
	gom.Expect(ect.list[0].Leaving).To(gomega.BeFalse())
}

// Guards against keeping an ended run as lapsed after an outage of the store in which the endpoint
// started again.
func TestEndedRunIsNotKeptAsLapsed(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{runOf("a", 1000, false), runOf("b", 1000, false)}}, nil, 0, 0)
	ect.applyRead(proto.Listing{}, errStoreDown, 700, 700)
	moved := runOf("a", 2000, false)
	moved.Addr = "elsewhere"
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{moved}}, nil, 1400, 1400)
	gom.Expect(names(ect.list)).To(gomega.Equal([]string{"a@2000", "b@1000"}))
}

// Guards against unbounded memory for runs while endpoints come and go for days.
func TestRunsAreForgotten(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	for i := range clock.Milli(1000) {
		ect.apply([]proto.Endpoint{runOf(ident.NewID(), 1000, false)}, i*clock.Second)
	}
	gom.Expect(len(ect.runs.byName)).To(gomega.BeNumerically("<=", 32))
}

// Guards against an entry of a service that no document names which takes a lapsed endpoint's
// address and so removes that endpoint.
func TestForeignServiceHidesNoEndpoint(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "p"}, {Name: "q"}}})
	ect.ctl.docs.plan = pln
	foreign := proto.Endpoint{ID: "x", Addr: "a", Pool: "nobody's"}
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{runOf("a", 1000, false)}}, nil, 0, 0)
	ect.applyRead(proto.Listing{}, errStoreDown, 700, 700)
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{foreign}}, nil, 1400, 1400)
	gom.Expect(names(ect.list)).To(gomega.ConsistOf("a@1000", "x"))
	foreign.Pool = "q"
	ect.applyRead(proto.Listing{Endpoints: []proto.Endpoint{foreign}}, nil, 1500, 1500)
	gom.Expect(names(ect.list)).To(gomega.ConsistOf("x"), "another endpoint has the address")
}

// Guards against one log line per read for each of hundreds of invalid entries. Each is counted
// once, and a few lines are logged.
func TestForeignEntriesAreLoggedOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	var out bytes.Buffer
	ect.ctl.set.Log = zerolog.New(&out)
	var faults []error
	for i := range 300 {
		faults = append(faults, fmt.Errorf("entry %d", i))
	}
	for range 5 {
		ect.logFaults(faults)
	}
	gom.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal(maxFaultLogs + 1))
	gom.Expect(out.String()).To(gomega.ContainSubstring(`"more":292`))
}
