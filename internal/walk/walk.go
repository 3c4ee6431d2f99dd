// Package walk runs one request through the graph of its stages, in both kinds of instance.
//
// A stage starts as soon as its inputs are available, in parallel with whatever still runs
// (package graph). What a stage is, a call with an effect or items that other instances batch,
// and what a failure means is decided by the caller. This package has what is common to all: a
// failed stage cancels those in parallel to it, because their results can't be used, and the
// end of each of them is still awaited, because its results or effects exist whatever the
// outcome of the request.
package walk

import (
	"context"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

// Word is how a walk continues after the end of a stage.
type Word int

// The ways to continue.
const (
	// Made: the stage is done, and stages that depend on it may start.
	Made Word = iota
	// Undone: the run of the graph was reset, and continues from there.
	Undone
	// Failed: the request can't be answered; no further stage starts.
	Failed
)

// Steps are the callbacks of a walk. All except the function that Begin returns are called by
// the goroutine of the walk, so that they need no locks among themselves.
type Steps[T any] struct {
	// Span estimates the time of a stage that starts now, queueing included.
	Span func(stg int) clock.Milli
	// Begin prepares a stage that starts now and returns the function that runs it.
	Begin func(stg int) func(ctx context.Context) T
	// Ended is called when a stage has ended.
	Ended func(stg int, out T) Word
	// Unused is called for a stage whose results are no longer needed; it may be nil.
	Unused func(stg int)
	// Left is called at the end of a stage that was running when another one failed.
	Left func(stg int, out T)
}

// stageEnd is the end of a stage.
type stageEnd[T any] struct {
	stg int
	out T
}

// All runs all stages and returns true, or false if one has failed. It returns after everything
// that it started has ended.
func All[T any](ctx context.Context, run *graph.Run, stp Steps[T]) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan stageEnd[T])
	running := 0
	for !run.Over() {
		for _, stg := range run.Start(stp.Span) {
			work := stp.Begin(stg)
			running++
			go func() { ends <- stageEnd[T]{stg: stg, out: work(ctx)} }()
		}
		end := <-ends
		running--
		switch stp.Ended(end.stg, end.out) {
		case Failed:
			cancel()
			for ; running > 0; running-- {
				late := <-ends
				stp.Left(late.stg, late.out)
			}
			return false
		case Made:
			for _, unused := range run.Done(end.stg) {
				if stp.Unused != nil {
					stp.Unused(unused)
				}
			}
		}
	}
	return true
}
