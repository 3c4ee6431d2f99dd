// Package stand has small test doubles of the services around the system: the platform
// (log service, instance list, weight store), model engines, stage pools and plain
// services. They speak the protocols of docs/PROTOCOL.md over real sockets and record
// each execution, so that tests can compare these records with the callers' answers.
//
// A request to /v1/faults switches on faults, see [Faults]. The package serves tests and
// the demo and is not part of any deployment.
package stand
