// Package relay passes one request on to one endpoint, once, and hands the answer
// back as it comes.
//
// It never tries anything twice; what it adds is a truthful [ending.Ending]. Each request
// has a connection of its own. A kept connection is where three things go wrong
// that can't be told apart afterwards: net/http's Transport repeats a request
// without a body by itself when the endpoint closed just then; an endpoint's late
// extra answer is read as the next request's; and a reset leaves open whether the
// request was read. The handshake costs a millisecond or two.
package relay
