// Package graph decides when the stages of a request begin.
//
// # Concepts
//
// Some stages take the results of others; all of this is a [Graph], the same for every
// request of a route. A [Run] is one request's way through it. A stage may begin as
// soon as all that it takes is made, whatever else still runs.
//
// # Stages that can wait
//
// A stage that takes nothing, and whose results only the final call takes, could begin
// first, beside the head of a long chain. Its results would then take room at their makers until the
// whole chain is made, and room is what bounds the makers' rate. Begun with the last
// stage of the chain it would be late whenever its own pool is the more crowded one.
// So it is held while a stage of the others that has not begun yet still has at least
// as long a way to the final call as the leaf itself, by what is known of times and
// queues at that moment; that is asked anew whenever a stage is done.
//
// The package measures no time and starts nothing: it is told what is done, and asked
// what begins.
package graph
