package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	held     = 0
	broke    = 1
	noResult = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 117 * time.Second

// scenario plays a case, and reports whether its rule was broken.
type scenario func(trouble bool, rec *record) (broken bool, err error)

var scenarios = map[string]scenario{"last-key": lastKey, "late-extra": lateExtra, "stopped-readers": stoppedReaders, "dead-readers": deadReaders, "two-slashes": twoSlashes}

func main() { os.Exit(play(os.Args[1:])) }

// play runs the case that the first argument names, and writes its record to the file that the second names.
func play(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return noResult
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noResult
	}
	// The nodes end with this process.
	time.AfterFunc(timeLimit, func() {
		rec.printf("could not run: over the time limit")
		os.Exit(noResult)
	})
	broken, err := scenarios[args[0]](os.Getenv("TROUBLE") != "0", rec)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return noResult
	case broken:
		rec.printf("the rule was broken")
		return broke
	}
	rec.printf("the rule held")
	return held
}
