// Package chain links the filters that a request passes, in both kinds of instance.
//
// A filter either gives a result itself, and then nothing behind it sees the request, or
// calls the next one. What a filter took, a place or a claim, it gives back when the call
// of the next one returns; so everything is given back in the reverse order, whatever the
// end of the request was.
package chain

import (
	"context"

	"amaranthvalve/pkg/outcm"
)

// Next is the rest of a chain for requests of type C.
type Next[C any] func(ctx context.Context, cl C) outcm.Result

// Step is one filter of a chain for requests of type C.
type Step[C any] func(ctx context.Context, cl C, next Next[C]) outcm.Result

// Link gives the chain of the steps in their order, with last behind them.
func Link[C any](last Next[C], steps ...Step[C]) Next[C] {
	head := last
	for i := len(steps) - 1; i >= 0; i-- {
		head = before(steps[i], head)
	}
	return head
}

func before[C any](stp Step[C], next Next[C]) Next[C] {
	return func(ctx context.Context, cl C) outcm.Result { return stp(ctx, cl, next) }
}
