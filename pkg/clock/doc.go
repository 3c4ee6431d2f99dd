// Package clock holds the one time type of the project.
//
// Every instant and every span is a whole number of milliseconds. Decision
// packages never read a clock: they are handed the present instant as an
// argument. Only the daemons own a [Clock], and tests own a [Fake].
//
// An instant counts from the Unix epoch, so that it may be compared with the
// instant that the platform's log writes on a record. Two instances' clocks
// may differ; what compares them says so and by how much.
package clock
