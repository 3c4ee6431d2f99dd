package pools

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
)

// Guards against a stream that goes on at another build since the coordinator that placed it knows no builds.
func TestAssignmentKeepsBuild(t *testing.T) {
	gom := gomega.NewWithT(t)
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "engines", Engine: &plan.DraftEngine{}}, {Name: "plain"}}})
	pls := New(Setup{})
	pls.Sync(state.ViewOf(pln,
		proto.Endpoint{ID: "old", Pool: "engines", Addr: "a:1", Places: 1, Build: "v1"},
		proto.Endpoint{ID: "new", Pool: "engines", Addr: "a:2", Places: 1, Build: "v2"},
		proto.Endpoint{ID: "leaving", Pool: "engines", Addr: "a:3", Places: 1, Build: "v3", Leaving: true},
		proto.Endpoint{ID: "plain-old", Pool: "plain", Addr: "a:4", Build: "v1"},
		proto.Endpoint{ID: "plain-new", Pool: "plain", Addr: "a:5", Build: "v2"},
	))
	_, ok := pls.Assign("engines", "old", "", "t-1", place.Ask{Build: "v2"})
	gom.Expect(ok).To(gomega.BeFalse())
	tgt, ok := pls.Assign("engines", "new", "", "t-2", place.Ask{Build: "v2"})
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(tgt.Build).To(gomega.Equal("v2"))
	for range 20 {
		tgt, ok := pls.Pick("engines", "t-3", place.Ask{Build: "v1"}, 0)
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(tgt.Build).To(gomega.Equal("v1"))
		pls.End("engines", "t-3", place.Neutral, 0)
	}
	_, ok = pls.Pick("engines", "t-4", place.Ask{Build: "v3"}, 0)
	gom.Expect(ok).To(gomega.BeFalse())
	gom.Expect(pls.HasBuild("engines", "v3")).To(gomega.BeFalse())
	gom.Expect(pls.HasBuild("engines", "v2")).To(gomega.BeTrue())
	gom.Expect(pls.OtherBuilds("plain", "v1")).To(gomega.Equal([]string{"plain-new"}))
	gom.Expect(pls.OtherBuilds("plain", "")).To(gomega.BeEmpty())
}
