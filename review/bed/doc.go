// Command bed runs the cases of the review: it starts instances by the deploy file, with small stand-ins for the
// platform's store, the engines and the consumers, all on loopback addresses and the real clock.
//
//	bed CASE RECORD
//
// runs one case and writes what was sent, answered and run to RECORD. The exit status is 1 if the rule was broken, 0
// if it held, and 2 if the case couldn't run. TROUBLE=0 in the environment leaves the disruption out.
package main
