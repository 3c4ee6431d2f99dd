// Package outcm holds what can become of a request.
//
// There are four outcomes, and a caller may rely on each literally:
//
//   - done: the request ran and this is its whole answer.
//   - not_run: no stage with an effect ran for this request, and none will.
//     It speaks of the request and not of one attempt at it: see [Result.Seal].
//   - unknown: the request may or may not have run; it will not be run again.
//   - failed: the request ran into an error that a stage reported, or its
//     deadline passed; only idempotent work was done.
//
// A [Reason] tells why. Each reason has a counter in the daemon, so the set is
// closed and its names are generated.
package outcm
