package soak

import "time"

// retryAfter is the Retry-After delay that upstreams send during an UpstreamRetryAfter fault.
const retryAfter = 2 * time.Second

// leaveUnpublished performs a leave that is announced only by the notice in the upstream's
// responses. The platform lists the upstream as ready until its entry is removed after
// drainDuration plus extra.
func (e *endpoint) leaveUnpublished(extra time.Duration) error {
	if !e.beginReplacement() {
		return nil
	}
	e.mu.Lock()
	id, runner := e.entry.ID, e.runner
	e.mu.Unlock()
	runner.SetLeaving(true)
	time.Sleep(drainDuration + extra)
	e.op.deregister(id)
	runner.Crash()
	return e.startNext(0)
}

// rejectWithRetryAfter makes an upstream, or for every third variant all upstreams of its
// service, respond with 503 and Retry-After.
func (d *deployment) rejectWithRetryAfter(f Fault) {
	first, n := f.Target, 1
	if f.Variant%3 == 0 {
		first, n = f.Target/d.cfg.Upstreams*d.cfg.Upstreams, d.cfg.Upstreams
	}
	for _, e := range d.endpoints[first : first+n] {
		e.mu.Lock()
		runner := e.runner
		e.mu.Unlock()
		runner.SetRetryAfter(retryAfter)
		defer runner.SetRetryAfter(0)
	}
	time.Sleep(f.ActiveFor)
}

// recordRejection records that the upstream id rejected a request with a Retry-After delay of rest.
func (e *endpoint) recordRejection(id, request string, rest time.Duration) {
	e.rec.Add(func(h *History) {
		h.Rejections = append(h.Rejections, Rejection{Request: request, Upstream: id, At: e.rec.Now(), RetryAfter: rest})
	})
}
