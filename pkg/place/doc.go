// Package place chooses the model engine for a prompt.
//
// # Concepts
//
// Engines read prompts one after the other, in chunks between the decoding steps of their streams,
// and each step waits for the chunk that it shares. So a prompt has three costs: it waits for those
// before it, it takes its own time, and while it is read every stream of that engine is slow.
// Decoding is slower the further the engine is into a long prompt: beyond some ten thousand tokens
// the events of the other streams are late although the engine has no fault. The cost of a request
// is what has to be read for it, so requests are not just counted.
//
// A prompt is a sequence of parts. Requests share the first ones, their prefix, and an engine that
// has read a prefix for one request holds it in its prefix cache for the next. Another engine may
// fetch it from there, where engines can do that.
//
// # The choice
//
// One instance places the prompts of a pool for all instances, as one schedules the batches of a
// pool; each instance by itself would know only its own requests. A [Placer] holds the state: for
// each engine what it has still to read, its streams, its cached parts, its slowness and its recent
// failures. [Placer.Pick] returns the engine of least cost in milliseconds: the time to the first
// event, the delay of the streams there, the loss of the streams that would be late, the parts that
// would be read again though another engine has them cached, and the results that would be fetched
// from another data centre. A stream costs more at an engine that often reads long prompts, so that
// the next long prompt finds an engine without streams.
//
// Where no part of a prompt is known to be cached, rendezvous hashing ranks the engines (D. Thaler
// and C. Ravishankar, "Using name-based mappings to increase hit rates", 1998), so that the next
// placer chooses the same one.
//
// # Measurements
//
// The time to read a prompt by its uncached tokens, and the pauses of streams by the length of the
// prompts read beside them, are measured, since engines differ and service documents state neither.
// So is the slowness of each engine relative to the others. The cost of an engine that accepts
// prompts and starts none rises with time, for all instances at once. An engine that failed several
// times in a row is ejected for a while and then probed with one request.
//
// The package starts no goroutines and reads no clock.
package place
