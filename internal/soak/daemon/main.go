// Command daemon is amvnode with a partition between it and all endpoints, which the soak controls by a
// file. It is no part of a deployment.
package main

import (
	"os"

	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/early"
	"amaranthvalve/internal/sever"
	"amaranthvalve/internal/shell"
)

// partitionFile is the environment variable with the path of that file.
const partitionFile = "AMV_SOAK_PARTITION"

func main() {
	var prt sever.Partition
	go prt.Follow(os.Getenv(partitionFile))
	direct := dial.Func(prt.Through(dial.Direct(dial.EndpointSilence).DialContext))
	os.Exit(shell.RunNodeThrough(os.Args[1:], os.Stdout, os.Stderr, early.Registered(), direct))
}
