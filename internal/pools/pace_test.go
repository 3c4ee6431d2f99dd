package pools

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/pace"
	"amaranthvalve/pkg/plan"
)

// TestPaceOfAnotherProcess guards against a figure that another process at an endpoint's address reports of
// itself, and against figures of either kind of endpoint that get lost.
func TestPaceOfAnotherProcess(t *testing.T) {
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "engines", Engine: &plan.DraftEngine{}}, {Name: "plain"}}})
	pls := New(Setup{})
	pls.Sync(state.ViewOf(pln, proto.Endpoint{ID: "e", Pool: "engines", Addr: "a:1"}, proto.Endpoint{ID: "e", Pool: "plain", Addr: "a:2"}))
	for _, pool := range []string{"engines", "plain"} {
		gom := gomega.NewWithT(t)
		gom.Expect(pls.ReportLoad(pool, "e", proto.ReplyMeta{HasLoad: true, Pace: 9000, Misdirected: true})).To(gomega.Equal(pace.Figure{}))
		gom.Expect(pls.ReportLoad(pool, "e", proto.ReplyMeta{HasLoad: true})).To(gomega.Equal(pace.Figure{}))
		gom.Expect(pls.Pace(pool, "e")).To(gomega.Equal(100))
		gom.Expect(pls.ReportLoad(pool, "e", proto.ReplyMeta{HasLoad: true, Pace: 9000}).Percent).To(gomega.Equal(9000))
		gom.Expect(pls.Pace(pool, "e")).To(gomega.BeNumerically(">", 150))
		gom.Expect(pls.Pace(pool, "other")).To(gomega.Equal(100))
	}
	gomega.NewWithT(t).Expect(pls.Pace("none", "e")).To(gomega.Equal(100))
}
