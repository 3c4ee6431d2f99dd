// Package svcdoc holds the service document: the one text by which a team
// drives its service, and the checks that it must pass.
//
// # Concepts
//
// A document is a TOML text, snake case, one per service. It names the
// service, the kinds of request that callers may send (and which of them are
// non-idempotent), the stages that a request runs through, the
// workspaces that may call and their limits, the priority among services and
// the deadline.
//
// A stage names a pool of endpoints. Four kinds of stage have an effect on
// nobody and may be run again: encode, retrieve, rerank and generate. A stage
// of kind "call" runs a plain service; it is non-idempotent unless the
// document says otherwise, because running it once too often books two crews
// into one block, and running it once too seldom is seen and mended.
//
// A stage takes the result of the stage before it, or those of the earlier stages that
// it lists; one that lists none takes what the caller sent, and runs beside others. The
// last stage makes the answer, and every other one's result is taken by some stage.
//
// # Checks
//
// [Parse] reports all faults with path and line, see package place. A document
// with faults is never accepted, by the command, by the instance it is sent to
// or by the fold over the log: all three call the same function, so that no
// instance can hold a document that another one refuses. Warnings tell of what
// is legal and probably wrong, and stop nothing.
package svcdoc
