// Package oplog turns the platform's log into state that is the same on every
// instance.
//
// # Concepts
//
// The log is the only thing that agrees or keeps. It has streams; a stream is
// a row of records with growing offsets, the first being 1. A record carries
// the instant at which the log took it. The log keeps records for a limited
// time and forgets them oldest first.
//
// [Registry] is the fold over the stream of service documents. A record
// offers a document and names the revision that it was written against (its
// base). It is accepted when the document is valid and the base is the
// service's current revision; its own offset is then the new revision. Of two
// operators who race, the one whose record comes first in the log wins, and
// every instance agrees which, because all apply the same rule to the same
// records in the same order.
//
// # Records that expire
//
// Accepted documents are appended again, before they expire, as a snapshot: one
// record a service with its text and revision, then one manifest which lists
// all services with their revisions as of an offset. A reader whose next record
// has been forgotten starts over ([Registry.Restart]) and buffers records until
// it has met a manifest that it can use: every text it lists has been read, and
// no record between its as-of offset and the first that was read is missing.
// The buffered records after the as-of offset are then applied.
//
// Why not simply take each re-appended document when it is newer than what is
// held? A reader that starts in the middle would meet a snapshot which a lagging
// instance wrote late, take it for the current revision, and then accept an
// offer based on it which everybody else had refused. The documents would
// differ from instance to instance for good.
//
// When everything was off for longer than the log keeps records, no manifest is
// left. A reader then appends a record that wants one; any instance that has a
// state answers with a snapshot and manifest. If none comes for some seconds the
// reader appends a reset: from its offset on no document is in force. A reset
// holds only if no manifest and no other reset stands between it and the record
// that wanted the state, so that a late or repeated one does nothing.
//
// # Never reverts
//
// The applied offset only grows. A replica of the log that answers an older
// end, or records that were already applied, changes nothing ([Registry.Apply]
// skips them and tells so).
package oplog
