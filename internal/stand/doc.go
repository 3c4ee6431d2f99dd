// Package stand holds small stand-ins for what the system meets: the platform
// (log service, instance list, weight store), model engines, stage pools and
// plain services. They speak the protocols of docs/PROTOCOL.md over real
// sockets and keep a record of all they executed, which tests hold against what
// callers were told.
//
// Each has faults that a request to /v1/faults switches on, see [Faults]. They
// are scaffolding for tests and the demo and never part of a deployment.
package stand
