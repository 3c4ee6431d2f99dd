// Package mutant shows that each safeguard is needed: it takes one out in a copy
// of the tree and runs the test that is meant for it, which must then fail.
//
// Each archive in testdata names the promise, a file, the text to replace, what
// to put there, and the arguments of go test. It takes minutes, so that it is no
// part of CI: AMV_MUTANTS=1 go test -count=1 -v -timeout 60m ./internal/mutant
package mutant
