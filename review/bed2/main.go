// Command bed2 plays the scripted cases of the second review: it starts the system's program as separate processes beside
// stand-ins for the store, the engines and the consumers, and judges one rule by what consumers and engines have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is how long a case may take.
const longest = 110 * time.Second

func main() { os.Exit(play()) }

// play plays the case that the arguments name, with its record in a file.
func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: bed2 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file}
	trouble := os.Getenv("TROUBLE")
	code := make(chan int, 1)
	go func() {
		var broken bool
		var err error
		switch os.Args[1] {
		case "memory":
			broken, err = memoryCase(rec, trouble != "0")
		case "early":
			broken, err = earlyCase(rec, trouble != "0")
		case "gone":
			broken, err = goneCase(rec, trouble != "0", trouble != "leave")
		case "split":
			broken, err = splitCase(rec, trouble != "0", trouble != "burst")
		case "budget":
			broken, err = budgetCase(rec, trouble != "0", trouble != "burst")
		default:
			err = fmt.Errorf("unknown case %q", os.Args[1])
		}
		switch {
		case err != nil:
			rec.printf("the case couldn't run: %v", err)
			code <- exitNotRun
		case broken:
			code <- exitBroken
		default:
			code <- exitHeld
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case got := <-code:
		return got
	case <-stop:
	case <-time.After(longest):
		rec.printf("the case takes too long")
	}
	killAll()
	return exitNotRun
}
