package soak

import (
	"fmt"
	"time"

	"github.com/aspenswitch/aspenswitch/platform"
	"github.com/aspenswitch/aspenswitch/warmup"
)

// warmUpLimit is how upstreams warm up in runs with warm-up faults.
var warmUpLimit = warmup.Limit{Duration: 3 * time.Second, PerSecond: 4}

const (
	// domains is the number of failure domains of the upstreams.
	domains = 2
	// crashFactor is the multiple of the bound above which a warming upstream crashes.
	crashFactor = 1.5
	// learnTime is how long routers may take to learn that an upstream under load has turned
	// cold. What they send until then can't be less than its load.
	learnTime = 500 * time.Millisecond
)

// domainOf is the failure domain of a place.
func domainOf(place int) string { return fmt.Sprint("d", place%domains) }

// turnCold makes an upstream warm up anew under the same start, unless it is ending, and publishes
// that. The bound holds after a while.
func (d *deployment) turnCold(p *place, after time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return nil
	}
	entry := p.entry
	entry.WarmUpLeft = warmUpLimit.Duration
	if err := d.op.register(entry); err != nil {
		return err
	}
	published := d.rec.Now()
	until := time.Now().Add(warmUpLimit.Duration)
	time.Sleep(after)
	bound := d.cfg.Bounds.WarmUp().Bound(warmUpLimit)
	p.runner.WarmUp(until, int(crashFactor*float64(bound)))
	d.rec.Add(func(h *History) {
		h.WarmUps = append(h.WarmUps, Span{Name: entry.ID, From: published + after, To: published + warmUpLimit.Duration})
	})
	return nil
}

// awaitWarm waits as long as a warm-up takes.
func awaitWarm() { time.Sleep(warmUpLimit.Duration) }

// coldReturn crashes an upstream; its next incarnation warms up.
func (d *deployment) coldReturn(p *place, rest time.Duration) error {
	if err := p.crash(rest); err != nil {
		return err
	}
	defer awaitWarm()
	return d.turnCold(p, 0)
}

// evacuate evacuates a failure domain for a while. Afterwards its upstreams are cold, and say
// so later, for every second variant.
func (d *deployment) evacuate(f Fault) error {
	domain := domainOf(f.Target)
	if !d.op.evacuate(domain) {
		return nil // it is being evacuated already
	}
	from := d.rec.Now()
	time.Sleep(f.ActiveFor)
	d.rec.Add(func(h *History) {
		h.Evacuations = append(h.Evacuations, Span{Name: domain, From: from, To: d.rec.Now()})
	})
	var errs []error
	for _, p := range d.places {
		if domainOf(p.number) == domain && f.Variant%2 == 0 {
			errs = append(errs, d.turnCold(p, 0))
		}
	}
	d.op.reopen(domain)
	awaitWarm()
	return firstOf(errs...)
}

// evacuate orders the evacuation of a failure domain. It reports false if that is ordered
// already.
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

// reopen withdraws the evacuation of a failure domain.
func (o *operator) reopen(domain string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.evacuated, domain)
	o.store.Delete(platform.EvacuationKey(domain))
}
