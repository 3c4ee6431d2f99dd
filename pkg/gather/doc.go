// Package gather decides which pieces of stages go to which endpoint together.
//
// # Concepts
//
// An endpoint of a stage's pool works on a call of up to so many pieces, from any
// requests, and a call costs a fixed time whatever it holds: eight pieces in one
// call are made in less than half the time of eight calls. A single instance sees
// too few requests to fill calls, so one instance gathers a pool's pieces for all
// of them. A [Book] is what this instance knows: the pieces that wait, the
// endpoints with their calls, and the results that still take room.
//
// # Order
//
// A piece waits here and not at an endpoint, because here it can still be
// overtaken or withdrawn; the choice is made at the moment when a place comes
// free. Pieces that can still be in time go first, by the instant at which they
// are due; those that can't be any more go after them. Without that second class
// an overload makes everybody a little late: the one most overdue would always go
// first, and its answer is worth a fraction whenever it comes.
//
// Calls of a pool begin at even distances: see [Book.Space].
//
// # Place and room
//
// A result stays at its maker until it is given back, and whoever takes it fetches
// it from there. So a piece with a large result names the data centre where it
// will be used, and among equally urgent pieces those of an endpoint's own data
// centre fill its call. A full call goes before a near one. An endpoint whose room
// is taken gets no piece for which it would say so after the time of a call.
//
// What results of others take at an endpoint is learnt from its own word ([Book.Told]) and
// from pieces that it refuses ([Book.Full]). Jobs go whole into calls, but in pools so large
// that the rest of a job follows within some milliseconds.
//
// Two instances may gather one pool for a while, when they differ about who is
// alive. That costs fullness and some refused calls; it makes no result wrong, for
// a piece may be made twice. The package starts nothing and reads no clock.
package gather
