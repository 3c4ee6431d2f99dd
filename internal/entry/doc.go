// Package entry makes one instance out of its parts and serves its two HTTP
// interfaces: one for callers and one for operators.
//
// A planned stop has four steps (see [Node.Stop]), in an order that cuts off
// nobody: the instance is no longer named to callers; it serves as before until
// every answer that named it has run out; it refuses new work and finishes what
// is under way; it hands its last records to the log and ends.
//
// go-zero's rest is used for its router only, through rest.NewServerless, on a
// server of our own. Its middlewares would refuse requests by rules of their
// own, uncounted; its signal handler would end the process 5.5 s after SIGTERM
// with requests under way.
package entry
