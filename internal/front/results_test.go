package front

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/plan"
)

// chained is a request with a small result of a first stage and large ones of a second,
// both made.
func chained(t *testing.T) *call {
	pln, faults := plan.Compile(plan.Draft{
		Pools: []plan.DraftPool{
			{Name: "encode", Batch: &plan.DraftBatch{Places: 1, Most: 12, Call: 240, Item: 17, Room: 14_000_000}},
			{Name: "search", Batch: &plan.DraftBatch{Places: 1, Most: 34, Call: 240, Item: 6, Room: 3_700_000}},
			{Name: "model", Engine: &plan.DraftEngine{Places: 48}},
		},
		Routes: []plan.DraftRoute{{
			Name: "ask", Host: "h", Prefix: "/", Kind: "streaming", Goal: 2300, Timeout: 20000,
			Targets: []plan.DraftTarget{{Pool: "model", Weight: 1}},
			Stages: []plan.DraftStage{
				{Pool: "encode", Bytes: 8000}, {Pool: "search", After: []int{0}, Bytes: 60000}, {Pool: "search", After: []int{1}, Bytes: 60},
			},
		}},
	})
	gomega.NewWithT(t).Expect(faults).To(gomega.BeEmpty())
	handles := func(count int) []batch.Handle { return make([]batch.Handle, count) }
	return &call{
		view: state.ViewOf(pln), route: pln.Routes()[0],
		made: []made{{stage: 0, pool: "encode", list: handles(1)}, {stage: 1, pool: "search", list: handles(4)}},
	}
}

// TestLightInputsAreHeld: a chain begins with a result of 8 KB, whose makers hold 14 MB. The
// call that takes it fetches it at once and then finds no room for what it makes. The
// result is still held, so that the call can be made again elsewhere; given back after the fetch,
// the whole request was refused. Results of 60 KB, at makers that hold 3.7 MB, are given back:
// held, they would keep the next ones from being made.
func TestLightInputsAreHeld(t *testing.T) {
	gom := gomega.NewWithT(t)
	cl := chained(t)
	gom.Expect(cl.heavy([]int{0})).To(gomega.BeEmpty())
	gom.Expect(cl.heavy([]int{1})).To(gomega.Equal([]int{1}))
	gom.Expect(cl.heavy([]int{0, 1})).To(gomega.Equal([]int{1}))
}
