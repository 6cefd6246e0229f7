package fleet_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one thread. The race detector has one context for the timers of
// a synctest bubble, and timers that fire on two threads at once corrupt it (with Go 1.26,
// one of 40 runs crashes with SIGSEGV on g0). The detector compares happens-before
// relations, so it finds races on one thread as well.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
