// Package contr holds the control state of an instance: one goroutine, a set of
// controllers, and an immutable view that all other goroutines read.
//
// # The algorithm
//
// [Control.Run] owns all control state. It receives events from a channel, one at a
// time; an event is a function of the current instant that changes the state. After
// each tick the controllers run one step in a fixed order:
//
//	members    liveness of the instances; probes
//	docs       service documents; snapshots, state from peers
//	endpoints  the instance list; load reports
//	claims     at-most-once execution; answers to waiting requests
//	leases     which instance sends orders to endpoints; orders
//
// Then a new [View] is published through one atomic pointer. Controllers never block:
// appends, reads, probes and orders are done by workers, whose results come back as
// events.
//
// The request path only reads the view. Events from it that may be lost (an endpoint is
// leaving) are offered, and are dropped and counted when the channel is full; events
// that must not be lost (a claim) block until the channel has space.
package contr
