package dispatch

import (
	"math"
	"time"
)

// average is a mean of observations that lose their weight with time. An upstream
// that gets no work for its bad average so gets back to the usual one: without the
// decay one that was unlucky a few times stays out of use, and at a service with
// four upstreams a fifth of all answers came late while half of the slots were
// idle.
type average struct {
	sum, weight float64
	at          time.Duration
}

const (
	// averageSpan is the time in which an observation loses most of its weight. It
	// answers upstreams that turn bad for some seconds.
	averageSpan = 3 * time.Second
	// averagePrior is how many observations at the usual value an average begins
	// with, so that a few failures by chance move it little.
	averagePrior = 20
)

func (a *average) add(now time.Duration, x float64) {
	a.decay(now)
	a.sum += x
	a.weight++
}

func (a *average) decay(now time.Duration) {
	if now <= a.at {
		return
	}
	f := math.Exp(-float64(now-a.at) / float64(averageSpan))
	a.sum *= f
	a.weight *= f
	a.at = now
}

// value is the average, drawn to the usual value where little was observed lately.
func (a *average) value(now time.Duration, usual float64) float64 {
	a.decay(now)
	return (a.sum + averagePrior*usual) / (a.weight + averagePrior)
}

// usual are the averages over the upstreams of a group.
type usual struct {
	at time.Duration
	// failing is the part of the requests that fail.
	failing float64
	// serviceTime is how long a plain service takes, in milliseconds.
	serviceTime float64
}

// usualEvery is how often the group's averages are reckoned anew: they change over
// averageSpan.
const usualEvery = 50 * time.Millisecond

// usualOf returns the group's averages.
func (c *Core) usualOf(now time.Duration) *usual {
	if now-c.usual.at < usualEvery && c.usual.at != 0 {
		return &c.usual
	}
	c.usual.at = now
	var failed, took average
	for _, u := range c.upstreams {
		failed.merge(now, &u.failed)
		took.merge(now, &u.served)
	}
	c.usual.failing = failed.mean(0)
	c.usual.serviceTime = took.mean(plainTime)
	return &c.usual
}

func (a *average) merge(now time.Duration, b *average) {
	b.decay(now)
	a.sum += b.sum
	a.weight += b.weight
}

// mean is the plain average, or what is given if next to nothing was observed.
func (a *average) mean(without float64) float64 {
	if a.weight < 1 {
		return without
	}
	return a.sum / a.weight
}
