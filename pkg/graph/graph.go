package graph

import (
	"fmt"
	"slices"

	"amaranthvalve/pkg/clock"
)

// Graph is the dependency graph of stages, numbered from 0. The zero value has no stages. It is
// immutable and may be shared.
type Graph struct {
	after     [][]int
	consumers [][]int
	// topo lists the stages in topological order.
	topo []int
}

// New returns the graph in which stage i takes the results of the stages after[i]. It fails for
// stages that do not exist and for cycles.
func New(after [][]int) (Graph, error) {
	gr := Graph{after: after, consumers: make([][]int, len(after))}
	missing := make([]int, len(after))
	for stg, pres := range after {
		for _, pre := range pres {
			if pre < 0 || pre >= len(after) {
				return Graph{}, fmt.Errorf("stage %d takes results of stage %d, which does not exist", stg, pre)
			}
			gr.consumers[pre] = append(gr.consumers[pre], stg)
		}
		missing[stg] = len(pres)
	}
	for stg, count := range missing {
		if count == 0 {
			gr.topo = append(gr.topo, stg)
		}
	}
	for i := 0; i < len(gr.topo); i++ {
		for _, nxt := range gr.consumers[gr.topo[i]] {
			if missing[nxt]--; missing[nxt] == 0 {
				gr.topo = append(gr.topo, nxt)
			}
		}
	}
	if len(gr.topo) < len(after) {
		return Graph{}, fmt.Errorf("%d stages depend on one another in a cycle", len(after)-len(gr.topo))
	}
	return gr, nil
}

// Len returns the number of stages.
func (gr Graph) Len() int { return len(gr.after) }

// After returns the stages whose results a stage takes.
func (gr Graph) After(stg int) []int { return gr.after[stg] }

// IsLeaf reports whether no other stage takes a stage's results, so that only the final call does.
func (gr Graph) IsLeaf(stg int) bool { return len(gr.consumers[stg]) == 0 }

// independent reports whether a stage takes no results and only the final call takes its own.
func (gr Graph) independent(stg int) bool { return len(gr.after[stg]) == 0 && gr.IsLeaf(stg) }

// Leaves returns the stages whose results the final call takes.
func (gr Graph) Leaves() []int {
	var last []int
	for stg := range gr.after {
		if gr.IsLeaf(stg) {
			last = append(last, stg)
		}
	}
	return last
}

// PathTimes returns for each stage the time of the longest path from its start to the final call;
// span gives the time of one stage.
func (gr Graph) PathTimes(span func(stg int) clock.Milli) []clock.Milli {
	times := make([]clock.Milli, len(gr.after))
	for _, stg := range slices.Backward(gr.topo) {
		for _, nxt := range gr.consumers[stg] {
			times[stg] = max(times[stg], times[nxt])
		}
		times[stg] += span(stg)
	}
	return times
}

// Longest returns the time of the critical path.
func (gr Graph) Longest(span func(stg int) clock.Milli) clock.Milli {
	if len(gr.after) == 0 {
		return 0
	}
	return slices.Max(gr.PathTimes(span))
}
