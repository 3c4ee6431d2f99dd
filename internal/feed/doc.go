// Package feed carries records between the platform's log and the folds: an
// [Appender] for each stream that brings records in, and [Tail], which reads a
// stream and feeds a fold.
//
// It decides nothing about what the records mean. What it promises: records are
// appended in the order in which they were added, possibly more than once; a fold
// gets records in the order of their offsets; an answer of the log that ends
// before what was read is no word that the fold is up to date.
package feed
