package dispatch

import (
	"math"
	"time"
)

// offeredLoad is the work of the first attempts of teams within their share, sent or refused, as
// a fraction of what the group can do.
type offeredLoad struct {
	// work is in group time.
	work  decayingSum
	since time.Duration
}

// offeredLoadWindow is the window of the offered load, as long as most callers wait until they
// return.
const offeredLoadWindow = 2 * time.Second

func (l *offeredLoad) add(now, work time.Duration) {
	if l.since == 0 {
		l.since = now
	}
	l.work.add(now, offeredLoadWindow, float64(work))
}

func (l *offeredLoad) fraction(now time.Duration) float64 {
	const minCoverage = 0.1
	coverage := 1 - math.Exp(-float64(now-l.since)/float64(offeredLoadWindow))
	return l.work.value(now, offeredLoadWindow) / float64(offeredLoadWindow) / max(coverage, minCoverage)
}

// recordOffered records the work of a request when it is submitted.
func (c *Core) recordOffered(now time.Duration, j *job, candidate choice) {
	if c.reserves() && j.sinceFirstAttempt == 0 && j.submittedAt == now && !j.overShare() {
		c.offeredLoad.add(now, c.groupTime(now, j, candidate))
	}
}

// minReservablePart and maxReservablePart bound the part of the engines' time that can be
// reserved. Reserved requests will be late, so first attempts, which can be in time, have half of
// the time in any case; callers that were refused have a tenth even while first attempts would
// fill it.
const (
	minReservablePart, maxReservablePart = 0.1, 0.5
	minSlotRoom                          = time.Duration(minReservablePart * float64(slotDuration))
	maxSlotRoom                          = time.Duration(maxReservablePart * float64(slotDuration))
)

// reservableRoom returns the room of a slot that can be reserved: what first attempts leave.
func (c *Core) reservableRoom(now time.Duration) time.Duration {
	left := time.Duration((1 - c.offeredLoad.fraction(now)) * float64(slotDuration))
	return min(max(left, minSlotRoom), maxSlotRoom)
}
