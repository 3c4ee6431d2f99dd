// Package cold decides which endpoints are cold.
//
// An endpoint is cold for some seconds after it has started, and at any later moment when it loses
// what it holds in memory. While it is cold it tolerates a small rate of requests from all instances
// together, and crashes well above that; the rate is enforced by package limit.
//
// An endpoint is cold if at least one of these says so, until the latest of their ends:
//
//   - It was listed for the first time while this instance already had a list ([Started]).
//   - Its entry or an answer says so ([Reported]).
//   - Its data centre was released from an evacuation ([Released]).
//   - Another instance says so ([Told]).
//
// Remaining times that an endpoint reports are measured from their arrival. They arrive late, so
// that an end is never before the true one.
package cold
