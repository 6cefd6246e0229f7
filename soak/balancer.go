package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// balancer keeps the routers in rotation that say that they are ready.
type balancer struct {
	routers []*router
	mu      sync.Mutex
	misses  []int
}

const (
	// probeEvery and probeMisses are how soon a router leaves the rotation.
	probeEvery  = 250 * time.Millisecond
	probeMisses = 2
)

func newBalancer(routers []*router) *balancer {
	return &balancer{routers: routers, misses: make([]int, len(routers))}
}

// run probes until end is closed.
func (b *balancer) run(end <-chan struct{}) {
	var probes sync.WaitGroup
	for i, r := range b.routers {
		probes.Go(func() {
			client := &http.Client{Timeout: probeEvery, Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				ready := r.isReady(client)
				b.mu.Lock()
				if ready {
					b.misses[i] = 0
				} else {
					b.misses[i]++
				}
				b.mu.Unlock()
				select {
				case <-end:
					return
				case <-time.After(probeEvery):
				}
			}
		})
	}
	probes.Wait()
}

// pick draws a router in rotation, or any if none is.
func (b *balancer) pick(rnd *rand.Rand) *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*router
	for i, r := range b.routers {
		if b.misses[i] < probeMisses {
			in = append(in, r)
		}
	}
	if len(in) == 0 {
		in = b.routers
	}
	return in[rnd.IntN(len(in))]
}
