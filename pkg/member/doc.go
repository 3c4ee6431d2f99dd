// Package member keeps the list of live instances: who is alive, suspected,
// leaving or dead, and what each last said of itself.
//
// # Concepts
//
// It is SWIM with suspicion (A. Das, I. Gupta, A. Motivala, "SWIM: scalable
// weakly-consistent infection-style process group membership protocol", DSN
// 2002). Each period an instance probes one other; if no acknowledgement comes
// in time it asks a few others to probe for it; if that fails too the target
// is suspected, and after a while taken for dead. News about members rides on
// probes and acknowledgements, each item a bounded number of times. A member
// that hears of its own suspicion answers with a higher sequence number.
//
// Two things differ from the paper, both because callers and operators lean on
// the list. A member's identity is its incarnation (address and boot number),
// not its address, for addresses are reused by replaced instances. And each item
// of news carries what the member has applied of the log, so that whoever
// publishes a document learns when it is in force everywhere.
//
// # Bounded neighbours
//
// With more than [MeshSize] members an instance probes only [Fanout]
// neighbours, chosen by rendezvous hashing, in place of everybody: each keeps a
// bounded number of connections open, and a handshake costs more bytes than
// many probes. Each member is then probed by about as many others, so that a
// dead one is still found within a few periods.
//
// # Who looks after what
//
// Names are looked after by addresses ([List.Homes]), so that a restart of all instances at
// once changes nothing in it, and all agree before they have learned one another's
// incarnations. A member that gave no answer to somebody can be doubted ([List.Doubt]): it is
// probed at once.
//
// The list is never trusted for safety. It spares work, and it bounds when a
// publisher may say "in force"; at most once and leases rest on the log.
package member
