// Package model has what the system serves, in fake time: model engines as they batch
// streams and read prompts.
//
// It is a model for tests and trials of decisions, with no network and no goroutine. What
// it leaves out: engines that run out of memory and put requests back, orders, versions,
// priorities among requests, and copies of memory.
//
// # Engines
//
// An engine works in steps. A step makes one token for each stream that it runs, and takes a
// while that grows a little with their number. While prompts wait, each step also reads a
// chunk of the first of them, which takes as long as its tokens do and longer the more of the
// prompt was read before, for attention looks at all of it. So all streams slow down while a
// prompt is read, and a long prompt slows them most at its end. Tokens leave in events of
// several. Figures are of a 70-billion-parameter model on two accelerators: 4.2 ms a step,
// 64 tokens read in a millisecond, 0.65 ms for a million pairs of tokens.
package model
