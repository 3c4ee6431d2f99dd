package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/ident"
)

// system returns instances in data centres of a size, and those of one data centre that are blind.
func system(zones, size, blind int) (sound []Relay, cut []ident.Incarnation) {
	for zone := range zones {
		for i := range size {
			id := ident.Incarnation(fmt.Sprintf("10.%d.0.%d:8500#a", zone, i))
			if zone == 0 && i < blind {
				cut = append(cut, id)
				continue
			}
			sound = append(sound, Relay{ID: id, Zone: fmt.Sprintf("dc%d", zone), Load: 5, Capacity: 1})
		}
	}
	return sound, cut
}

// Guards against a partitioned data centre whose connections all go through a few instances, at the
// sizes of the users' deployments.
func TestRelaysShareConnections(t *testing.T) {
	for _, tst := range []struct{ zones, size, blind int }{{4, 2, 1}, {4, 2, 2}, {3, 22, 20}, {3, 22, 22}, {3, 65, 60}, {3, 65, 65}} {
		t.Run(fmt.Sprintf("%d of %d", tst.blind, tst.zones*tst.size), func(t *testing.T) {
			gom := gomega.NewWithT(t)
			rng := rand.New(rand.NewPCG(1, 2))
			sound, cut := system(tst.zones, tst.size, tst.blind)
			carried, used := map[ident.Incarnation]int{}, map[ident.Incarnation]map[ident.Incarnation]bool{}
			const each = 20
			for _, self := range cut {
				var rls Relays
				used[self] = map[ident.Incarnation]bool{}
				for range each {
					chosen := rls.Choose(self, sound, []string{"dc0", "dc1"}, rng, 0)
					gom.Expect(len(chosen)).To(gomega.BeNumerically("<=", maxTries))
					rls.Opened(chosen[0].ID)
					carried[chosen[0].ID]++
					used[self][chosen[0].ID] = true
				}
				gom.Expect(len(used[self])).To(gomega.BeNumerically("<=", maxRelays))
			}
			most := 0
			for _, count := range carried {
				most = max(most, count)
			}
			fair := float64(each*len(cut)) / float64(len(sound))
			t.Logf("%d sound instances, %.1f connections each if shared evenly, %d at most, %d instances used", len(sound), fair, most, len(carried))
			gom.Expect(float64(most)).To(gomega.BeNumerically("<=", 4*fair+float64(each)/2))
		})
	}
}

// Guards against connections that cross between data centres twice while there are near relays, and
// against overloading these.
func TestNearRelaysArePreferred(t *testing.T) {
	gom := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 4))
	cands := []Relay{{ID: "near", Zone: "dc0", Load: 5, Capacity: 1}, {ID: "far", Zone: "dc2", Load: 5, Capacity: 1}}
	var rls Relays
	near := 0
	for range 100 {
		if rls.Choose("self", cands, []string{"dc0", "dc1"}, rng, 0)[0].ID == "near" {
			near++
		}
	}
	gom.Expect(near).To(gomega.BeNumerically(">", 60))
	cands[0].Load = 50
	near = 0
	for range 100 {
		if rls.Choose("self", cands, []string{"dc0", "dc1"}, rng, 0)[0].ID == "near" {
			near++
		}
	}
	gom.Expect(near).To(gomega.BeNumerically("<", 40))
}

// Guards against trying a relay again and again that is partitioned itself.
func TestFailedRelayIsAvoided(t *testing.T) {
	gom := gomega.NewWithT(t)
	rng := rand.New(rand.NewPCG(5, 6))
	cands := []Relay{{ID: "one", Capacity: 1}, {ID: "two", Capacity: 1}}
	var rls Relays
	rls.Avoid("one", 100)
	for range 20 {
		gom.Expect(rls.Choose("self", cands, nil, rng, 101)).To(gomega.HaveLen(1))
	}
	gom.Expect(rls.Choose("self", cands, nil, rng, 100+avoidFor)).To(gomega.HaveLen(2))
	rls.Avoid("two", 101)
	gom.Expect(rls.Choose("self", cands, nil, rng, 102)).To(gomega.BeEmpty())
}
