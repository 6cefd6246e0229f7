package gateway

import (
	"sync"
	"time"

	"github.com/aspenswitch/aspenswitch/durations"
)

// runTimes estimates how long the requests of each route run. It is safe for concurrent use.
type runTimes struct {
	mu     sync.Mutex
	routes map[string]*durations.Estimator
}

const (
	// maxTimedRoutes limits the routes of which run times are known, so that routes of former
	// configurations take no memory: 250 bytes each.
	maxTimedRoutes = 4096
	// expectedShare is the share of a route's requests that end within its expected run time.
	expectedShare = 0.95
)

// record records how long a request of a route ran.
func (t *runTimes) record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.routes[route]
	if e == nil {
		if len(t.routes) >= maxTimedRoutes {
			clear(t.routes)
		}
		e = &durations.Estimator{}
		t.routes[route] = e
	}
	e.Record(took)
}

// expected returns the time within which a request of a route is expected to end, false if none is known.
func (t *runTimes) expected(route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes[route]; e != nil {
		return e.Quantile(expectedShare)
	}
	return 0, false
}
