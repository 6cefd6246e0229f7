package fleet_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs on one thread. The race detector keeps one context for the timers of
// a synctest bubble, and timers that two threads fire at once corrupt it (Go 1.26: the
// process dies of SIGSEGV on g0 in one of forty runs). Accesses are checked by what
// happens before what, so races are found on one thread too.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
