// Package trial compares the gateway's load decisions with simple baselines, in simulated time and
// with fixed seeds.
//
// The code that decides is the gateway's own: [admit.Gate] with its routing, queue, limits and
// retry budget, and [admit.Estimator] for measured times. Only their surroundings are simulated:
// endpoints that batch and queue, load reports that arrive late, and callers that arrive at random.
// The package does not simulate the whole system: there are no messages between instances, no log
// and no membership.
//
// The steps of a request follow internal/stage, and must change with it. The command
// "amvstand trial" prints the tables; see docs/MEASUREMENTS.md.
package trial
