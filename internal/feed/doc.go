// Package feed transfers records between the platform's log and the replicated
// state machines. An [Appender] appends records to one stream; [Tail] reads a
// stream and applies its records to a state machine.
//
// The package does not interpret records. It guarantees that records are appended
// in the order in which they were added, possibly more than once; that a state
// machine receives records in the order of their offsets; and that an answer of
// the log that ends before the position read so far does not make the state
// machine count as up to date.
package feed
