// Package state owns what an instance believes: which documents are in force,
// which endpoints there are, and who the other instances are.
//
// # One thread
//
// One goroutine owns all of it ([Control]). Whatever is learned comes to it as an
// event; traffic reads an immutable [View] through an atomic pointer.
//
// # Freshness
//
// A view is as old as the moment before the read was sent that the store answered
// last. While nothing newer stood in the store then, the view was in force then;
// nothing can be said of any later moment. Each view carries this instant, and the
// clock behind it counts the time for which a machine was suspended, so that a
// process which wakes knows at its first request how old its view is.
//
// An instance that the store turns away learns from the others: the answer to a
// probe says which documents the other has and how long ago they were known to be
// the newest, and our own wait for that answer is added. That several instances
// agree proves nothing: the store may turn all of them away and still accept a
// change.
//
// # Sources
//
// A few instances read the store, and the others follow them (source.go, follow.go). An
// instance that starts reads documents, then who else there is, then endpoints, and only then
// makes itself known (meet.go).
//
// # Endpoints
//
// The store drops the entries of endpoints that it hasn't heard of, also while it
// is down itself. So what is missing right after an outage is not taken to be gone
// until endpoints had time to write again.
package state
