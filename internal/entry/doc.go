// Package entry assembles an instance from its components and serves its two
// HTTP interfaces, one for callers and one for operators.
//
// A planned shutdown (see [Node.Stop]) has four steps and interrupts no request:
// the instance is removed from the lists of addresses for callers; it serves as
// before until cached lists have expired; it refuses new requests and finishes
// those in flight; it flushes its last records to the log and exits.
//
// Only the router of go-zero's rest is used, through rest.NewServerless, on an
// HTTP server of this package. go-zero's middlewares would refuse requests by
// rules of their own, without counting them, and its signal handler would end the
// process 5.5 s after SIGTERM with requests in flight.
package entry
