package pools

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/place"
	"amaranthvalve/pkg/plan"
)

// Guards against a way of choosing an endpoint that ignores evacuations: by this instance, by a coordinator that does
// not know of them yet, for a slot or for a permit.
func TestEvacuatedEndpointsAreNotChosen(t *testing.T) {
	gom := gomega.NewWithT(t)
	pln, _ := plan.Compile(plan.Draft{Pools: []plan.DraftPool{{Name: "engines", Engine: &plan.DraftEngine{}}, {Name: "plain"}}})
	var eps []proto.Endpoint
	for _, zone := range []string{"z1", "z2"} {
		eps = append(eps, proto.Endpoint{ID: ident.Process("engine-" + zone), Pool: "engines", Addr: zone + ":1", Zone: zone, Places: 4, Build: "v1"},
			proto.Endpoint{ID: ident.Process("plain-" + zone), Pool: "plain", Addr: zone + ":2", Zone: zone, Places: 4, Build: "v1"})
	}
	all := state.ViewOf(pln, eps...)
	pls := New(Setup{Zone: "z1"})
	pls.Sync(all.WithEvacuated("z1"))
	for range 20 {
		tgt, ok := pls.Pick("engines", "t", place.Ask{}, 0)
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(tgt.ID).To(gomega.BeEquivalentTo("engine-z2"))
		pls.End("engines", "t", place.Neutral, 0)
		plm, ok := pls.Predict("engines", place.Ask{}, 0)
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(plm.Engine.ID).To(gomega.Equal("engine-z2"))
	}
	_, ok := pls.Assign("engines", "engine-z1", "", "t", place.Ask{})
	gom.Expect(ok).To(gomega.BeFalse())
	_, ok = pls.Begin("plain", "plain-z1")
	gom.Expect(ok).To(gomega.BeFalse())
	_, ok = pls.PickByID("plain", "plain-z1", nil)
	gom.Expect(ok).To(gomega.BeFalse())
	gom.Expect(pls.HasUsable("plain", 1)).To(gomega.BeTrue())
	pls.Sync(all.WithBrittlePool("plain").WithEvacuated("z1"))
	for i := range 4 {
		gom.Expect(pls.TakeSlot("plain", string(rune('a'+i)), nil, 1, 1, clock.Clock{}.Now()+clock.Minute)).To(gomega.Equal("plain-z2"))
	}
	gom.Expect(pls.TakeSlot("plain", "t", nil, 1, 1, clock.Clock{}.Now()+clock.Minute)).To(gomega.BeEmpty())
	gom.Expect(pls.HasBuild("plain", "v1")).To(gomega.BeTrue())
	pls.Sync(all)
	_, ok = pls.Assign("engines", "engine-z1", "", "t", place.Ask{})
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(pls.HasUsable("plain", 2)).To(gomega.BeTrue())
}
