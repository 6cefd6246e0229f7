package soak

import (
	"fmt"
	"time"

	"github.com/aspenswitch/aspenswitch/platform"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// warmUpLimit is the warm-up of upstreams in runs with warm-up faults.
var warmUpLimit = warmup.Limit{Duration: 3 * time.Second, PerSecond: 4}

const (
	// domainCount is the number of failure domains of the upstreams.
	domainCount = 2
	// crashFactor is the multiple of the bound above which a warming upstream crashes.
	crashFactor = 1.5
	// detectionTime is how long routers may take to detect that an upstream under load has
	// turned cold. Until they detect it, they continue to send it its current load, so the
	// bound isn't enforced before.
	detectionTime = 500 * time.Millisecond
)

// domainOf returns the failure domain of an endpoint.
func domainOf(endpoint int) string { return fmt.Sprint("d", endpoint%domainCount) }

// startWarmUp publishes that an upstream warms up again without a restart, unless it is being
// replaced. The bound is enforced after enforceAfter.
func (d *deployment) startWarmUp(e *endpoint, enforceAfter time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replacing {
		return nil
	}
	entry := e.entry
	entry.WarmUpLeft = warmUpLimit.Duration
	if err := d.op.register(entry); err != nil {
		return err
	}
	published := d.rec.Now()
	until := time.Now().Add(warmUpLimit.Duration)
	time.Sleep(enforceAfter)
	bound := d.cfg.Bounds.WarmUp().Bound(warmUpLimit)
	e.runner.StartWarmUp(until, int(crashFactor*float64(bound)))
	d.rec.Add(func(h *History) {
		h.WarmUps = append(h.WarmUps, Span{Name: entry.ID, From: published + enforceAfter, To: published + warmUpLimit.Duration})
	})
	return nil
}

// awaitWarmUp waits for the duration of a warm-up.
func awaitWarmUp() { time.Sleep(warmUpLimit.Duration) }

// coldRestart crashes an upstream; its next incarnation warms up.
func (d *deployment) coldRestart(e *endpoint, delay time.Duration) error {
	if err := e.crash(delay); err != nil {
		return err
	}
	defer awaitWarmUp()
	return d.startWarmUp(e, 0)
}

// evacuate evacuates a failure domain for the duration of the fault. For even variants its
// upstreams start to warm up when the fault ends, and publish that only then, just before the
// evacuation is withdrawn.
func (d *deployment) evacuate(f Fault) error {
	domain := domainOf(f.Target)
	if !d.op.evacuate(domain) {
		return nil // already being evacuated
	}
	from := d.rec.Now()
	time.Sleep(f.ActiveFor)
	d.rec.Add(func(h *History) {
		h.Evacuations = append(h.Evacuations, Span{Name: domain, From: from, To: d.rec.Now()})
	})
	var errs []error
	for _, e := range d.endpoints {
		if domainOf(e.number) == domain && f.Variant%2 == 0 {
			errs = append(errs, d.startWarmUp(e, 0))
		}
	}
	d.op.withdrawEvacuation(domain)
	awaitWarmUp()
	return firstError(errs...)
}

// evacuate publishes the evacuation of a failure domain. It returns false if the domain is
// already being evacuated.
func (o *operator) evacuate(domain string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.evacuated[domain] {
		return false
	}
	o.evacuated[domain] = true
	o.store.Put(platform.EvacuationKey(domain), []byte("{}"))
	return true
}

// withdrawEvacuation withdraws the evacuation of a failure domain.
func (o *operator) withdrawEvacuation(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.evacuated, domain)
	o.store.Delete(platform.EvacuationKey(domain))
}
