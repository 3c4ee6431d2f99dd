// Package shell is the command lines of the three programs.
//
// Each Run function takes arguments and two writers and gives the exit status,
// so that scripts test a command without a process: 0 for done, 1 for refused
// or failed (with outcome and reason), 2 for a wrong call.
package shell
