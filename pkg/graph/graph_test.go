package graph

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

// chat is a chain of three stages and an independent leaf.
func chat(t *testing.T) Graph {
	gr, err := New([][]int{{}, {}, {1}, {2}})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return gr
}

func none(int) bool { return false }

func ExampleGraph_Run() {
	gr, _ := New([][]int{{}, {0}})
	run := gr.Run(func(int) bool { return false })
	span := func(int) clock.Milli { return 200 }
	fmt.Println(run.Start(span), run.Done(0), run.Start(span), run.Done(1), run.Finished())
	// Output: [0] [] [1] [0] true
}

// TestInvalidGraphs: New rejects cycles and stages that do not exist; a stage may take results of
// one with a higher number.
func TestInvalidGraphs(t *testing.T) {
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

// TestLeafStartIsDelayed: the results of a leaf would occupy storage while the chain beside it
// runs. The leaf is delayed while the rest of the chain takes at least as long as the leaf, and
// starts sooner when its own pool is contended.
func TestLeafStartIsDelayed(t *testing.T) {
	gom := gomega.NewWithT(t)
	even := func(int) clock.Milli { return 300 }
	run := chat(t).Run(none)
	gom.Expect(run.Start(even)).To(gomega.Equal([]int{1}))
	run.Done(1)
	gom.Expect(run.Start(even)).To(gomega.Equal([]int{2}), "stage 3 takes as long and starts later")
	gom.Expect(run.Done(2)).To(gomega.Equal([]int{1}))
	gom.Expect(run.Start(even)).To(gomega.Equal([]int{0, 3}))

	contended := func(stg int) clock.Milli { return []clock.Milli{500, 300, 300, 300}[stg] }
	run = chat(t).Run(none)
	gom.Expect(run.Start(contended)).To(gomega.Equal([]int{1}))
	run.Done(1)
	gom.Expect(run.Start(contended)).To(gomega.Equal([]int{0, 2}), "started beside stage 3 it would be late")
}

// TestStagesWaitOnlyForInputs: a stage starts when its inputs are complete, even if a stage started
// with them still runs. Started in waves, each request waited at each wave for the slowest pool.
func TestStagesWaitOnlyForInputs(t *testing.T) {
	gom := gomega.NewWithT(t)
	gr, err := New([][]int{{}, {}, {0}, {1}})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	span := func(int) clock.Milli { return 100 }
	run := gr.Run(none)
	gom.Expect(run.Start(span)).To(gomega.Equal([]int{0, 1}))
	run.Done(1)
	gom.Expect(run.Start(span)).To(gomega.Equal([]int{3}))
}

// TestSkippedStage: a skipped stage does not block the stages that take its results.
func TestSkippedStage(t *testing.T) {
	gom := gomega.NewWithT(t)
	run := chat(t).Run(func(stg int) bool { return stg == 1 })
	gom.Expect(run.Start(func(int) clock.Milli { return 100 })).To(gomega.Equal([]int{2}))
}

// TestRunsFinish draws graphs, times and the order in which stages are done. Each stage starts once
// and never before its inputs are complete, some stage is always running until the run is finished,
// and results are released once, when no stage takes them any more.
func TestRunsFinish(t *testing.T) {
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
		finished, released := map[int]bool{}, map[int]bool{}
		var running []int
		for !run.Finished() {
			for _, stg := range run.Start(func(int) clock.Milli { return clock.Milli(rapid.IntRange(0, 500).Draw(t, "span")) }) {
				for _, pre := range after[stg] {
					if !finished[pre] && !skipped[pre] {
						t.Fatalf("stage %d started before stage %d was done", stg, pre)
					}
				}
				running = append(running, stg)
			}
			if len(running) == 0 {
				t.Fatalf("no stage is running and the run is not finished")
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
			stg := running[i]
			running = slices.Delete(running, i, i+1)
			if finished[stg] {
				t.Fatalf("stage %d started twice", stg)
			}
			finished[stg] = true
			for _, pre := range run.Done(stg) {
				if released[pre] || gr.IsLeaf(pre) {
					t.Fatalf("results of stage %d were released twice or are taken by the final call", pre)
				}
				released[pre] = true
			}
		}
	})
}

// TestLostInputs: the inputs of a stage are lost because their endpoint crashed. The stages that
// produced them run again, as do those before them whose results are no longer stored; the stage
// itself starts after them. Other finished stages are kept.
func TestLostInputs(t *testing.T) {
	gom := gomega.NewWithT(t)
	even := func(int) clock.Milli { return 300 }
	begun := func() *Run {
		run := chat(t).Run(func(stg int) bool { return stg == 0 })
		for _, stg := range []int{1, 2} {
			gom.Expect(run.Start(even)).To(gomega.Equal([]int{stg}))
			run.Done(stg)
		}
		gom.Expect(run.Start(even)).To(gomega.Equal([]int{3}))
		return run
	}
	run := begun()
	gom.Expect(run.Reset(3, none)).To(gomega.Equal([]int{2, 1}))
	for _, stg := range []int{1, 2, 3} {
		gom.Expect(run.Start(even)).To(gomega.Equal([]int{stg}))
		run.Done(stg)
	}
	gom.Expect(run.Finished()).To(gomega.BeTrue())

	run = begun()
	stored := func(stg int) bool { return stg == 1 }
	gom.Expect(run.Reset(3, stored)).To(gomega.Equal([]int{2}))
	gom.Expect(run.Start(even)).To(gomega.Equal([]int{2}))
}

// TestLastConsumer: two stages take the results of one. Only the second of them to be done is the
// last consumer.
func TestLastConsumer(t *testing.T) {
	gom := gomega.NewWithT(t)
	gr, err := New([][]int{{}, {0}, {0}})
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	span := func(int) clock.Milli { return 100 }
	run := gr.Run(none)
	run.Start(span)
	run.Done(0)
	gom.Expect(run.Start(span)).To(gomega.Equal([]int{1, 2}))
	gom.Expect(run.LastInputs(1)).To(gomega.BeEmpty())
	run.Done(1)
	gom.Expect(run.LastInputs(2)).To(gomega.Equal([]int{0}))
}
