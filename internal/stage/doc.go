// Package stage takes a request through the stages of its service.
//
// # The algorithm
//
// Stages run in order, each on the output of the one before. For each:
//
//  1. The stage's budget is what is left of the deadline less the measured need
//     of the stages after it.
//  2. A place at an endpoint is taken at once, or waited for in the pool's fair
//     queue; who can't be served in time is given up at once.
//  3. The endpoint is called once, under an attempt id of its own. An answer
//     under another id is dropped and never matched.
//  4. A failed attempt is repeated elsewhere only if it is proved that nothing
//     ran, or if the stage is idempotent, and then only within the pool's retry
//     budget. A non-idempotent stage whose call may have run ends the request
//     as unknown.
//
// A generation that is cut goes on at the next index: at the same engine, which
// keeps the stream for a while, or at another one that is told the tokens so
// far.
//
// # What the outcome says
//
// not_run is given only when no stage of any kind ran. When idempotent stages
// ran and nothing with an effect did, the outcome is failed. Once a
// non-idempotent stage was dispatched without proof that it did not run, the
// outcome is done or unknown and nothing else.
package stage
