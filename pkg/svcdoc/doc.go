// Package svcdoc defines the service document, by which a team configures its service, and
// validates it.
//
// # Concepts
//
// A document is a TOML text with keys in snake case, one per service. It names the service,
// the kinds of request that callers may send (and which of them are non-idempotent), the
// stages that a request passes through, the workspaces that may call and their limits, the
// service's priority and the deadline.
//
// A stage names a pool of endpoints. Stages of the kinds encode, retrieve, rerank and
// generate have no side effects and may be run again. A stage of kind "call" calls a plain
// service; it is non-idempotent unless the document declares otherwise: a second run books
// two crews into one block, whereas a missing run is noticed and corrected.
//
// A stage takes the result of the stage before it, or those of the earlier stages that it
// lists; a stage with an empty list takes the caller's input and runs in parallel to
// others. The result of the last stage is the answer, and the result of every other stage
// is taken by at least one stage.
//
// # Checks
//
// [Parse] reports all faults with path and line, see package tomlx. A document with faults
// is never accepted: the command, the instance that receives it and the state machine over
// the log all call the same function, so that no instance can have a document in force that
// another one refuses. Warnings report what is valid but probably not intended; they do not
// prevent acceptance.
package svcdoc
