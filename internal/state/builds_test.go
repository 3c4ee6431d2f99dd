package state

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/sticky"
)

// Guards against builds that are forgotten while streams that began there may be resumed, or never forgotten, and
// against a build too long for the store's record.
func TestServedBuilds(t *testing.T) {
	gom := gomega.NewWithT(t)
	ect := newEndpts()
	// No loop runs that would send the facts.
	ect.ctl.facts.flushPending = true
	long := strings.Repeat("x", 200<<10)
	only := func(build string) bool {
		return (&View{served: ect.ctl.facts.served, buildsKnown: ect.ctl.facts.loaded}).ServedBuildOnly("p", build)
	}
	read := func(now clock.Milli, build string) {
		eps := []proto.Endpoint{{ID: "e", Pool: "p", Build: build}}
		ect.applyRead(proto.Listing{Endpoints: eps}, nil, now, now)
		ect.ctl.facts.step(now)
	}
	read(1000, "v1")
	gom.Expect(only("v1")).To(gomega.BeFalse(), "what served before the start is unknown")
	ect.ctl.facts.loadStored(nil, 1000)
	gom.Expect(only("v1")).To(gomega.BeTrue())
	read(1000+buildRenewal, "v1")
	read(2000+buildRenewal, long)
	gom.Expect(only(long)).To(gomega.BeFalse())
	for _, fct := range ect.ctl.facts.spread.All(gossip.ServedBuild, 2000+buildRenewal) {
		gom.Expect(len(fct.Key)).To(gomega.BeNumerically("<", 100))
	}
	read(1000+buildRenewal+sticky.Retention, long)
	gom.Expect(only(long)).To(gomega.BeFalse())
	read(2000+2*buildRenewal+sticky.Retention, long)
	gom.Expect(only(long)).To(gomega.BeTrue())
}
