// Package startup registers the handlers of a process's signals during package
// initialisation.
//
// The default action of SIGHUP, the signal to reload, is to end the process. On a VM
// with a fifth of a core, package initialisation takes a tenth of a second before main
// begins, and the settings may change during that time. Packages are initialised in the
// order of their import paths, so this one, which has few dependencies, is initialised
// before the large libraries.
package startup

import (
	"os"
	"os/signal"
	"syscall"
)

// signalBuffer is the number of signals that are buffered until they are received.
// Further signals of the same kind carry no new information.
const signalBuffer = 4

var signals = make(chan os.Signal, signalBuffer)

func init() {
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
}

// Signals returns the channel of the signals to stop (SIGTERM, SIGINT) and to reload
// (SIGHUP) that the process has received since its start.
func Signals() <-chan os.Signal { return signals }
