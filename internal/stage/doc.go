// Package stage runs a request through the stages of its service.
//
// # The algorithm
//
// A stage starts as soon as the stages that it depends on are done. For each stage:
//
//  1. The budget of the stage is the time left until the deadline less the estimated
//     time of the stages after it.
//  2. A slot at an endpoint is taken at once, or waited for in the fair queue of the
//     pool. A request that can't be served in time is refused at once.
//  3. The endpoint is called once, with an attempt id of its own. An answer with another
//     id is dropped.
//  4. A failed attempt is repeated at another endpoint only if it is proved that nothing
//     ran, or if the stage is idempotent, and then only within the retry budget of the
//     pool. If the call of a non-idempotent stage may have run, the outcome of the
//     request is unknown.
//
// An interrupted generation continues at the next index: at the same engine, which keeps
// the stream for a while, or at another one, which receives the tokens generated so far.
//
// # Outcomes
//
// not_run is returned only if no stage of any kind ran. If idempotent stages ran and
// nothing with an effect did, the outcome is failed. Once a non-idempotent stage was
// dispatched without proof that it did not run, the outcome is done or unknown.
package stage
