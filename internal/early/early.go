// Package early registers the signal handlers of a daemon before any other initialization.
//
// A signal that is not handled terminates the process, and a daemon may be sent a signal to reload
// its settings or to stop at any time after its start. Go initializes packages in the order of
// their import paths as soon as their own imports are initialized. This package imports only the
// standard library, so it is initialized before all packages of the program that do actual work.
package early

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals holds the received signals that have not been handled yet.
type Signals struct {
	// Stop receives SIGTERM and SIGINT, Reload receives SIGHUP. Pending reloads are merged into
	// one.
	Stop   chan os.Signal
	Reload chan os.Signal
}

// maxStops is the number of stop signals that are kept: on the second one a program may exit
// immediately.
const maxStops = 2

var signals = Signals{Stop: make(chan os.Signal, maxStops), Reload: make(chan os.Signal, 1)}

func init() {
	signal.Notify(signals.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals.Reload, syscall.SIGHUP)
}

// Registered returns the signals of the process.
func Registered() Signals { return signals }
