// Command amv is the operators' and callers' command.
package main

import (
	"os"

	"amaranthvalve/internal/shell"
)

func main() { os.Exit(shell.RunAmv(os.Args[1:], os.Stdout, os.Stderr)) }
