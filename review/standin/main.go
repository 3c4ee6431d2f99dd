// Command standin runs the scripts of the review: stand-ins of the platform's store, of engines and of
// consumers, around instances of amvnode that run as processes of their own.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a script that hangs.
const timeLimit = 115 * time.Second

// script is one of the review's scripts. It returns whether the rule held.
type script func(dep *deployment, trouble bool) (held bool, err error)

var scripts = map[string]script{
	"revoked-keys":    revokedKeys,
	"second-answer":   secondAnswer,
	"dead-readers":    deadReaders,
	"stopped-readers": stoppedReaders,
}

func main() {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCRIPT FOLDER TROUBLE, where TROUBLE is 0 to leave out the disruption")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scripts[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

// run runs a script and returns its exit status.
func run(scr script, folder string, trouble bool) int {
	rec, err := openRecord(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.printf("trouble: %v", trouble)
	dep, err := newDeployment(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	defer dep.stop()
	time.AfterFunc(timeLimit, func() {
		rec.printf("could not run: over the time limit")
		dep.stop()
		os.Exit(exitNotRun)
	})
	held, err := scr(dep, trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitNotRun
	case held:
		rec.printf("the rule held")
		return exitHeld
	}
	rec.printf("the rule was broken")
	return exitBroken
}
