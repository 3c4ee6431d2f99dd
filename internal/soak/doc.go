// Package soak runs the real programs under randomly drawn faults and checks the
// guarantees of the product against what callers and endpoints observe. It is a test and
// no part of a deployment; docs/SOAK.md describes how to run it.
//
// # Processes
//
// Instances are processes of the daemon, each with its own sockets, settings file and
// signals. The store and the endpoints are test doubles in the process of the test.
// Proxies on loopback stand between each instance and the store, between instances and
// each endpoint, between the instances themselves, and between callers and each instance.
// They delay and reset connections, and block one direction or both.
//
// # Drawn faults
//
// A seed determines a sequence of faults, each with a start, a duration and a target; they
// come in series and overlap. Callers send requests throughout, and keep their connections
// until the process behind them has ended. In half of the runs answers are of varied
// length, some longer than the time-out of a planned shutdown, and most faults are planned
// shutdowns.
//
// # Checks
//
// The checks rely on what callers received and what endpoints ran, and on the ends and
// logs of the processes. Guarantees that hold for an instance in undisturbed surroundings
// are checked only while there was no fault at it or its store for a while; the others are
// checked always.
package soak
