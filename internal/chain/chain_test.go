package chain

import (
	"context"
	"fmt"

	"amaranthvalve/pkg/outcm"
)

func ExampleLink() {
	named := func(name string) Step[string] {
		return func(ctx context.Context, req string, next Next[string]) outcm.Result {
			fmt.Println(name, "acquires for", req)
			defer fmt.Println(name, "releases")
			return next(ctx, req)
		}
	}
	full := func(context.Context, string, Next[string]) outcm.Result {
		return outcm.Refuse(outcm.QueueFull, 100, "queue is full")
	}
	run := func(context.Context, string) outcm.Result { return outcm.OK() }
	fmt.Println(Link(run, named("limit"), named("claim"))(context.Background(), "a").Outcome())
	fmt.Println(Link(run, named("limit"), full, named("claim"))(context.Background(), "b").Outcome())
	// Output:
	// limit acquires for a
	// claim acquires for a
	// claim releases
	// limit releases
	// done
	// limit acquires for b
	// limit releases
	// not_run
}
