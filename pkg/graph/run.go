package graph

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

// state is the progress of a stage.
type state int

const (
	pending state = iota
	running
	done
)

// Run is the execution of a graph for one request. It is made by [Graph.Run] and not safe for
// concurrent use.
type Run struct {
	gr     Graph
	states []state
	// skipped marks the stages that are left out.
	skipped []bool
}

// Run returns a run in which no stage has started. Skipped stages have no items and count as done,
// without results.
func (gr Graph) Run(skipped func(stg int) bool) *Run {
	run := &Run{gr: gr, states: make([]state, gr.Len()), skipped: make([]bool, gr.Len())}
	for stg := range run.states {
		if skipped(stg) {
			run.states[stg], run.skipped[stg] = done, true
		}
	}
	return run
}

// Finished reports whether all stages are done.
func (run *Run) Finished() bool {
	return !slices.ContainsFunc(run.states, func(st state) bool { return st != done })
}

// Start returns the stages to start now and marks them as running; span estimates the time of a
// stage started now, including its wait. It returns at least one stage unless the run is finished
// or a stage is running.
func (run *Run) Start(span func(stg int) clock.Milli) []int {
	var ready []int
	for stg, st := range run.states {
		if st == pending && run.allDone(run.gr.after[stg]) {
			ready = append(ready, stg)
		}
	}
	times := run.gr.PathTimes(func(stg int) clock.Milli {
		if run.states[stg] == done {
			return 0
		}
		return span(stg)
	})
	longest := run.longestBlocked(ready, times)
	starts := slices.DeleteFunc(slices.Clone(ready), func(stg int) bool {
		return run.gr.independent(stg) && longest >= times[stg] && longest > 0
	})
	for _, stg := range starts {
		run.states[stg] = running
	}
	return starts
}

// longestBlocked returns the longest path of a stage that cannot start yet. By the time it can,
// another stage will be done, and delayed stages are considered again.
func (run *Run) longestBlocked(ready []int, times []clock.Milli) clock.Milli {
	longest := clock.Milli(0)
	for stg, st := range run.states {
		if st == pending && !slices.Contains(ready, stg) {
			longest = max(longest, times[stg])
		}
	}
	return longest
}

// Done marks a stage as done and returns the stages whose results no stage will take any more.
// Results of leaves are not included, since the final call takes them.
func (run *Run) Done(stg int) []int {
	run.states[stg] = done
	var unused []int
	for _, pre := range run.gr.after[stg] {
		if run.states[pre] == done && run.allDone(run.gr.consumers[pre]) {
			unused = append(unused, pre)
		}
	}
	return unused
}

// LastInputs returns the stages whose results only this stage still has to take.
func (run *Run) LastInputs(stg int) []int {
	return slices.DeleteFunc(slices.Clone(run.gr.after[stg]), func(pre int) bool {
		return slices.ContainsFunc(run.gr.consumers[pre], func(oth int) bool { return oth != stg && run.states[oth] != done })
	})
}

// Reset resets a running stage whose inputs were lost, and the stages that must run again for it:
// those whose results it takes and, recursively, those whose results they take, unless stored
// reports that a result is still there. It returns the stages that were done and no longer are.
func (run *Run) Reset(stg int, stored func(stg int) bool) []int {
	run.states[stg] = pending
	var lost []int
	for _, pre := range run.gr.after[stg] {
		lost = append(lost, run.invalidate(pre, stored)...)
	}
	return lost
}

func (run *Run) invalidate(stg int, stored func(stg int) bool) []int {
	if run.states[stg] != done || run.skipped[stg] {
		return nil
	}
	run.states[stg] = pending
	lost := []int{stg}
	for _, pre := range run.gr.after[stg] {
		if !stored(pre) {
			lost = append(lost, run.invalidate(pre, stored)...)
		}
	}
	return lost
}

func (run *Run) allDone(list []int) bool {
	return !slices.ContainsFunc(list, func(stg int) bool { return run.states[stg] != done })
}
