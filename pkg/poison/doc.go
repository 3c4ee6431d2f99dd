// Package poison detects requests that crash endpoints and quarantines them.
//
// A request may crash every endpoint that starts to run it (a poison message, or query of death).
// Its caller retries it under a new request ID and at any instance, so that it can be recognised
// only by its [Fingerprint], a hash of its host, target, caller and body.
//
// # Suspicion
//
// When an endpoint crashes, all requests in flight there are suspected: a [Crash] is recorded for
// each of them. Crashes are shared as facts by gossip (package gossip), so that they count
// whichever instance observed them. A request that an endpoint completes is cleared of all crashes
// known by then.
//
// # Quarantine
//
// A request with more crashes than coincidence explains is quarantined: every instance refuses
// it. Crashes of one moment count for little, since a stream that is resumed at once may be at
// several endpoints that another request crashes. After the quarantine one instance admits it for a trial and records a crash in advance.
// Each crash lengthens the next quarantine.
//
// # Parts of prompts
//
// A part of a prompt may crash every endpoint that begins to answer a prompt with it, whatever else
// the request holds. Crashes accuse each [Part] but the last of the prompts in flight. The answer to
// a prompt with a part, begun after a crash, clears the part of it; one shortly before makes it
// doubtful that the part is the cause. Of the parts that are left those are convicted that explain
// crashes which no better part explains. Crashes that a convicted part explains count against no
// request.
//
// Prompts with a convicted part are refused, except for three trials. Trials are granted by the
// coordinator of the pool, so that all instances together get three; those of a part whose conviction
// is open to doubt come early.
//
// # What does not count
//
// A broken connection alone is no evidence of a crash. It counts only if the endpoint's address
// refuses connections right afterwards and the endpoint was not leaving. An address that doesn't
// answer at all is partitioned or has lost power, whatever request it had.
package poison
