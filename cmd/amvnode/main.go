// Command amvnode is the daemon that runs on every entry instance.
package main

import (
	"os"

	"amaranthvalve/internal/early"
	"amaranthvalve/internal/shell"
)

func main() { os.Exit(shell.RunNode(os.Args[1:], os.Stdout, os.Stderr, early.Registered())) }
