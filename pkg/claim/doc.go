// Package claim decides who may run a non-idempotent request: at most one
// attempt, ever.
//
// # Concepts
//
// A caller names such a request with a key and an expiry. An instance that
// wants to run it appends a claim to the log, reads its own record back, and
// runs the request only if in log order its claim is the one that holds the
// key. [Ledger] is the fold that says so, the same on every instance:
//
//	free --claim--> held --release--> free
//	                held --settle---> settled
//
// A release is the holder's word that nothing with an effect was dispatched
// and never will be. A settlement records what became of the request, with the
// answer when it is small. A held key whose holder is gone stays held: nobody
// can tell whether the request ran, so it is never run again and the callers
// are told "unknown". There is no lease on a key and no takeover: a lease can
// lapse while its holder is paused, and the holder wakes and dispatches.
//
// # Expiry
//
// The log forgets records after its retention. A key that were forgotten while
// callers still repeat it would run twice. So a claim's expiry is bounded by
// MaxLife, counted by the log's own clock from the record's instant, and a
// key is kept in the ledger for MaxLife and Grace after its claim, well within
// the retention. A repeat after the expiry is refused as expired, which does
// not claim that the request did not run.
//
// A ledger that starts in the middle of the stream knows all living keys if the
// log keeps records for at least MinRetention. One that sees that it does not
// says so ([Ledger.Covers]), and no key is claimed by it until all that it may
// have missed have expired.
package claim
