package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// bodyDeadline keeps the read deadline of a request's body while it arrives.
type bodyDeadline struct {
	server  *Server
	request *request
	control *http.ResponseController
	pace    bodyPace
	// mu guards the fields below: the server may begin to stop at any time.
	mu       sync.Mutex
	received int64
	// ended is set once no more of the body is read. The server then reads on by itself to detect that the
	// caller leaves, and a deadline would end the request as if it did.
	ended bool
}

// watchStop sets the deadline again when the server begins to stop. The function that it returns must be
// called when no more is read, with whether the whole body has been.
func (d *bodyDeadline) watchStop() (end func(complete bool)) {
	unwatch := context.AfterFunc(d.server.stopping, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		_ = d.set() // fails if the connection is gone
	})
	return func(complete bool) {
		unwatch()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ended = true
		if complete {
			_ = d.control.SetReadDeadline(time.Time{}) // fails if the connection is gone
		}
	}
}

// progress sets the deadline for the bytes that follow those that have been received.
func (d *bodyDeadline) progress(received int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received = received
	return d.set()
}

func (d *bodyDeadline) set() error {
	if d.ended {
		return nil
	}
	at := d.pace.deadline(d.received)
	if left, limited := d.server.beginWithin(d.request); limited {
		if last := time.Now().Add(left); last.Before(at) {
			at = last
		}
	}
	return d.control.SetReadDeadline(at)
}
