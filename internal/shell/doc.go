// Package shell implements the command lines of the three programs.
//
// Each Run function takes the arguments and two writers and returns the exit status, so that
// scripts can test a command without a process: 0 for done, 1 for refused or failed (with
// outcome and reason), 2 for a usage error.
package shell
