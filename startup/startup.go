// Package startup takes the signals of a process from its first moments on.
//
// The default of a signal to reload is to end the process. A VM with a fifth of a
// core initialises its packages for a tenth of a second before main begins, and the
// settings may change just then. Packages are initialised in the order of their
// paths, so that this one, which needs little, comes before the large libraries.
package startup

import (
	"os"
	"os/signal"
	"syscall"
)

// pending is how many signals wait until somebody takes them; further ones of the
// same kind tell nothing new.
const pending = 4

var signals = make(chan os.Signal, pending)

func init() {
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
}

// Signals are the requests to stop (SIGTERM, SIGINT) and to reload (SIGHUP) since
// the start of the process.
func Signals() <-chan os.Signal { return signals }
