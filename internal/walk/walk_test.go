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

// chat is a chain of two stages beside one that takes nothing, and one that takes both.
func chat(t *testing.T) *graph.Run {
	gr, err := graph.New([][]int{{}, {}, {1}, {0, 2}})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return gr.Run(func(int) bool { return false })
}

func even(int) clock.Milli { return 10 }

// TestAllAreMade: each stage runs once, after what it takes, and results are told as
// unused once their last taker is done.
func TestAllAreMade(t *testing.T) {
	gom := gomega.NewWithT(t)
	var order, unused []int
	ok := All(context.Background(), chat(t), Steps[int]{
		Span:   even,
		Begin:  func(stg int) func(context.Context) int { return func(context.Context) int { return stg } },
		Ended:  func(_, out int) Word { order = append(order, out); return Made },
		Unused: func(stg int) { unused = append(unused, stg) },
	})
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(order).To(gomega.HaveLen(4))
	gom.Expect(order[3]).To(gomega.Equal(3))
	gom.Expect(slices.Index(order, 1)).To(gomega.BeNumerically("<", slices.Index(order, 2)))
	gom.Expect(unused).To(gomega.ConsistOf(0, 1, 2))
}

// TestFailureEndsTheOthers: a stage fails while another one is at work. The other's
// context ends at once, for nobody can use what it makes; and it is heard to its end, for
// what it made takes room, and what it set off has run.
func TestFailureEndsTheOthers(t *testing.T) {
	gom := gomega.NewWithT(t)
	began := make(chan struct{})
	var left []int
	done := make(chan bool)
	go func() {
		done <- All(context.Background(), chat(t), Steps[string]{
			Span: even,
			Begin: func(stg int) func(context.Context) string {
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
			Ended: func(_ int, out string) Word {
				gom.Expect(out).To(gomega.Equal("failed"))
				return Failed
			},
			Left: func(stg int, out string) {
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
		t.Fatal("the walk waits for a stage that was not ended")
	}
}

// TestUndoneGoesOn: the inputs of a stage were lost. Whoever walks takes the run back;
// what was lost is made again, and the walk ends well.
func TestUndoneGoesOn(t *testing.T) {
	gom := gomega.NewWithT(t)
	run := chat(t)
	times := map[int]int{}
	ok := All(context.Background(), run, Steps[int]{
		Span:  even,
		Begin: func(stg int) func(context.Context) int { return func(context.Context) int { return stg } },
		Ended: func(stg, _ int) Word {
			times[stg]++
			if stg == 2 && times[2] == 1 {
				run.Reset(2, func(int) bool { return false })
				return Undone
			}
			return Made
		},
	})
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(times).To(gomega.Equal(map[int]int{0: 1, 1: 2, 2: 2, 3: 1}))
}
