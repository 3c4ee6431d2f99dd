// Package contr is the control state of an instance: one goroutine, a set of
// controllers, and a view that all others read.
//
// # The algorithm
//
// [Control.Run] owns all control state. It takes events, one at a time, from a
// channel; an event is a function of the present instant that changes the
// state. After each tick the controllers take their step in a fixed order:
//
//	members    who is live; probes
//	docs       service documents; snapshots, state from peers
//	endpoints  the instance list; load reports
//	claims     at most once; answers to waiting requests
//	leases     who orders endpoints about; orders
//
// Then an immutable [View] is published through one atomic pointer. Controllers
// never wait: what takes time (appends, reads, probes, orders) is done by
// workers, whose results come back as events.
//
// Traffic only reads the view. What it learns and can be lost (an endpoint is
// leaving) is offered and dropped when the channel is full, and counted; what
// must not be lost (a claim) waits for its turn.
package contr
