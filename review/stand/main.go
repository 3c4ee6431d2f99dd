// Command stand runs the cases of the independent review that are no days of the bench: it starts the project's own
// program with the command of the deploy file, and is itself the platform's store, the engines and the consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Bounds of possessiondesk.
const (
	revokeMs = 5000
	graceS   = 8
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	noResult = 2
)

var cases = map[string]func(flt *fleet, trouble bool) (int, error){
	"keys": lastKeys, "inputs": foreignInputs, "paths": changedPaths, "leaving": leavingEngines,
}

func main() { os.Exit(play(os.Args[1:])) }

// play plays the case of a name and writes record.txt in a folder.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Println("usage: stand CASE FOLDER")
		return noResult
	}
	rec, err := newRecorder(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return noResult
	}
	flt, err := newFleet(rec)
	if err != nil {
		rec.say("%v", err)
		return noResult
	}
	defer flt.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		flt.stop()
		os.Exit(noResult)
	}()
	code, err := cases[args[0]](flt, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		return noResult
	}
	return code
}
