package soak

import "time"

// retryAfter is the Retry-After delay that upstreams send during an UpstreamRest fault.
const retryAfter = 2 * time.Second

// leaveUnpublished plays a leave that only the notice in the upstream's answers announces. The
// platform lists the upstream as ready until its entry is removed, drainWork and extra later.
func (p *place) leaveUnpublished(extra time.Duration) error {
	if !p.begin() {
		return nil
	}
	p.mu.Lock()
	id, runner := p.entry.ID, p.runner
	p.mu.Unlock()
	runner.SetLeaving(true)
	time.Sleep(drainWork + extra)
	p.op.deregister(id)
	runner.Crash()
	return p.next(0)
}

// rejectWithRetryAfter makes an upstream, or for every third variant all upstreams of its
// service, answer 503 with Retry-After.
func (d *deployment) rejectWithRetryAfter(f Fault) {
	first, n := f.Target, 1
	if f.Variant%3 == 0 {
		first, n = f.Target/d.cfg.Upstreams*d.cfg.Upstreams, d.cfg.Upstreams
	}
	for _, p := range d.places[first : first+n] {
		p.mu.Lock()
		runner := p.runner
		p.mu.Unlock()
		runner.SetRest(retryAfter)
		defer runner.SetRest(0)
	}
	time.Sleep(f.ActiveFor)
}

// recordRejection records that the upstream id rejected a request with a Retry-After of rest.
func (p *place) recordRejection(id, request string, rest time.Duration) {
	p.rec.Add(func(h *History) {
		h.Rejections = append(h.Rejections, Rejection{Request: request, Upstream: id, At: p.rec.Now(), RetryAfter: rest})
	})
}
