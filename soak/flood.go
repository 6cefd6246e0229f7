package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// floodInterval is the time between two new connections of a flood. A router that leaves the load
	// balancer must be refusing well over a hundred a second.
	floodInterval = 2 * time.Millisecond
	// floodedRouterFiles makes a router refuse connections beyond a few hundred open ones, long before
	// the soak's own process runs out of descriptors.
	floodedRouterFiles = 512
	// weakProcessor is the processor share of the first router, which may leave the load balancer
	// beside the stronger ones of its failure domain.
	weakProcessor = 0.1
)

// floodConnections opens connections to a router that send no request and remain open until the router
// closes them or the flood ends. They don't go through the callers' link.
func (d *deployment) floodConnections(f Fault) {
	address := fmt.Sprintf("%s:%d", routerIP(d.cfg, f.Target), callersPort)
	done := make(chan struct{})
	var conns sync.WaitGroup
	ticker := time.NewTicker(floodInterval)
	defer ticker.Stop()
	end := time.After(f.ActiveFor)
	for flooding := true; flooding; {
		select {
		case <-end:
			flooding = false
		case <-ticker.C:
			conns.Go(func() { holdConnection(address, done) })
		}
	}
	close(done)
	conns.Wait()
}

// holdConnection opens a connection and holds it until the other side closes it or done is closed.
func holdConnection(address string, done <-chan struct{}) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return // the router is down, or its accept queue is full
	}
	closed := make(chan struct{})
	go func() {
		select {
		case <-done:
		case <-closed:
		}
		_ = c.Close()
	}()
	_, _ = io.Copy(io.Discard, c) // its end is all that matters
	close(closed)
}
