// Package clock defines the project's representation of time.
//
// Every instant and every duration is a whole number of milliseconds. Packages that make
// decisions never read a clock: they receive the current time as an argument. Only the
// daemons have a [Clock], and tests a [Fake].
//
// Instants count from the Unix epoch, so that they can be compared with the times that the
// platform's log assigns to records. The clocks of two instances may differ; code that
// compares them documents the permitted difference.
package clock
