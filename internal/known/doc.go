// Package known tells suites which of their specs KNOWN-RED.txt lists. Only functions can be
// passed over by go test itself, and a suite is one function. It is help for tests.
package known
