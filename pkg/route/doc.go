// Package route chooses the endpoint for one stage of one request.
//
// # Concepts
//
// A [Pool] holds what one instance knows of a pool's endpoints: its own work in
// flight there, the limit that the endpoint has shown it can take, how fast it
// answers, and which prompt prefixes it probably caches. [Pool.Pick] draws two
// endpoints within their limits at random and takes the better (M. Mitzenmacher,
// "The power of two choices in randomized load balancing", IEEE TPDS 2001). A
// warm prefix makes an endpoint a third candidate and lowers its cost by what the
// cache saves; it never makes it the only one.
//
// Load reports are not part of the cost. They are old when they are used and
// every instance reads the same ones. Measured with reports that lag by half a
// second and by five, and with an idea of "Scheduler (Shaken Fist operator
// guide)" that an estimate counts less the older it is, they changed nothing
// beyond noise: the limits, found by each instance from the latency of its own
// work, hold what others send as well. See docs/MEASUREMENTS.md.
//
// # Slow and failing endpoints
//
// An endpoint which answers several times slower than the pool's median, or
// fails several times in a row, is benched: it gets no work except one probe
// at a time, a while apart, so that it is found well again without a storm of
// probes. When every endpoint is benched the pool uses all of them: a pool that
// is slow as a whole is the admission's business.
//
// The package never sends anything and reads no clock.
package route
