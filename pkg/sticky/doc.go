// Package sticky records at which build of the endpoints' software streams began.
//
// Endpoints of several builds may serve a pool side by side, and what two of them write doesn't fit
// together: a stream may go on only at the build that began it. A [Table] has a [Binding] for each name under
// which a stream may be resumed. Instances send each other their bindings, so that any of them can resume a
// stream; these are merged in any order.
//
// A table fails closed: what it doesn't know, or knows to be contradictory, binds to no build, and isn't
// resumed.
package sticky
