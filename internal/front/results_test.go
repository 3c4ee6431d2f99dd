package front

import (
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/state"
	"amaranthvalve/pkg/plan"
)

// chainedCall returns a request with a small result of its first stage and large ones of its
// second.
func chainedCall(t *testing.T) *call {
	pln, faults := plan.Compile(plan.Draft{
		Pools: []plan.DraftPool{
			{Name: "encode", Batch: &plan.DraftBatch{Slots: 1, MaxItems: 12, BatchMs: 240, ItemMs: 17, ResultBytes: 14_000_000}},
			{Name: "search", Batch: &plan.DraftBatch{Slots: 1, MaxItems: 34, BatchMs: 240, ItemMs: 6, ResultBytes: 3_700_000}},
			{Name: "model", Engine: &plan.DraftEngine{Slots: 48}},
		},
		Routes: []plan.DraftRoute{{
			Name: "ask", Host: "h", Prefix: "/", Kind: "streaming", TargetLatency: 2300, Timeout: 20000,
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
		results: []stageResults{{stage: 0, pool: "encode", handles: handles(1)}, {stage: 1, pool: "search", handles: handles(4)}},
	}
}

// Guards against releasing a small input (8 KB, at endpoints that hold 14 MB) as soon as it was
// fetched: if the batch that fetched it then finds no storage for its own results, it can't be
// repeated elsewhere and the whole request is refused. Results of 60 KB, at endpoints that hold
// 3.7 MB, must be released early, since they would keep further results from being made.
func TestLightInputsAreHeld(t *testing.T) {
	gom := gomega.NewWithT(t)
	cl := chainedCall(t)
	gom.Expect(cl.releasedEarly([]int{0})).To(gomega.BeEmpty())
	gom.Expect(cl.releasedEarly([]int{1})).To(gomega.Equal([]int{1}))
	gom.Expect(cl.releasedEarly([]int{0, 1})).To(gomega.Equal([]int{1}))
}
