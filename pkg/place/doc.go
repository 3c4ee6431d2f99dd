// Package place chooses the model engine for a prompt.
//
// # Concepts
//
// Engines read prompts one after the other, in chunks between the steps of the streams that
// they run, and each step waits for the chunk that it shares. So a prompt costs three
// times: it waits for those before it, it takes its own time, and while it is read every
// stream of that engine is slow. The further into a long prompt, the slower: beyond some ten
// thousand tokens the others' events come too late, though the engine does nothing wrong. What
// a request weighs is what it has to read, not that it is one.
//
// A prompt is a row of parts; requests share the first ones, and an engine that has read
// them for one request need not read them for the next. One that hasn't may fetch them from one
// that has, where engines can do that.
//
// # The choice
//
// One instance places the prompts of a pool for all, as one gathers the pieces of a
// pool; each instance by itself would know only of its own. A [Book] is what it knows: what
// each engine has still to read and which streams it runs, which parts it holds, how slow it
// is, how it fared lately. [Book.Pick] takes the engine at which the prompt costs least, all
// in milliseconds: the time to its first event, the time by which it holds up the streams
// there, what the streams lose that it would make late, parts that would be read again though
// another engine holds them, results that would be fetched from another data centre. An engine
// that runs nothing is spared a little, for a long prompt.
//
// Where nothing is known of a prompt's parts, rendezvous hashing ranks the engines (D. Thaler
// and C. Ravishankar, "Using name-based mappings to increase hit rates", 1998), so that
// whoever places next chooses alike.
//
// # What is learnt
//
// How long prompts take by what has to be read, and how long streams pause beside prompts of
// a length, are measured, not assumed: engines differ, and documents tell neither. So is
// how slow each engine is against the others. An engine that takes prompts and begins none
// grows dearer with each moment, for all instances at once. One that failed several times in
// a row is passed over for a while, and then tried with one request.
//
// The package starts nothing and reads no clock.
package place
