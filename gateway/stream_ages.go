package gateway

import (
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/resumption"
)

// streamAges bounds the ages of the streams of each route. It is safe for concurrent use.
type streamAges struct {
	mu     sync.Mutex
	routes map[string]*resumption.AgeBound
}

// observe records the deadline that a caller stated with the first attempt of a stream, 0 if it stated
// none.
func (a *streamAges) observe(now time.Duration, route string, stated time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	bound := a.routes[route]
	if bound == nil {
		a.dropUnused(now)
		bound = &resumption.AgeBound{}
		a.routes[route] = bound
	}
	bound.Observe(now, stated)
}

// longest returns the age that a stream of a route can reach, resumption.UnknownAge if nothing bounds it.
func (a *streamAges) longest(now time.Duration, route string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if bound := a.routes[route]; bound != nil {
		return bound.Longest(now)
	}
	return resumption.UnknownAge
}

// dropUnused drops routes without recent streams, so that routes of former configurations take no memory.
func (a *streamAges) dropUnused(now time.Duration) {
	for route, bound := range a.routes {
		if bound.Longest(now) == resumption.UnknownAge {
			delete(a.routes, route)
		}
	}
}
