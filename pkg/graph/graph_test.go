package graph

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

// chat is a chain of three stages beside a leaf of its own.
func chat(t *testing.T) Graph {
	gr, err := New([][]int{{}, {}, {1}, {2}})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return gr
}

func all(int) bool { return false }

func ExampleGraph_Run() {
	gr, _ := New([][]int{{}, {0}})
	run := gr.Run(func(int) bool { return false })
	span := func(int) clock.Milli { return 200 }
	fmt.Println(run.Begin(span), run.Done(0), run.Begin(span), run.Done(1), run.Over())
	// Output: [0] [] [1] [0] true
}

// TestFaulty: a circle and a stage that there isn't are told; a stage may take results
// of one with a higher number.
func TestFaulty(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, after := range [][][]int{{{1}, {0}}, {{0}}, {{}, {7}}, {{-1}}} {
		_, err := New(after)
		gom.Expect(err).To(gomega.HaveOccurred(), "%v", after)
	}
	gr, err := New([][]int{{1}, {}})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(gr.Leaves()).To(gomega.Equal([]int{0}))
	gom.Expect(gr.Longest(func(int) clock.Milli { return 10 })).To(gomega.Equal(clock.Milli(20)))
}

// TestLeafIsHeld: a leaf's results would take room while a chain beside it is made. It
// is held as long as the chain that has not begun takes longer than it does, and
// begins sooner when its own pool is crowded.
func TestLeafIsHeld(t *testing.T) {
	gom := gomega.NewWithT(t)
	even := func(int) clock.Milli { return 300 }
	run := chat(t).Run(all)
	gom.Expect(run.Begin(even)).To(gomega.Equal([]int{1}))
	run.Done(1)
	gom.Expect(run.Begin(even)).To(gomega.Equal([]int{2}), "stage 3 takes as long and comes later")
	gom.Expect(run.Done(2)).To(gomega.Equal([]int{1}))
	gom.Expect(run.Begin(even)).To(gomega.Equal([]int{0, 3}))

	crowded := func(stg int) clock.Milli { return []clock.Milli{500, 300, 300, 300}[stg] }
	run = chat(t).Run(all)
	gom.Expect(run.Begin(crowded)).To(gomega.Equal([]int{1}))
	run.Done(1)
	gom.Expect(run.Begin(crowded)).To(gomega.Equal([]int{0, 2}), "beside stage 3 alone it would be late")
}

// TestNothingWaitsForStrangers: a stage begins when what it takes is made, though a
// sister that began with it has not ended. Started in waves, each request waited at
// each wave for the slowest pool.
func TestNothingWaitsForStrangers(t *testing.T) {
	gom := gomega.NewWithT(t)
	gr, err := New([][]int{{}, {}, {0}, {1}})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	span := func(int) clock.Milli { return 100 }
	run := gr.Run(all)
	gom.Expect(run.Begin(span)).To(gomega.Equal([]int{0, 1}))
	run.Done(1)
	gom.Expect(run.Begin(span)).To(gomega.Equal([]int{3}))
}

// TestWithoutPieces: a stage that a request has no pieces of is no hindrance.
func TestWithoutPieces(t *testing.T) {
	gom := gomega.NewWithT(t)
	run := chat(t).Run(func(stg int) bool { return stg == 1 })
	gom.Expect(run.Begin(func(int) clock.Milli { return 100 })).To(gomega.Equal([]int{2}))
}

// TestRunsEnd draws graphs, times and the order in which stages end. Each stage begins
// once, never before what it takes is made, something is always under way until all
// is done, and results are given up once, when nobody takes them any more.
func TestRunsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "stages")
		after := make([][]int, count)
		for stg := range after {
			for pre := range stg {
				if rapid.IntRange(0, 2).Draw(t, "takes") == 0 {
					after[stg] = append(after[stg], pre)
				}
			}
		}
		gr, err := New(after)
		if err != nil {
			t.Fatal(err)
		}
		skipped := map[int]bool{}
		run := gr.Run(func(stg int) bool {
			skipped[stg] = rapid.IntRange(0, 4).Draw(t, "skipped") == 0
			return skipped[stg]
		})
		over, given := map[int]bool{}, map[int]bool{}
		var under []int
		for !run.Over() {
			for _, stg := range run.Begin(func(int) clock.Milli { return clock.Milli(rapid.IntRange(0, 500).Draw(t, "span")) }) {
				for _, pre := range after[stg] {
					if !over[pre] && !skipped[pre] {
						t.Fatalf("stage %d began before stage %d", stg, pre)
					}
				}
				under = append(under, stg)
			}
			if len(under) == 0 {
				t.Fatalf("nothing is under way")
			}
			i := rapid.IntRange(0, len(under)-1).Draw(t, "ends")
			stg := under[i]
			under = slices.Delete(under, i, i+1)
			if over[stg] {
				t.Fatalf("stage %d began twice", stg)
			}
			over[stg] = true
			for _, pre := range run.Done(stg) {
				if given[pre] || gr.IsLeaf(pre) {
					t.Fatalf("results of stage %d given up", pre)
				}
				given[pre] = true
			}
		}
	})
}

// TestLostInputs: the inputs of a stage are gone, for their maker died. The stages that
// made them begin once more, and what these take too unless it is still held; the stage
// itself begins after them. Sisters that are done stay so.
func TestLostInputs(t *testing.T) {
	gom := gomega.NewWithT(t)
	even := func(int) clock.Milli { return 300 }
	begun := func() *Run {
		run := chat(t).Run(func(stg int) bool { return stg == 0 })
		for _, stg := range []int{1, 2} {
			gom.Expect(run.Begin(even)).To(gomega.Equal([]int{stg}))
			run.Done(stg)
		}
		gom.Expect(run.Begin(even)).To(gomega.Equal([]int{3}))
		return run
	}
	run := begun()
	gom.Expect(run.Undo(3, all)).To(gomega.Equal([]int{2, 1}))
	for _, stg := range []int{1, 2, 3} {
		gom.Expect(run.Begin(even)).To(gomega.Equal([]int{stg}))
		run.Done(stg)
	}
	gom.Expect(run.Over()).To(gomega.BeTrue())

	run = begun()
	held := func(stg int) bool { return stg == 1 }
	gom.Expect(run.Undo(3, held)).To(gomega.Equal([]int{2}))
	gom.Expect(run.Begin(even)).To(gomega.Equal([]int{2}))
}

// TestLastToTake: two stages take the results of one. Only the second of them to be done
// is the last that takes them.
func TestLastToTake(t *testing.T) {
	gom := gomega.NewWithT(t)
	gr, err := New([][]int{{}, {0}, {0}})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	span := func(int) clock.Milli { return 100 }
	run := gr.Run(all)
	run.Begin(span)
	run.Done(0)
	gom.Expect(run.Begin(span)).To(gomega.Equal([]int{1, 2}))
	gom.Expect(run.Last(1)).To(gomega.BeEmpty())
	run.Done(1)
	gom.Expect(run.Last(2)).To(gomega.Equal([]int{0}))
}
