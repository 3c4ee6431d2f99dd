// Package grant orders the requests of all instances that wait for a slot of a pool.
//
// # Concepts
//
// A [Queue] is kept by the instance that grants a pool's slots. A request joins it with the time that it may
// wait, and gets exactly one outcome: a slot ([Queue.Next]), a refusal ([Queue.Join] or [Queue.Expire]), or
// its caller leaves ([Queue.Leave]).
//
// # Order
//
// A more urgent rank goes first. Within a rank, workspaces share the slots by start-time fair queueing
// (P. Goyal, H. Vin, H. Cheng, SIGCOMM 1996): a burst of one workspace delays that workspace and not the
// others. Within a workspace, requests that came back after a refusal go before new ones, and then the
// earlier deadline goes first. Package admit orders the requests of one instance by the same method, but
// tags each request as it arrives; here the tags belong to the workspaces, so that a request that came back
// can overtake within its workspace.
//
// # Refusals
//
// A request that must wait longer than it may is refused when it joins, and one that is overtaken until it
// can't be served in time is refused as soon as that is known. The expected wait is the number of requests
// that go before it, times the mean time between the latest grants. While that is unknown nothing is refused.
// The first of a rank and workspace with nothing before it is never refused by an estimate: it is its grant
// that shows that slots have become free again.
//
// The package starts no goroutines and reads no clock. Time in which nobody waits does not count, since slots
// are then not free for want of requests.
package grant
