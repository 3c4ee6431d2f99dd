// Package walk runs one request through the graph of its stages, in both kinds of instance.
//
// A stage starts as soon as its inputs are available, in parallel with all stages that are still
// running (package graph). The caller decides what a stage is (a call with an effect, or items
// that other instances batch) and what a failure means. This package has the common rules: when
// a stage fails, the stages that run in parallel with it are cancelled, because their results
// can't be used. Their ends are still awaited, because their results and effects exist whatever
// the outcome of the request is.
package walk

import (
	"context"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

// Outcome is how a walk continues after the end of a stage.
type Outcome int

// The outcomes of the end of a stage.
const (
	// Done: the stage is done, and stages that depend on it may start.
	Done Outcome = iota
	// Reset: the run of the graph was reset, and continues from there.
	Reset
	// Failed: the request can't be answered; no further stage starts.
	Failed
)

// Callbacks are the callbacks of a walk. All except the function that Begin returns are called by
// the goroutine of the walk, so that they need no locks among themselves.
type Callbacks[T any] struct {
	// Estimate estimates the time of a stage that starts now, queueing included.
	Estimate func(stg int) clock.Milli
	// Start prepares a stage that starts now and returns the function that runs it.
	Start func(stg int) func(ctx context.Context) T
	// OnEnd is called when a stage has ended.
	OnEnd func(stg int, out T) Outcome
	// OnUnused is called for a stage whose results are no longer needed; it may be nil.
	OnUnused func(stg int)
	// OnCancelled is called at the end of a stage that was running when another one failed.
	OnCancelled func(stg int, out T)
}

// stageEnd is the end of a stage.
type stageEnd[T any] struct {
	stg int
	out T
}

// Run runs all stages and returns true, or false if one has failed. It returns after everything
// that it started has ended.
func Run[T any](ctx context.Context, run *graph.Run, cbs Callbacks[T]) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan stageEnd[T])
	running := 0
	for !run.Finished() {
		for _, stg := range run.Start(cbs.Estimate) {
			work := cbs.Start(stg)
			running++
			go func() { ends <- stageEnd[T]{stg: stg, out: work(ctx)} }()
		}
		end := <-ends
		running--
		switch cbs.OnEnd(end.stg, end.out) {
		case Failed:
			cancel()
			for ; running > 0; running-- {
				late := <-ends
				cbs.OnCancelled(late.stg, late.out)
			}
			return false
		case Done:
			for _, unused := range run.Done(end.stg) {
				if cbs.OnUnused != nil {
					cbs.OnUnused(unused)
				}
			}
		}
	}
	return true
}
