// Command amv is the command-line client for operators and callers.
package main

import (
	"os"

	"amaranthvalve/internal/shell"
)

func main() { os.Exit(shell.RunAmv(os.Args[1:], os.Stdout, os.Stderr)) }
