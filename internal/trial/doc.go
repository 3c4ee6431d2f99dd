// Package trial measures the decisions about load against plain baselines, in
// fake time and with fixed seeds.
//
// The decision code is the daemon's own: admit.Gate with its routing, queue,
// limits and retry budget, and admit.Estimator for measured times. What is fake is
// small: endpoints that batch and queue, reports that lag, callers that arrive
// at random. It is no simulator of the system: there are no messages between
// instances, no log and no membership.
//
// The order of steps for one request follows package stage; where that changes,
// this must too. Tables come from "amvstand trial", see docs/MEASUREMENTS.md.
package trial
