// Package route selects the endpoint for one stage of one request.
//
// # Concepts
//
// A [Pool] holds the state of a pool's endpoints as one instance sees it: its own
// requests in flight, the adaptive concurrency limit, the latency, and the prompt
// prefixes that are probably cached. [Pool.Pick] takes the better of two random
// endpoints that are below their limits (M. Mitzenmacher, "The power of two choices
// in randomized load balancing", IEEE TPDS 2001). Endpoints with a warm prefix are
// further candidates, at a cost reduced by what the cache saves; they are never the
// only ones.
//
// Load reports are not part of the cost: they are stale when they are used, and all
// instances read the same ones. In measurements with a lag of 0.5 s and of 5 s, and
// with weights that fall with age (as in "Scheduler", Shaken Fist operator guide),
// they made no difference beyond noise. The limits already reflect the load of other
// instances, since each instance derives them from the latency of its own requests.
// See docs/MEASUREMENTS.md.
//
// # Slow and failing endpoints
//
// An endpoint that is several times slower than the pool's median, or fails several
// times in a row, is ejected: it gets only single probes at intervals, so that its
// recovery is noticed without a burst of probes. If all endpoints are ejected the pool
// uses all of them; a pool that is slow as a whole is left to admission control.
//
// The package does no I/O and reads no clock.
package route
