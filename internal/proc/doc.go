// Package proc starts the programs as separate processes, for tests only: the
// stand-ins and instances of one small deployment on free ports, which a test
// then kills, freezes and asks.
package proc
