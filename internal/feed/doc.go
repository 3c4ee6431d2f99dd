// Package feed transfers records between the platform's log and the folds, which
// build state from them. An [Appender] appends the records of one stream; [Tail]
// reads a stream and applies its records to a fold.
//
// The package does not interpret records. It guarantees that records are appended
// in the order in which they were added, possibly more than once; that a fold
// receives records in the order of their offsets; and that an answer of the log
// that ends before the position read so far does not mark the fold as up to date.
package feed
