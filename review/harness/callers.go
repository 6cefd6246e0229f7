package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// Supervise kills a router's process while it exceeds its memory, and starts it again after a short delay,
// as the platform does.
func Supervise(r *Router, memoryMB int, record *Record, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if used := r.Memory(); used > memoryMB {
			record.Add("%s uses %d MB of %d and is killed", r.Name, used, memoryMB)
			r.Kill()
			time.Sleep(500 * time.Millisecond)
			record.Add("%s starts again: %v", r.Name, r.Start())
		}
	}
}

// Callers send requests, and count what becomes of them.
type Callers struct {
	Record *Record
	seq    atomic.Int64
	// Sound are the IDs of the upstreams that are sound all the while.
	Sound []string
	// Answered counts requests with an answer, Lost those that a sound upstream has run and whose
	// connection ended without one.
	Answered, Lost atomic.Int64
}

// NewID returns the ID of a request.
func (c *Callers) NewID() string { return fmt.Sprintf("%016x", c.seq.Add(1)) }

// RequestHead returns the header of a POST request.
func RequestHead(id string, route, deadlineMs, size int) string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nX-Aspenswitch-Request-Id: %s\r\nX-Aspenswitch-Deadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n",
		Prefix(route), Host, id, deadlineMs, Key, size)
}

// ReadAnswer reads a response to its end.
func ReadAnswer(reader *bufio.Reader) (*http.Response, error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// KeepConn sends small requests, one after the other, on a connection that it keeps, until stop is closed.
// It opens another one when the router closes it.
func (c *Callers) KeepConn(address string, route, deadlineMs int, pause time.Duration, stop chan struct{}) {
	for !stopped(stop) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && !stopped(stop); {
			open = c.exchange(conn, reader, route, deadlineMs)
			time.Sleep(pause)
		}
		_ = conn.Close()
	}
}

// exchange sends a request and reads its answer. It reports whether the connection is still open.
func (c *Callers) exchange(conn net.Conn, reader *bufio.Reader, route, deadlineMs int) bool {
	id := c.NewID()
	if _, err := io.WriteString(conn, RequestHead(id, route, deadlineMs, 0)); err != nil {
		return false
	}
	resp, err := ReadAnswer(reader)
	if err != nil {
		ran := slices.ContainsFunc(c.Sound, func(upstream string) bool { return c.Record.Contains("upstream " + upstream + " runs " + id) })
		c.Record.Add("the connection of %s ended without an answer (run by a sound upstream: %v): %v", id, ran, err)
		if ran {
			c.Lost.Add(1)
		}
		return false
	}
	c.Record.Add("answer to %s: %d", id, resp.StatusCode)
	c.Answered.Add(1)
	return !resp.Close
}

func stopped(stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
