package chain

import (
	"context"
	"fmt"

	"amaranthvalve/pkg/outcm"
)

func ExampleLink() {
	named := func(name string) Step[string] {
		return func(ctx context.Context, req string, next Next[string]) outcm.Result {
			fmt.Println(name, "takes", req)
			defer fmt.Println(name, "gives back")
			return next(ctx, req)
		}
	}
	full := func(context.Context, string, Next[string]) outcm.Result {
		return outcm.Refuse(outcm.QueueFull, 100, "no place")
	}
	run := func(context.Context, string) outcm.Result { return outcm.OK() }
	fmt.Println(Link(run, named("limit"), named("claim"))(context.Background(), "a").Outcome())
	fmt.Println(Link(run, named("limit"), full, named("claim"))(context.Background(), "b").Outcome())
	// Output:
	// limit takes a
	// claim takes a
	// claim gives back
	// limit gives back
	// done
	// limit takes b
	// limit gives back
	// not_run
}
