// Package soak plays drawn days of trouble over the real programs and holds the
// product's promises against what callers and endpoints see. It is a test and no part
// of a deployment; docs/SOAK.md tells how to run it.
//
// # What runs
//
// Instances are processes of the daemon, each with sockets, settings file and signals
// of its own. The store and the endpoints are the stand-ins of the platform, in the
// test's process. Between an instance and the store, between instances and each
// endpoint, and between callers and each instance stands a proxy on loopback that
// delays, resets, silences and cuts one way.
//
// # What is drawn
//
// A seed gives a row of faults, each with its instant, length and target; they come in
// series and overlap. Callers keep asking all the while, and keep their connections
// until the process behind them is gone. In half of the runs answers are of varied
// length, some longer than a planned stop has time, and most faults are planned stops.
//
// # What is judged
//
// Only what callers received and what endpoints ran. Promises that hold for an instance
// whose surroundings are well are judged only while nothing was done to it or its store
// for a while; promises without such a condition are judged always.
package soak
