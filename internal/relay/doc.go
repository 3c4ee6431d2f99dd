// Package relay forwards one request to one endpoint, once, and streams the answer back.
//
// It never retries; it reports truthfully how the attempt ended, as an [ending.Ending]. Each
// request has a connection of its own, because reused connections fail in three ways that can't be
// told apart afterwards: net/http's Transport repeats a request without a body by itself when the
// endpoint has just closed the connection; a late extra answer of an endpoint is read as the answer
// to the next request; and a reset leaves open whether the request was read. The handshake costs
// one or two milliseconds.
package relay
