// Package chain links the filters that a request passes, in both kinds of instance.
//
// A filter either returns a result itself, and the filters behind it don't see the request, or calls
// the next one. What a filter acquired, such as a slot or a claim, it releases when the call of the
// next one returns; so everything is released in reverse order, however the request ended.
package chain

import (
	"context"

	"amaranthvalve/pkg/outcm"
)

// Next is the rest of a chain for requests of type C.
type Next[C any] func(ctx context.Context, cl C) outcm.Result

// Step is one filter of a chain for requests of type C.
type Step[C any] func(ctx context.Context, cl C, next Next[C]) outcm.Result

// Link returns the chain of the steps in order, ending with last.
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
