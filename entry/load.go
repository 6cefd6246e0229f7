package entry

import "time"

// Load has a router's totals since its start.
type Load struct {
	// Opened connections were accepted from callers; Rejected ones were refused before that.
	Opened, Rejected int64
	// Received requests were read; Busy ones were refused because the router was overloaded.
	Received, Busy int64
	// ProcessorTime is the processor time that the process has used.
	ProcessorTime time.Duration
}

// Figures are the differences of two Loads.
type Figures struct {
	Opened, Rejected, Received, Busy int64
	// Processor is the processor time that was used, in cores.
	Processor float64
	// Span is the time between both.
	Span time.Duration
}

func (l Load) since(earlier Load, span time.Duration) Figures {
	f := Figures{
		Opened: l.Opened - earlier.Opened, Rejected: l.Rejected - earlier.Rejected,
		Received: l.Received - earlier.Received, Busy: l.Busy - earlier.Busy, Span: span,
	}
	if span > 0 {
		f.Processor = (l.ProcessorTime - earlier.ProcessorTime).Seconds() / span.Seconds()
	}
	return f
}

const (
	// minRejectionRate is the rate of rejected callers, per second, below which a router isn't
	// overloaded. Leaving takes the load balancer two seconds and moves all callers of the router:
	// it must help hundreds of them.
	minRejectionRate = 100
	// A router isn't overloaded unless it rejects one of callersPerRejection callers. Most callers
	// retry once and reach the same router, so one of nine then fails.
	callersPerRejection = 3
)

// overloaded reports whether callers were rejected at a rate, and in a proportion, at which
// another router would serve them better. New connections and requests are compared separately:
// requests on open connections may be served while all new connections are refused.
func (f Figures) overloaded() bool {
	minimum := int64(minRejectionRate * f.Span.Seconds())
	exceeds := func(rejected, all int64) bool { return rejected > minimum && rejected*callersPerRejection >= all }
	return exceeds(f.Rejected, f.Opened+f.Rejected) || exceeds(f.Busy, f.Received)
}

// MaxDemand limits Demand: beyond it, what a router accepts is negligible.
const MaxDemand = 100

// Demand returns how many callers come for each one that is accepted, from 1 to MaxDemand.
func (f Figures) Demand() float64 {
	ratio := func(all, accepted int64) float64 {
		if all == 0 {
			return 1
		}
		return min(float64(all)/float64(max(accepted, 1)), MaxDemand)
	}
	return max(ratio(f.Opened+f.Rejected, f.Opened), ratio(f.Received, f.Received-f.Busy), 1)
}
