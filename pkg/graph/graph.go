package graph

import (
	"fmt"
	"slices"

	"amaranthvalve/pkg/clock"
)

// Graph tells which stages take the results of which. Stages are numbered from 0. The
// zero value has no stages. It is never changed and may be shared.
type Graph struct {
	after [][]int
	next  [][]int
	// order has each stage behind all that it takes.
	order []int
}

// New returns the graph of stages whose results each one takes. It fails for a stage
// that there isn't, and for stages that wait for one another in a circle.
func New(after [][]int) (Graph, error) {
	gr := Graph{after: after, next: make([][]int, len(after))}
	missing := make([]int, len(after))
	for stg, pres := range after {
		for _, pre := range pres {
			if pre < 0 || pre >= len(after) {
				return Graph{}, fmt.Errorf("stage %d takes results of stage %d, which there isn't", stg, pre)
			}
			gr.next[pre] = append(gr.next[pre], stg)
		}
		missing[stg] = len(pres)
	}
	for stg, count := range missing {
		if count == 0 {
			gr.order = append(gr.order, stg)
		}
	}
	for i := 0; i < len(gr.order); i++ {
		for _, nxt := range gr.next[gr.order[i]] {
			if missing[nxt]--; missing[nxt] == 0 {
				gr.order = append(gr.order, nxt)
			}
		}
	}
	if len(gr.order) < len(after) {
		return Graph{}, fmt.Errorf("%d stages wait for one another in a circle", len(after)-len(gr.order))
	}
	return gr, nil
}

// Len gives the number of stages.
func (gr Graph) Len() int { return len(gr.after) }

// After lists the stages whose results a stage takes.
func (gr Graph) After(stg int) []int { return gr.after[stg] }

// IsLeaf tells whether no other stage takes a stage's results, so that the final call
// does.
func (gr Graph) IsLeaf(stg int) bool { return len(gr.next[stg]) == 0 }

// alone tells whether a stage takes no results and only the final call takes its own.
func (gr Graph) alone(stg int) bool { return len(gr.after[stg]) == 0 && gr.IsLeaf(stg) }

// Leaves lists the stages whose results the final call takes.
func (gr Graph) Leaves() []int {
	var last []int
	for stg := range gr.after {
		if gr.IsLeaf(stg) {
			last = append(last, stg)
		}
	}
	return last
}

// Ways gives for each stage the time from its beginning to the end of the longest
// chain that it heads; span gives what one stage takes.
func (gr Graph) Ways(span func(stg int) clock.Milli) []clock.Milli {
	ways := make([]clock.Milli, len(gr.after))
	for _, stg := range slices.Backward(gr.order) {
		for _, nxt := range gr.next[stg] {
			ways[stg] = max(ways[stg], ways[nxt])
		}
		ways[stg] += span(stg)
	}
	return ways
}

// Longest gives the time of the longest chain.
func (gr Graph) Longest(span func(stg int) clock.Milli) clock.Milli {
	if len(gr.after) == 0 {
		return 0
	}
	return slices.Max(gr.Ways(span))
}
