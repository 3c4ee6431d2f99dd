// Package filter is the chain of filters that processes each request of a caller.
//
// The order is fixed, see [New]:
//
//	ready     refuses while documents may be outdated or the instance is stopping
//	document  finds the service and the kind of request
//	identify  finds the workspace and checks its token if the document has one
//	check     key, expiry, deadline, resume token
//	limit     rate and requests in flight of the workspace
//	claim     at-most-once execution of non-idempotent requests
//	admit     refuses at once if the deadline can't be met
//	run       the stages
//
// A filter either returns a result itself, so that the filters after it do not see the
// request, or calls the next one. A refusal of a request with a key before the claim has
// looked the key up is qualified (see outcm.Result.QualifyRefusal): this instance can't
// know whether an earlier attempt ran at another instance.
//
// The document comes before the identity because it states which workspaces may call the
// service, and the limit before the claim because a flood of refused requests must not
// reach the log.
package filter
