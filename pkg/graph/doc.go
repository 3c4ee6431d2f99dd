// Package graph decides when the stages of a request start.
//
// # Concepts
//
// Some stages take the results of others. Their dependencies are a [Graph], the same for every
// request of a route; a [Run] is the execution of the graph for one request. A stage may start as
// soon as all its inputs are complete, whatever else still runs.
//
// # Stages that can wait
//
// A stage without inputs whose results only the final call takes could start first, beside the head
// of a long chain. Its results would then occupy storage at their endpoints until the whole chain
// is complete, and result storage is what bounds the rate of the endpoints. Started with the last
// stage of the chain it would be late whenever its own pool is the more contended one. So it is
// delayed while a stage that cannot start yet still has at least as long a path to the final call
// as the leaf itself, by current estimates of times and queues; the decision is repeated whenever a
// stage is done.
//
// The package measures no time and starts no goroutines: the caller records completed stages and
// asks which ones to start.
package graph
