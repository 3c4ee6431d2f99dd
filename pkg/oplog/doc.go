// Package oplog implements the replicated state machine of the service documents over the
// platform's log.
//
// # Concepts
//
// The log is the only component that orders events and stores them durably. It has streams;
// a stream is a sequence of records with increasing offsets, starting at 1. A record
// carries the time at which the log appended it. The log retains records for a limited time
// and trims them oldest first.
//
// [Registry] is the state machine over the stream of service documents. A record offers a
// document and names the revision that it is based on. The offer is accepted if the
// document is valid and the base is the service's current revision; the offset of the
// record is then the new revision. Of two concurrent offers the one whose record comes
// first in the log wins. All instances agree on the winner, because all apply the same rule
// to the same records in the same order.
//
// # Records that expire
//
// Accepted documents are appended again before their records expire, as a snapshot: one
// record per service with its text and revision, then one manifest that lists all services
// with their revisions as of an offset. A reader whose next record has been trimmed starts
// over ([Registry.Restart]) and buffers records until it reads a usable manifest: every
// text that it lists has been read, and no record between its as-of offset and the first
// record read is missing. The buffered records after the as-of offset are then applied.
//
// Taking each document that was appended again whenever it is newer than the one in force
// would be wrong. A reader that starts in the middle could take a snapshot that a lagging
// instance appended late for the current revision, and then accept an offer based on it
// that all others refused. The documents would differ between instances permanently.
//
// After an outage longer than the retention no manifest is left. A reader then appends a
// state request; any instance that has a state answers it with a snapshot and a manifest.
// If there is no answer for some seconds, the reader appends a reset: from its offset on no
// document is in force. A reset is valid only if no manifest and no other reset lies
// between it and the state request, so that a late or repeated reset has no effect.
//
// # Monotonic reads
//
// The applied offset never decreases. A log replica that reports an older end, or returns
// records that were already applied, changes nothing: [Registry.Apply] skips them.
package oplog
