// Package filter is the chain of filters that each request of a caller passes.
//
// The order is fixed, see [New]:
//
//	ready     refuses while documents may be stale or a stop is under way
//	document  finds the service and the kind of request
//	identify  who calls, proved by a token where the document has one
//	check     key, expiry, deadline, resume token
//	limit     the workspace's rate and requests under way
//	claim     at most once, for non-idempotent requests
//	admit     refused at once when the deadline can't be met
//	run       the stages
//
// A filter either gives a result itself, and then nothing behind it sees the
// request, or calls the next one. Whatever a filter refuses before the claim
// has looked a key up is sealed (see outcm.Result.QualifyRefusal): such an instance can't
// know whether the request ran elsewhere.
//
// The document comes before the identity because it says who may call, and the
// limit before the claim because a flood of refused requests must not reach the
// log.
package filter
