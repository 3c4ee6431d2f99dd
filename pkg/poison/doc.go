// Package poison finds the requests under which endpoints end.
//
// A request may end each endpoint that begins to run it (a poison message, or query of death).
// Its caller sends it again under a new name, to any instance, so that nothing but its target,
// its caller and its body, its [Mark], shows that it is the same request.
//
// # Suspicion
//
// When an endpoint ends, all requests that it had are suspected: the [End] counts against each.
// Ends are facts that all instances share (package rumor), so that they count wherever they
// were seen. A request that an endpoint runs to its end is cleared of all ends that were known
// by then.
//
// # Quarantine
//
// A request under which more endpoints have ended than chance lets expect is quarantined: every
// instance refuses it. When its quarantine is over, one instance lets it in on trial, and counts
// its end beforehand. Each end makes the next quarantine longer.
//
// # What is no end
//
// A cut connection proves nothing of its endpoint. It counts only if the endpoint's address
// refuses connections right afterwards, and not if the endpoint was leaving: one that can't be
// reached is cut off or has lost power, whatever it was sent.
package poison
