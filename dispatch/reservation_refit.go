package dispatch

import (
	"math"
	"time"
)

// minSpeedChange is the relative change of the group's speed from which on the calendar is
// adapted. The measured speed of engines varies by less without a cause.
const minSpeedChange = 0.1

// refitReservations computes the reserved work again if the group's speed has changed. If engines
// were lost or slowed down, reservations that no longer fit at their time become void, the latest
// of each slot first.
func (c *Core) refitReservations(now time.Duration) {
	c.updateYield(now)
	r, speed := c.reservations, c.groupYield.speed
	if math.Abs(speed-r.speed) < minSpeedChange*r.speed {
		return
	}
	ratio := math.Inf(1)
	if speed > 0 {
		ratio = r.speed / speed
	}
	r.speed = speed
	r.calendar.clearWork()
	for n := r.calendar.first; n < r.calendar.first+calendarSlots; n++ {
		for _, x := range r.calendar.slot(n).reservations {
			if x.taken == nil || r.refit(x, n, ratio) {
				continue
			}
			x.void, x.taken = true, nil
			c.counts.ReservationsVoid++
		}
	}
}

// refit takes room for a reservation again, with its work multiplied by ratio. It reports
// whether there is enough.
func (r *reservations) refit(x *reservation, slot int64, ratio float64) bool {
	work := math.Ceil(float64(x.work) * ratio)
	if work > float64(calendarHorizon) {
		return false
	}
	x.work = time.Duration(work)
	taken, ok := r.calendar.take(x.team, x.work, maxSlotRoom, slot, x.taken[:0])
	if ok {
		x.taken = taken
		r.calendar.add(x)
	}
	return ok
}
