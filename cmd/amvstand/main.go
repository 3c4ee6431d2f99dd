// Command amvstand runs test doubles of the platform and of endpoints, and the demo.
package main

import (
	"os"

	"amaranthvalve/internal/shell"
)

func main() { os.Exit(shell.RunStand(os.Args[1:], os.Stdout, os.Stderr)) }
