package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// balancer routes callers to the routers whose readiness probes succeed.
type balancer struct {
	routers  []*router
	mu       sync.Mutex
	failures []int
}

const (
	// A router leaves the rotation after maxProbeFailures failed probes, one per probeInterval.
	probeInterval    = 250 * time.Millisecond
	maxProbeFailures = 2
)

func newBalancer(routers []*router) *balancer {
	return &balancer{routers: routers, failures: make([]int, len(routers))}
}

// run probes the routers until done is closed.
func (b *balancer) run(done <-chan struct{}) {
	var probes sync.WaitGroup
	for i, r := range b.routers {
		probes.Go(func() {
			client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				ready := r.isReady(client)
				b.mu.Lock()
				if ready {
					b.failures[i] = 0
				} else {
					b.failures[i]++
				}
				b.mu.Unlock()
				select {
				case <-done:
					return
				case <-time.After(probeInterval):
				}
			}
		})
	}
	probes.Wait()
}

// pick returns a random router in rotation, or any router if none is.
func (b *balancer) pick(rnd *rand.Rand) *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	var inRotation []*router
	for i, r := range b.routers {
		if b.failures[i] < maxProbeFailures {
			inRotation = append(inRotation, r)
		}
	}
	if len(inRotation) == 0 {
		inRotation = b.routers
	}
	return inRotation[rnd.IntN(len(inRotation))]
}
