// Package mutant has mutation tests, which show that each safeguard is needed: each removes one
// safeguard in a copy of the tree and runs the test that covers it, which must then fail.
//
// Each archive in testdata describes what goes wrong without the safeguard, with the number of
// the broken promise if it has one, and contains a file name, the text to replace, its
// replacement and the arguments of go test. The tests take minutes, so they are not part of CI:
// AMV_MUTANTS=1 go test -count=1 -v -timeout 60m ./internal/mutant
package mutant
