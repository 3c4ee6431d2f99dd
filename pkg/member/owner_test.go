package member

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/ident"
)

// TestOwnersByCapacity: members own names in proportion to their capacity, and weak ones
// only if there is no other member: a member with a fifth of a core that coordinated a pool
// would delay all requests. All members compute the same ranking.
func TestOwnersByCapacity(t *testing.T) {
	gom := gomega.NewWithT(t)
	capacity := map[ident.Incarnation]float64{"a#1": 0.8, "b#1": 0.4, "c#1": 0.1, "d#1": 0.8}
	build := func(self ident.Incarnation) *List {
		lst := New(self, "z", "", 0)
		lst.SetCapacity(capacity[self])
		for who, cores := range capacity {
			lst.Merge([]Update{{ID: who, Seq: 1, Beat: 1, Capacity: cores}}, 0)
		}
		return lst
	}
	one, two := build("a#1"), build("c#1")
	first := map[ident.Incarnation]int{}
	for i := range 1000 {
		name := fmt.Sprint(i)
		owners := one.Owners(name)
		gom.Expect(owners).To(gomega.Equal(two.Owners(name)))
		gom.Expect(owners[3]).To(gomega.BeEquivalentTo("c#1"))
		first[owners[0]]++
	}
	gom.Expect(first["a#1"]).To(gomega.BeNumerically("~", 400, 60))
	gom.Expect(first["b#1"]).To(gomega.BeNumerically("~", 200, 50))
}

// Guards against a coordinator that reaches no endpoint, while others do: all instances send it their
// orders. The change has to reach the others before its next period.
func TestBlindMembersOwnLast(t *testing.T) {
	gom := gomega.NewWithT(t)
	lists := map[ident.Incarnation]*List{}
	ids := []ident.Incarnation{"a#1", "b#1", "c#1"}
	for _, self := range ids {
		lists[self] = New(self, "z", "", 0)
		for _, who := range ids {
			lists[self].Merge([]Update{{ID: who, Seq: 1}}, 0)
		}
	}
	first := lists["a#1"].Owners("pool")[0]
	for _, blind := range []bool{true, false} {
		lists[first].SetBlind(blind, false)
		for _, who := range ids {
			if who != first {
				lists[who].Merge(lists[first].Updates(who), 10)
			}
		}
		for _, who := range ids {
			owners := lists[who].Owners("pool")
			gom.Expect(owners[0] == first).To(gomega.Equal(!blind), string(who))
			gom.Expect(owners).To(gomega.HaveLen(3))
		}
	}
	for _, who := range ids {
		lists[who].SetBlind(true, false)
		lists[first].Merge(lists[who].Updates(first), 20)
	}
	gom.Expect(lists[first].Owners("pool")[0]).To(gomega.Equal(first))
}
