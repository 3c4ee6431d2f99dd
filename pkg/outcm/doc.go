// Package outcm defines the outcomes of a request.
//
// There are four outcomes, and a caller may rely on each literally:
//
//   - done: the request ran and this is its whole answer.
//   - not_run: no stage with an effect ran for this request, and none will.
//     It applies to the request and not to one attempt, see [Result.QualifyRefusal].
//   - unknown: the request may or may not have run; it will not be run again.
//   - failed: a stage reported an error or the deadline passed; only
//     idempotent work was done.
//
// A [Reason] is the cause. The daemon has a counter for each reason, so that the set is
// closed and its names are generated.
package outcm
