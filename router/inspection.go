package router

import (
	"sync/atomic"
	"time"
)

// inspection is a call of a function that reads the control state on the control goroutine. Either
// the control goroutine starts the read or the waiting goroutine cancels it: what the read writes is
// never written after the waiting goroutine has returned.
type inspection struct {
	read    func(*controller)
	done    chan struct{}
	claimed atomic.Bool
}

func newInspection(read func(*controller)) *inspection {
	return &inspection{read: read, done: make(chan struct{})}
}

func (i *inspection) apply(c *controller, _ time.Time) {
	if !i.claimed.CompareAndSwap(false, true) {
		return
	}
	defer close(i.done)
	i.read(c)
}

// wait returns once the read has returned, or, when stopped is closed, once it can't start any more.
func (i *inspection) wait(stopped <-chan struct{}) {
	select {
	case <-i.done:
	case <-stopped:
		if !i.claimed.CompareAndSwap(false, true) {
			<-i.done
		}
	}
}
