// Package startup takes charge of a process's signals before its other packages are initialized.
//
// The default action of SIGHUP, the signal to reload, is to end the process, and it may be sent at
// any time after the start. Loading the program, the Go runtime and the packages takes 30 ms of a
// core with the race detector, longer on a busy VM, and as long as the process is suspended.
// SIGHUP is therefore ignored as soon as the program is loaded, in builds with cgo, and received
// once this package is initialized. What changed before that is in the settings that are read
// afterwards. Packages are initialized in the order of their import paths, so this one, which has
// few dependencies, precedes the large libraries.
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
