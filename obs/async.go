package obs

import (
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter passes lines to a writer in a separate goroutine. A pipe whose reader has
// stalled would otherwise block the requests that log; here lines are dropped and
// counted instead.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	notify  chan struct{}
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// maxPendingBytes limits the memory for pending lines, about two hundred of them.
const maxPendingBytes = 64 << 10

// NewAsyncWriter returns a writer that passes lines to w until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: w, notify: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	if len(a.pending)+len(line) > maxPendingBytes {
		a.mu.Unlock()
		a.dropped.Add(1)
		return len(line), nil
	}
	a.pending = append(a.pending, line...)
	a.mu.Unlock()
	select {
	case a.notify <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

func (a *AsyncWriter) run() {
	defer close(a.done)
	var lines []byte
	for stopped := false; !stopped; {
		select {
		case <-a.notify:
		case <-a.stop:
			stopped = true
		}
		a.mu.Lock()
		lines, a.pending = a.pending, lines[:0]
		a.mu.Unlock()
		// An error is ignored: there is no other place to report it.
		_, _ = a.out.Write(lines)
	}
}

// Close writes the pending lines and stops. Lines written later are lost.
func (a *AsyncWriter) Close() error {
	close(a.stop)
	<-a.done
	return nil
}
