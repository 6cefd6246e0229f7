package feed_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs on one thread: timers of a synctest bubble that two threads fire
// concurrently corrupt the race detector's context for them (Go 1.26).
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
