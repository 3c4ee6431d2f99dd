package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusUnable = 2
)

// maxRunTime is when a case is given up.
const maxRunTime = 112 * time.Second

// cases are the cases by name. Each returns what broke the rule, one line each.
var cases = map[string]func(bed *testbed, trouble bool) (broken []string, err error){}

func main() { os.Exit(run(os.Args)) }

func run(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD")
		return statusUnable
	}
	bed, err := newTestbed(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusUnable
	}
	defer bed.close()
	trouble := os.Getenv("TROUBLE") != "0"
	bed.note("case %s, disruption: %v", args[1], trouble)
	type outcome struct {
		broken []string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[args[1]](bed, trouble)
		ended <- outcome{broken, err}
	}()
	var out outcome
	select {
	case out = <-ended:
	case <-time.After(maxRunTime):
		out.err = fmt.Errorf("not ended after %v", maxRunTime)
	}
	for _, line := range out.broken {
		bed.note("BROKEN: %s", line)
	}
	switch {
	case out.err != nil:
		bed.note("the case couldn't run: %v", out.err)
		fmt.Fprintln(os.Stderr, "couldn't run:", out.err)
		return statusUnable
	case len(out.broken) > 0:
		fmt.Printf("broken %d times, first: %s\n", len(out.broken), out.broken[0])
		return statusBroken
	}
	bed.note("the rule held")
	fmt.Println("held")
	return statusHeld
}
