// Package state owns the control state of an instance: the documents in force, the endpoints, and
// the other instances.
//
// # One goroutine
//
// One goroutine owns the state ([Control]). Everything learned reaches it as an event; requests
// read an immutable [View] through an atomic pointer.
//
// # Freshness
//
// A view is as old as the instant just before the last answered read of the store was sent. The
// store held nothing newer at that instant, so the view was in force then; nothing is known of any
// later one. Each view carries this instant. The clock also counts the time during which a machine
// was suspended, so that a process that resumes knows the true age of its view at its first
// request.
//
// An instance that the store rejects catches up from other instances: the answer to a probe carries
// the offset of the documents and how long ago they were known to be the newest, and the round-trip
// time of the probe is added. Agreement between several instances proves nothing: the store may
// reject all of them and still accept a change.
//
// # Sources
//
// A few instances read the store, and the others follow them (source.go, follow.go). A starting
// instance reads the documents, then the instance entries, then the endpoints, and announces itself
// only after it has read the instance entries (discover.go).
//
// # Endpoints
//
// A list of endpoints is ordered by the end of their log in the store when it was read, the same for
// whichever instance reads it (listing.go). An instance that follows a reader reads the store itself
// once its list is too old.
//
// The store expires the entries of endpoints that do not renew them, also while it is down itself.
// Entries missing right after an outage are therefore kept until endpoints have had time to renew
// them. Instances tell one another over which time the store has answered (reads.go), so that none
// takes its own start, or the loss of its readers, for an outage.
package state
