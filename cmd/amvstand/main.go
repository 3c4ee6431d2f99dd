// Command amvstand runs the stand-ins for tests, and the demo.
package main

import (
	"os"

	"amaranthvalve/internal/shell"
)

func main() { os.Exit(shell.RunStand(os.Args[1:], os.Stdout, os.Stderr)) }
