// Package proc has tests with the programs as separate processes: the test doubles
// and instances of one small deployment on free ports, which the tests kill, freeze and
// query.
package proc
