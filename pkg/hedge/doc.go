// Package hedge decides whether a second attempt of a request is sent while the first one is in
// flight.
//
// A hedge is sent after a delay that few requests of the same route and pool exceed ([Times]), within
// a share of extra work ([Budget]), and only if nothing speaks against it ([Case.Judge]). The first
// attempt goes on; the caller gets the answer that begins first. See J. Dean and L. Barroso, "The
// tail at scale", Communications of the ACM, 2013.
//
// The functions have no clocks, sockets or goroutines. Values are not safe for concurrent use.
package hedge
