// Package model simulates language model engines in fake time: continuous batching of streams,
// chunked prefill of prompts and a prefix cache.
//
// It serves tests and trials of scheduling decisions and uses no network and no goroutine. It
// does not simulate preemption when memory runs out, orders, model versions, priorities of
// requests, or transfers of cached prefixes between engines.
//
// # Engines
//
// An engine works in steps. A step generates one token for each running stream; its duration
// grows slightly with their number. While prompts are queued, each step also prefills a chunk of
// the first one. That takes time in proportion to the tokens of the chunk and, since attention
// covers the whole prefix, to their product with the tokens prefilled before. All streams slow
// down during a prefill, most at the end of a long prompt. Tokens are sent in events of several.
// The figures are of a model with 70 billion parameters on two accelerators: 4.2 ms a step, 64
// tokens prefilled per millisecond, 0.65 ms per million pairs of tokens.
package model
