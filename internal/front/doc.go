// Package front takes callers' requests through the filters and hands the answers
// back as they come.
//
// A request passes, in this order:
//
//	match       the route, by host and path; the limits of what may be sent
//	stay        refused during a planned stop that ends before the answer would
//	identify    the workspace, by its token, unless the route is open
//	quarantine  refused when several endpoints have ended under the same request
//	admit       refused at once when it can't be answered in time
//	stages      the pieces that must be made before it can run, wave by wave
//	final       the endpoint that answers, and another one where that is allowed
//
// A filter either gives a result itself, and then nothing behind it sees the
// request, or calls the next one. The plan is taken once, so that one request sees
// one version of the documents; what must be newest at the moment of sending, the
// endpoints, is asked for then.
//
// # Refusals
//
// "Not run" speaks of the caller's request at the endpoint that answers it. Pieces
// that were made for it beforehand have no effect on anybody. Once the final call
// was written to a connection, "not run" needs the endpoint's own word.
package front
