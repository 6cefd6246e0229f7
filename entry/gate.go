package entry

import "time"

const (
	// LeaseTTL is how long a router stays out without a renewal, counted from its request.
	LeaseTTL = 3 * time.Second
	// renewInterval is the time between two renewals. Two of them may be lost.
	renewInterval = LeaseTTL / 3
	// startDelay is the time after its start for which a router doesn't leave: the load balancer
	// takes up to two probes, one a second, to assign callers to it, and its peers are contacted.
	startDelay = 3 * time.Second
	// refusedInterval is the time between a refusal and the next request. The load balancer probes
	// once a second, so a grant in between would rarely take effect sooner.
	refusedInterval = time.Second
	// The first requests of an overload are sent with each measurement. A hub that hasn't answered
	// within unansweredTime gets a request every refusedInterval.
	unansweredTime = time.Second
	// maxAnswerAge is the age of a request above which the grant for it isn't used. A flooded router may
	// read the answer hundreds of milliseconds late; half of the lease remains for the first renewal.
	maxAnswerAge = LeaseTTL / 2
)

const (
	// FirstSpan is how long a router is out at first. When it returns during a flood, its callers
	// come back to it for up to 2.4 s, until it has left again: detection, and two probes of the load
	// balancer. With FirstSpan they are served at least three quarters of the time.
	FirstSpan = 7 * time.Second
	// MaxSpan is how long it is out if the overload has always returned. Its callers are then
	// rejected for less than a tenth of the time.
	MaxSpan = 4 * FirstSpan
)

// ActionKind is what a Gate requires to be sent to the hub.
type ActionKind uint8

// Kinds of actions.
const (
	// DoNothing means that nothing is sent.
	DoNothing ActionKind = iota
	// Ask requests a lease, Renew extends it, End ends it.
	Ask
	Renew
	End
)

// Action is a message to the hub.
type Action struct {
	Kind ActionKind
	// Span is how long the router requests to be out, from now on.
	Span time.Duration
	// Demand is set with Ask; see Figures.Demand.
	Demand float64
	// Reason is why the lease ends.
	Reason Reason
}

// Gate decides when a router asks to leave the load balancer, and when it returns. It isn't safe
// for concurrent use.
type Gate struct {
	detector detector
	// servingSince is when the router became able to serve, valid if serving is set.
	serving      bool
	servingSince time.Duration
	// overloadedSince is when the current overload was detected, askAt when the next request is due.
	overloadedSince, askAt time.Duration
	wasOverloaded          bool

	out bool
	// The router is out from outSince until leaseEnd or spanEnd, whichever is earlier.
	outSince, leaseEnd, spanEnd, renewAt time.Duration
	// span is how long the router left the last time, returnedAt when it returned from it.
	span, returnedAt time.Duration
}

// NewGate returns the gate of a router that is starting.
func NewGate() *Gate { return &Gate{} }

// OutUntil returns the time until which the router is out of the load balancer, 0 if it isn't.
func (g *Gate) OutUntil() time.Duration {
	if !g.out {
		return 0
	}
	return min(g.leaseEnd, g.spanEnd)
}

// SpanEnd returns the time until which the router remains out if its lease is renewed, 0 if it isn't
// out.
func (g *Gate) SpanEnd() time.Duration {
	if !g.out {
		return 0
	}
	return g.spanEnd
}

// Overloaded reports whether the router turns callers away.
func (g *Gate) Overloaded() bool { return g.detector.overloaded }

// Figures returns the load of the last measurements.
func (g *Gate) Figures() Figures { return g.detector.figures() }

// Observe processes a measurement of the load. serving is false while the router is starting or
// stopping, or has no recent state.
func (g *Gate) Observe(now time.Duration, load Load, serving bool) Action {
	if serving && !g.serving {
		g.servingSince = now
	}
	g.serving = serving
	g.detector.observe(now, load)
	if g.out {
		return g.observeOut(now)
	}
	if !serving || now-g.servingSince < startDelay || !g.detector.overloaded {
		g.wasOverloaded = false
		return Action{}
	}
	if !g.wasOverloaded {
		g.wasOverloaded, g.overloadedSince, g.askAt = true, now, now
	}
	if now < g.askAt {
		return Action{}
	}
	g.askAt = now + sampleInterval
	if now-g.overloadedSince >= unansweredTime {
		g.askAt = now + refusedInterval
	}
	return Action{Kind: Ask, Span: g.nextSpan(now), Demand: g.detector.figures().Demand()}
}

func (g *Gate) observeOut(now time.Duration) Action {
	switch {
	case !g.serving:
		return g.comeBack(now, NotServing)
	case now >= g.spanEnd:
		return g.comeBack(now, SpanOver)
	case now >= g.leaseEnd:
		return g.comeBack(now, LeaseExpired)
	case now >= g.renewAt:
		g.renewAt = now + renewInterval
		return Action{Kind: Renew, Span: g.spanEnd - now}
	}
	return Action{}
}

func (g *Gate) comeBack(now time.Duration, reason Reason) Action {
	g.out, g.returnedAt, g.wasOverloaded = false, now, false
	return Action{Kind: End, Reason: reason}
}

// nextSpan returns how long to be out: twice as long as the last time if the overload has returned
// within that time, and half as long for each such time that has passed without one.
func (g *Gate) nextSpan(now time.Duration) time.Duration {
	if g.span == 0 {
		return FirstSpan
	}
	quiet := now - g.returnedAt
	if quiet < g.span {
		return min(2*g.span, MaxSpan)
	}
	span := g.span
	for quiet >= span && span > FirstSpan {
		quiet -= span
		span /= 2
	}
	return max(span, FirstSpan)
}

// Granted processes the grant of a lease that was requested or renewed at askedAt. span is how long
// the router may be out. The returned action is End if the router doesn't use the lease.
func (g *Gate) Granted(now, askedAt, span time.Duration) Action {
	if g.out {
		g.leaseEnd = max(g.leaseEnd, askedAt+LeaseTTL)
		return Action{}
	}
	if !g.serving || !g.detector.overloaded || now-askedAt > maxAnswerAge {
		return Action{Kind: End, Reason: NotOverloaded}
	}
	g.out, g.outSince, g.renewAt = true, now, now+renewInterval
	g.span = min(span, g.nextSpan(now))
	g.leaseEnd, g.spanEnd = askedAt+LeaseTTL, now+g.span
	return Action{}
}

// Refused processes the refusal of a lease that was requested or renewed at askedAt. A router whose
// lease isn't renewed returns at once.
func (g *Gate) Refused(now, askedAt time.Duration, reason Reason) Action {
	switch {
	case !g.out:
		g.askAt = now + refusedInterval
	case askedAt >= g.outSince:
		return g.comeBack(now, reason)
	}
	return Action{}
}
