// Package front passes callers' requests through a chain of filters and streams the responses
// back.
//
// A request passes, in this order:
//
//	match       finds the route by host and path; enforces the size limits
//	drain       refuses, during a planned shutdown, what may outlast it
//	identify    finds the workspace by its token, unless the route is open
//	resume      finds the build that began the stream which the request resumes
//	target      chooses the pool of the final call
//	quarantine  refuses requests under which several endpoints have crashed, or with a part in
//	            their prompts under which they have
//	admit       refuses at once what can't be answered in time
//	stages      runs the stages whose results the final call takes, as their dependencies allow
//	final       sends the request to an endpoint, and to another one where that is allowed
//
// A filter either returns a result itself, and the filters behind it don't see the request, or
// calls the next one. A request takes its view of the documents once, so that it sees one version
// of them throughout. The list of endpoints must be current when the request is sent, and is read
// then.
//
// # Refusals
//
// "Not run" refers to the caller's request at the endpoint that answers it. The items of its
// stages, which are made beforehand, have no side effects. Once the final call has been written to
// a connection, "not run" needs the endpoint's own confirmation.
package front
