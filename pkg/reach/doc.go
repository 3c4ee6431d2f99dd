// Package reach decides how an instance reaches endpoints: directly, or through another instance
// that relays the connection.
//
// # Partitions
//
// A failed connection doesn't tell whether the endpoint is down or the path to it is blocked. An
// instance that takes what it can't reach for down refuses requests that others could serve, and
// spreads false reports of failed endpoints. Two observations tell the cases apart: whether another
// instance reaches the endpoint, and whether this instance reaches any other endpoint. A [Table]
// records both and derives a [Strategy] for each address:
//
//   - Usually the instance connects directly, and through a relay if that fails or takes long. A
//     connection that failed to open has carried no byte of a request, so that the second path is safe
//     for any request.
//   - An address that only relays reach is connected through a relay first, as are all addresses while
//     no endpoint is reached directly: the instance is then blind.
//   - An address that no instance reached is down, and isn't connected through relays for a while.
//
// # Relays
//
// A connection has one relay at most. [Relays] chooses it among the instances that aren't blind, by
// load and data centre, from a small set that differs between instances.
//
// The package does no I/O and reads no clock.
package reach
