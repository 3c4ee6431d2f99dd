package walk

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

// newRun returns the run of a graph in which a chain of two stages runs in parallel with a
// third one, and a last stage depends on both.
func newRun(t *testing.T) *graph.Run {
	gr, err := graph.New([][]int{{}, {}, {1}, {0, 2}})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return gr.Run(func(int) bool { return false })
}

func constantEstimate(int) clock.Milli { return 10 }

// Guards against stages that run twice or before their inputs are available, and against
// results that are never reported as unused: they are once the last stage that depends on them
// is done.
func TestEachStageRunsOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	var order, unused []int
	ok := Run(context.Background(), newRun(t), Callbacks[int]{
		Estimate: constantEstimate,
		Start:    func(stg int) func(context.Context) int { return func(context.Context) int { return stg } },
		OnEnd:    func(_, out int) Outcome { order = append(order, out); return Done },
		OnUnused: func(stg int) { unused = append(unused, stg) },
	})
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(order).To(gomega.HaveLen(4))
	gom.Expect(order[3]).To(gomega.Equal(3))
	gom.Expect(slices.Index(order, 1)).To(gomega.BeNumerically("<", slices.Index(order, 2)))
	gom.Expect(unused).To(gomega.ConsistOf(0, 1, 2))
}

// Guards against stages left running when a parallel one fails. The context of the other stage
// must end at once, because its result can't be used. Its end must still be awaited, because
// its results occupy storage and its effects have happened.
func TestFailureCancelsOthers(t *testing.T) {
	gom := gomega.NewWithT(t)
	began := make(chan struct{})
	var left []int
	done := make(chan bool)
	go func() {
		done <- Run(context.Background(), newRun(t), Callbacks[string]{
			Estimate: constantEstimate,
			Start: func(stg int) func(context.Context) string {
				if stg == 0 {
					return func(ctx context.Context) string {
						close(began)
						<-ctx.Done()
						return "ended"
					}
				}
				return func(context.Context) string {
					<-began
					return "failed"
				}
			},
			OnEnd: func(_ int, out string) Outcome {
				gom.Expect(out).To(gomega.Equal("failed"))
				return Failed
			},
			OnCancelled: func(stg int, out string) {
				gom.Expect(out).To(gomega.Equal("ended"))
				left = append(left, stg)
			},
		})
	}()
	select {
	case ok := <-done:
		gom.Expect(ok).To(gomega.BeFalse())
		gom.Expect(left).To(gomega.Equal([]int{0}))
	case <-time.After(5 * time.Second):
		t.Fatal("the walk still waits for a stage that should have been cancelled")
	}
}

// Guards against a walk that ends or hangs when the inputs of a stage are lost. The caller
// resets the run, the lost results are recomputed, and the walk completes.
func TestResetStagesRunAgain(t *testing.T) {
	gom := gomega.NewWithT(t)
	run := newRun(t)
	times := map[int]int{}
	ok := Run(context.Background(), run, Callbacks[int]{
		Estimate: constantEstimate,
		Start:    func(stg int) func(context.Context) int { return func(context.Context) int { return stg } },
		OnEnd: func(stg, _ int) Outcome {
			times[stg]++
			if stg == 2 && times[2] == 1 {
				run.Reset(2, func(int) bool { return false })
				return Reset
			}
			return Done
		},
	})
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(times).To(gomega.Equal(map[int]int{0: 1, 1: 2, 2: 2, 3: 1}))
}
