package graph

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

// state is how far a stage is.
type state int

const (
	pending state = iota
	begun
	done
)

// Run is one request's way through a graph. It is made by [Graph.Run] and not safe for
// concurrent use.
type Run struct {
	gr     Graph
	states []state
	// without tells of each stage whether it is left out.
	without []bool
}

// Run returns a run in which nothing has begun. Stages without pieces are left out:
// whoever takes their results takes none.
func (gr Graph) Run(without func(stg int) bool) *Run {
	run := &Run{gr: gr, states: make([]state, gr.Len()), without: make([]bool, gr.Len())}
	for stg := range run.states {
		if without(stg) {
			run.states[stg], run.without[stg] = done, true
		}
	}
	return run
}

// Over tells whether all stages are done.
func (run *Run) Over() bool {
	return !slices.ContainsFunc(run.states, func(st state) bool { return st != done })
}

// Begin gives the stages that begin now, and notes that they have; span gives what a
// stage that begins now would take, waiting included. While the run isn't over and
// nothing is under way it gives at least one.
func (run *Run) Begin(span func(stg int) clock.Milli) []int {
	var ready []int
	for stg, st := range run.states {
		if st == pending && run.allDone(run.gr.after[stg]) {
			ready = append(ready, stg)
		}
	}
	ways := run.gr.Ways(func(stg int) clock.Milli {
		if run.states[stg] == done {
			return 0
		}
		return span(stg)
	})
	longest := run.longestToCome(ready, ways)
	starts := slices.DeleteFunc(slices.Clone(ready), func(stg int) bool {
		return run.gr.alone(stg) && longest >= ways[stg] && longest > 0
	})
	for _, stg := range starts {
		run.states[stg] = begun
	}
	return starts
}

// longestToCome gives the longest way of a stage that can't begin yet. When it can,
// another stage will have been done, and what is held is asked for again.
func (run *Run) longestToCome(ready []int, ways []clock.Milli) clock.Milli {
	longest := clock.Milli(0)
	for stg, st := range run.states {
		if st == pending && !slices.Contains(ready, stg) {
			longest = max(longest, ways[stg])
		}
	}
	return longest
}

// Done notes that a stage is done. It gives the stages whose results nobody will take
// any more; the final call takes those of leaves.
func (run *Run) Done(stg int) []int {
	run.states[stg] = done
	var unused []int
	for _, pre := range run.gr.after[stg] {
		if run.states[pre] == done && run.allDone(run.gr.next[pre]) {
			unused = append(unused, pre)
		}
	}
	return unused
}

// Last lists the stages whose results a stage is the last one to take: no other stage
// that isn't done takes them.
func (run *Run) Last(stg int) []int {
	return slices.DeleteFunc(slices.Clone(run.gr.after[stg]), func(pre int) bool {
		return slices.ContainsFunc(run.gr.next[pre], func(oth int) bool { return oth != stg && run.states[oth] != done })
	})
}

// Undo takes a stage back that was begun and found its inputs gone, and the stages that
// must be made again for it: those that it takes, and what these take unless it is still
// held. It gives the stages that were done and aren't any more.
func (run *Run) Undo(stg int, held func(stg int) bool) []int {
	run.states[stg] = pending
	var lost []int
	for _, pre := range run.gr.after[stg] {
		lost = append(lost, run.lose(pre, held)...)
	}
	return lost
}

func (run *Run) lose(stg int, held func(stg int) bool) []int {
	if run.states[stg] != done || run.without[stg] {
		return nil
	}
	run.states[stg] = pending
	lost := []int{stg}
	for _, pre := range run.gr.after[stg] {
		if !held(pre) {
			lost = append(lost, run.lose(pre, held)...)
		}
	}
	return lost
}

func (run *Run) allDone(list []int) bool {
	return !slices.ContainsFunc(list, func(stg int) bool { return run.states[stg] != done })
}
