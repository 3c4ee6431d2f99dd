// Package walk takes one request through the graph of its stages, in both kinds of
// instance.
//
// A stage begins as soon as what it takes is made, beside whatever still runs (package
// graph). What a stage is, a call with an effect or pieces that other instances gather,
// is its caller's matter; so is what a failure means. What is the same for all is here:
// that a failed stage ends those beside it, since nobody can use what they make, and that
// each of them is still heard to its end, because what it made or set off is there
// whatever became of the request.
package walk

import (
	"context"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/graph"
)

// Word is what a walk is told when a stage has ended.
type Word int

// The words.
const (
	// Made: the stage is done, and what takes its results may begin.
	Made Word = iota
	// Undone: the graph's run was set back, and goes on from there.
	Undone
	// Failed: the request can't be answered; nothing more begins.
	Failed
)

// Steps are what a walk does with stages. All but what Begin gives are called by the
// goroutine of the walk, so that they need no lock among themselves.
type Steps[T any] struct {
	// Span gives what a stage that begins now would take, waiting included.
	Span func(stg int) clock.Milli
	// Begin prepares a stage that begins now and gives what runs it.
	Begin func(stg int) func(ctx context.Context) T
	// Ended is told how a stage ended.
	Ended func(stg int, out T) Word
	// Unused is told of stages whose results nobody will take any more; it may be nil.
	Unused func(stg int)
	// Left is told how a stage ended that was under way when another had failed.
	Left func(stg int, out T)
}

// ended is the end of a stage.
type ended[T any] struct {
	stg int
	out T
}

// All walks until all stages are done, or one has failed; false then. It returns when
// nothing that it began is under way any more.
func All[T any](ctx context.Context, run *graph.Run, stp Steps[T]) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan ended[T])
	under := 0
	for !run.Over() {
		for _, stg := range run.Start(stp.Span) {
			work := stp.Begin(stg)
			under++
			go func() { ends <- ended[T]{stg: stg, out: work(ctx)} }()
		}
		end := <-ends
		under--
		switch stp.Ended(end.stg, end.out) {
		case Failed:
			cancel()
			for ; under > 0; under-- {
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
