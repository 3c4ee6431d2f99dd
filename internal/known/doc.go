// Package known reads from KNOWN-RED.txt which specs of a suite are expected to fail. go test
// can skip only whole test functions, and a suite is a single one. The package serves tests.
package known
