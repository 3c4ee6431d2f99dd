// Package route chooses the endpoint for one stage of one request.
//
// # Concepts
//
// A [Pool] holds what one instance knows of a pool's endpoints: its own work in
// flight there, the last load report and its age, the limit that the endpoint
// has shown it can take, how fast it answers, and which prompt prefixes it
// probably caches. Reports are old when they are used and every instance reads
// the same ones, so that a burst sent to whichever endpoint looked best would
// all meet there. Against that:
//
//   - [Pool.Pick] draws two endpoints at random and takes the better (M.
//     Mitzenmacher, "The power of two choices in randomized load balancing",
//     IEEE TPDS 2001).
//   - Work that this instance has sent since a report counts on top of it, and
//     the report itself counts less the older it is. (The idea that anticipated
//     demand is added at placement and decays stands in "Scheduler (Shaken Fist
//     operator guide)", section on demand.)
//   - A warm prefix makes an endpoint a third candidate and lowers its cost by
//     what the cache saves; it never makes it the only candidate.
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
