// Package claim ensures that a non-idempotent request runs at most once.
//
// # Concepts
//
// A caller identifies such a request by a key with an expiry. An instance that wants to run
// it appends a claim to the log, reads its own record back, and runs the request only if
// its claim is the one that holds the key in log order. [Ledger] is the replicated state
// machine that decides this, identically on every instance:
//
//	free --claim--> held --release--> free
//	                held --settle---> settled
//
// With a release the holder guarantees that nothing with an effect was dispatched and never
// will be. A settlement records the outcome of the request, with the answer if it is small.
// A held key whose holder has ended stays held: it can't be known whether the request ran,
// so it is never run again and callers are answered "unknown". Keys have no lease and no
// takeover: a lease can expire while its holder is paused, and the holder resumes and
// dispatches.
//
// # Expiry
//
// The log trims records after its retention. A key that is forgotten while callers still
// repeat it would run twice. A claim's expiry is therefore bounded by MaxLife, measured by
// the log's clock from the time of the record, and a key stays in the ledger for MaxLife
// and Grace after its claim, well within the retention. A repeat after the expiry is
// refused as expired, which does not imply that the request did not run.
//
// A ledger that starts in the middle of the stream knows all live keys if the log retains
// records for at least MinRetention. A ledger that detects that this does not hold reports
// it ([Ledger.IsComplete]), and no key is claimed by it until all claims that it may have
// missed have expired.
package claim
