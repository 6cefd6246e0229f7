package soak

import (
	"cmp"
	"slices"
	"time"
)

// Span is an interval in which an upstream was warming up or a failure domain was evacuated.
type Span struct {
	Name string        `json:"name"`
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// warmUps: an upstream that is warming up gets no more than the bound in any second, from all
// routers together. Faults of the routers are no exception.
func (c *checker) warmUps() {
	bound := c.b.WarmUp().Bound(warmUpLimit)
	for _, span := range c.h.WarmUps {
		var began []time.Duration
		for _, run := range c.h.Runs {
			if run.Upstream == span.Name && run.Began >= span.From && run.Began < span.To {
				began = append(began, run.Began)
			}
		}
		slices.SortFunc(began, cmp.Compare[time.Duration])
		first := 0
		for i, at := range began {
			for at-began[first] >= time.Second {
				first++
			}
			if n := i - first + 1; n > bound {
				c.report("warming upstreams get little", at, "%s got %d requests in a second while it warmed up, bound %d", span.Name, n, bound)
				break
			}
		}
	}
}

// evacuations: the upstreams of an evacuated failure domain get no new requests beyond the bound.
func (c *checker) evacuations() {
	bound := time.Duration(c.b.EvacuateMs * float64(time.Millisecond))
	for _, span := range c.h.Evacuations {
		for _, run := range c.h.Runs {
			endpoint, known := endpointOf(run.Upstream)
			if !known || domainOf(endpoint) != span.Name || run.Began <= span.From+bound || run.Began >= span.To {
				continue
			}
			req, sent := c.byID[run.Request]
			if sent && !c.affected(req.Router, run.Began-faultMargin, run.Began, storeScope) {
				c.report("evacuated domains get nothing", run.Began, "%s reached %s %v after its domain %s was evacuated", req.ID, run.Upstream, run.Began-span.From, span.Name)
			}
		}
	}
}
