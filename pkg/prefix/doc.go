// Package prefix chooses the model engine for a prompt.
//
// # Concepts
//
// A prompt is a row of parts; requests share the first ones, and an engine that
// has read them for one request need not read them for the next. All instances
// choose alike without talking: the shared parts are hashed, and rendezvous
// hashing (D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
// rates", 1998) ranks the engines for them. An engine that goes moves only its own
// prompts.
//
// The first of the ranking is taken unless it is loaded beyond a bound over the
// others' mean ("Consistent hashing with bounded loads", V. Mirrokni, M. Thorup,
// M. Zadimoghaddam, 2018): one prompt that everybody asks for must not queue at one
// engine while others idle. Load is what this instance has there itself, plus the
// engine's own word, which is old and read by all; so its word counts less the
// older it is.
//
// An engine that failed several times in a row is passed over for a while, and
// then tried with one request.
package prefix
