// Package member implements the membership protocol: which instances are alive, suspected,
// leaving or dead, and what each last reported of itself.
//
// # Concepts
//
// The protocol is SWIM with suspicion (A. Das, I. Gupta, A. Motivala, "SWIM: scalable
// weakly-consistent infection-style process group membership protocol", DSN 2002). Each
// period an instance probes one other. If no acknowledgement arrives in time, it asks a few
// others to probe the target on its behalf; if that fails too, the target is suspected, and
// declared dead when the suspicion expires. Updates about members are piggybacked on probes
// and acknowledgements, each a bounded number of times. A member that receives a suspicion
// of itself refutes it with a higher sequence number.
//
// Two things differ from the paper, both because callers and operators depend on the list.
// A member's identity is its incarnation (address and boot number), not its address,
// because replacement instances reuse addresses. And each update carries the log offset
// that the member has applied, so that the publisher of a document knows when it is in
// force everywhere.
//
// # Bounded neighbours
//
// With more than [MeshSize] members an instance probes only [Fanout] neighbours, chosen by
// rendezvous hashing. This bounds the connections that each instance keeps open; a
// handshake costs more bytes than many probes. Each member is still probed by about as many
// others, so that a dead one is detected within a few periods.
//
// # Ownership of names
//
// Names are owned by addresses ([List.Owners]), not by incarnations. A simultaneous restart
// of all instances therefore changes no owner, and instances agree before they have learned
// each other's incarnations. [List.RequestProbe] requests an immediate probe of a member that
// did not answer a request.
//
// The list is never trusted for safety. It saves work, and it bounds when a publisher may
// report a document as in force; at-most-once execution and leases depend on the log.
package member
