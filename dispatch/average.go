package dispatch

import (
	"math"
	"time"
)

// average is a mean of observations whose weight decays with time. The decay brings an
// upstream that gets no requests because of a bad average back to the group's mean.
// Without it, an upstream with a few failures by chance stayed out of use: at a service
// with four upstreams a fifth of all answers were late while half of the slots were idle.
type average struct {
	sum, weight float64
	updatedAt   time.Duration
}

const (
	// averageWindow is the time constant of the decay. It is chosen for upstreams that
	// fail for some seconds.
	averageWindow = 3 * time.Second
	// averagePriorWeight is the number of observations at the prior value with which an
	// average starts, so that a few failures by chance change it little.
	averagePriorWeight = 20
)

func (a *average) add(now time.Duration, x float64) {
	a.decay(now)
	a.sum += x
	a.weight++
}

func (a *average) decay(now time.Duration) {
	if now <= a.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-a.updatedAt) / float64(averageWindow))
	a.sum *= factor
	a.weight *= factor
	a.updatedAt = now
}

// value returns the average, pulled towards prior if there are few recent observations.
func (a *average) value(now time.Duration, prior float64) float64 {
	a.decay(now)
	return (a.sum + averagePriorWeight*prior) / (a.weight + averagePriorWeight)
}

// averages are means over the upstreams of a group.
type averages struct {
	updatedAt time.Duration
	// meanFailureRate is the fraction of failed requests.
	meanFailureRate float64
	// serviceTime is the mean service time of a plain service in milliseconds, and usualServiceTime
	// that at the usual speed of the upstreams that state their present one.
	serviceTime, usualServiceTime float64
}

// averagesUpdateInterval is the time between updates of the group's averages, which change
// over averageWindow.
const averagesUpdateInterval = 50 * time.Millisecond

// currentAverages returns the group's averages.
func (c *Core) currentAverages(now time.Duration) *averages {
	if now-c.averages.updatedAt < averagesUpdateInterval && c.averages.updatedAt != 0 {
		return &c.averages
	}
	c.averages.updatedAt = now
	var failureRate, service, usualService average
	for _, u := range c.upstreams {
		failureRate.merge(now, &u.failureRate)
		service.merge(now, &u.serviceMs)
		if u.reported != nil {
			usualService.merge(now, &u.reported.usualServiceMs)
		}
	}
	c.averages.meanFailureRate = failureRate.mean(0)
	c.averages.serviceTime = service.mean(defaultServiceMs)
	c.averages.usualServiceTime = usualService.mean(c.averages.serviceTime)
	return &c.averages
}

func (a *average) merge(now time.Duration, b *average) {
	b.decay(now)
	a.sum += b.sum
	a.weight += b.weight
}

// mean returns the mean without a prior, or fallback if there is less than one
// observation.
func (a *average) mean(fallback float64) float64 {
	if a.weight < 1 {
		return fallback
	}
	return a.sum / a.weight
}
