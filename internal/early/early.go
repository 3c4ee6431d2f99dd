// Package early takes the signals of a daemon before anything else of the program runs.
//
// Until a program asks for a signal, the signal ends it. Whoever starts a daemon may tell it to
// read its settings again, or to stop, at any moment from then on. Go initializes packages whose
// imports are initialized in the order of their paths, so that this one, which imports the
// standard library alone, comes before all others of the program that do some work.
package early

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are those that came and were not acted on yet.
type Signals struct {
	// Stop has requests to stop, Reload those to read the settings again. Several of the latter
	// are one.
	Stop   chan os.Signal
	Reload chan os.Signal
}

// stopMost is how many requests to stop are told apart: after the second one a program may end at
// once.
const stopMost = 2

var taken = Signals{Stop: make(chan os.Signal, stopMost), Reload: make(chan os.Signal, 1)}

func init() {
	signal.Notify(taken.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(taken.Reload, syscall.SIGHUP)
}

// Taken gives the program's signals.
func Taken() Signals { return taken }
