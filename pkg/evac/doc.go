// Package evac holds which data centres are evacuated: those to whose endpoints nothing more may be
// sent until the operators take the evacuation back.
//
// A [Set] comes from one read of the operators' records, and carries the position of that read: the
// era of the store and the end of its log. Instances learn sets from the store and from each other,
// in any order and any number of times. Of two sets the one at the later position is in force, so
// that one which arrives twice or late changes nothing.
//
// A store that comes back from a copy, in a new era, may lack records that operators write again
// within a bounded time. For that time the data centres that were evacuated before stay so.
//
// The package has values only: instants are passed in, and nothing runs by itself.
package evac
