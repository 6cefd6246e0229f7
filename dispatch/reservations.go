package dispatch

import "time"

// reservations are the reservations of a group.
type reservations struct {
	calendar calendar
	// byFingerprint holds those whose callers haven't returned.
	byFingerprint map[Fingerprint]*reservation
	// teams are the numbers of the teams that have had a reservation.
	teams map[string]teamNumber
	// priority is the highest priority of a reservation since there were none.
	priority int
	// listed is the number of reservations in the calendar, including those whose callers have
	// returned.
	listed int
	// unsent is the number of requests whose callers have returned for a reservation and that wait.
	unsent int
	// speed is the speed of the group for which the work in the calendar was computed.
	speed float64
}

// maxReservations bounds the memory, at about 250 bytes each. It is what 64 engines can prefill
// of short prompts within the horizon.
const maxReservations = 4096

func newReservations(now time.Duration, speed float64) *reservations {
	r := &reservations{byFingerprint: map[Fingerprint]*reservation{}, teams: map[string]teamNumber{}, speed: speed}
	r.calendar.first = slotAt(now)
	return r
}

// reserves reports whether the core keeps room for refused requests. Plain services don't: their
// requests can't be recognized when their callers return.
func (c *Core) reserves() bool { return c.cfg.Reservations && c.cfg.Engine }

// retryDelayDivisor is the inverse of the part of the time left to a caller that it waits at most
// before it returns.
const retryDelayDivisor = 3

// reserve keeps room for a refused request. It returns nil if there is none before the caller
// returns anyway, or if the request must not have any.
//
// Only teams within their share get reservations. What others get is spare capacity, which can't
// be promised, because a team within its share may need it at any time. A request that returned
// without a reservation gets none: callers usually return once.
func (c *Core) reserve(now time.Duration, j *job, f Fingerprint, candidate choice) *reservation {
	if j.HandedOver || j.sinceFirstAttempt > 0 && !j.hasVoidReservation() || c.reservations.full(f) {
		return nil
	}
	work := c.groupTime(now, j, candidate)
	if work <= 0 {
		return nil
	}
	if c.reservations == nil {
		c.reservations = newReservations(now, c.groupYield.speed)
	}
	r := c.reservations
	earliest := now + max(candidate.wait, minRetryAfter)
	latest := now + min((j.deadlineAt-now)/retryDelayDivisor, calendarHorizon)
	room := c.reservableRoom(now)
	team := r.team(j.Team)
	slot, ok := r.calendar.find(team, work, room, slotAt(earliest), slotAt(latest))
	if !ok {
		return nil
	}
	taken, _ := r.calendar.take(team, work, room, slot, nil)
	x := &reservation{
		fingerprint: f, team: team, at: min(max(slotStart(slot), earliest), latest), deadlineAt: j.deadlineAt,
		work: work, taken: taken,
	}
	r.add(x, slot, j.Priority)
	c.counts.Reservations++
	return x
}

// team returns the number of a team.
func (r *reservations) team(name string) teamNumber {
	n, found := r.teams[name]
	if !found {
		if r.listed == 0 {
			clear(r.teams)
		}
		n = teamNumber(len(r.teams))
		r.teams[name] = n
	}
	return n
}

// full reports whether there is no place for a reservation of a request: there are too many, or
// the request or one like it has one.
func (r *reservations) full(f Fingerprint) bool {
	return r != nil && (r.listed >= maxReservations || r.byFingerprint[f] != nil)
}

func (r *reservations) add(x *reservation, slot int64, priority int) {
	if r.listed == 0 || priority < r.priority {
		r.priority = priority
	}
	r.listed++
	r.calendar.add(x)
	s := r.calendar.slot(slot)
	s.reservations = append(s.reservations, x)
	r.byFingerprint[x.fingerprint] = x
}

// release frees the room of a reservation.
func (r *reservations) release(x *reservation) {
	if x.taken != nil {
		r.calendar.remove(x)
		x.taken = nil
	}
}

// claimReservation gives a returning request its reservation.
func (c *Core) claimReservation(now time.Duration, j *job) {
	if c.reservations == nil || j.sinceFirstAttempt == 0 {
		return
	}
	f, ok := FingerprintOf(&j.Request)
	if !ok {
		return
	}
	x := c.reservations.byFingerprint[f]
	if x == nil || (j.deadlineAt-x.deadlineAt).Abs() > deadlineTolerance {
		return
	}
	delete(c.reservations.byFingerprint, f)
	x.returned, j.reservation = true, x
	c.reservations.unsent++
	// New requests count the reserved work as ahead of them, whatever the team got meanwhile.
	j.shareStatus = withinShare
	if x.due(now) {
		// The job counts as queued or sent from now on.
		c.reservations.release(x)
	}
}

// endReservation frees the room of a job that is sent or refused.
func (c *Core) endReservation(now time.Duration, j *job, sent bool) {
	x := j.reservation
	if x == nil {
		return
	}
	c.reservations.unsent--
	c.reservations.release(x)
	switch {
	case x.void: // counted when it became void
	case sent && !j.isLateFor(x, now):
		c.counts.ReservationsKept++
	default:
		c.counts.ReservationsMissed++
	}
}

// cancelReservation frees the room of a job whose caller leaves before it is sent.
func (c *Core) cancelReservation(now time.Duration, j *job) {
	x := j.reservation
	if x == nil {
		return
	}
	c.reservations.unsent--
	c.reservations.release(x)
	switch {
	case x.void:
	case j.isLateFor(x, now):
		c.counts.ReservationsMissed++
	default:
		c.counts.ReservationsUnused++
	}
}

// advanceReservations frees the room of callers that haven't returned in time, and adapts the
// calendar to what the engines can do.
func (c *Core) advanceReservations(now time.Duration) {
	if c.reservations == nil {
		return
	}
	c.reservations.calendar.dropBefore(slotAt(now-returnTolerance), c.dropReservation)
	c.refitReservations(now)
}

func (c *Core) dropReservation(x *reservation) {
	c.reservations.listed--
	c.reservations.release(x)
	if x.returned {
		return
	}
	delete(c.reservations.byFingerprint, x.fingerprint)
	if !x.void {
		c.counts.ReservationsUnused++
	}
}

// reservedAhead returns by how much reserved work delays a job that would start after wait.
func (c *Core) reservedAhead(now time.Duration, j *job, wait time.Duration) time.Duration {
	if c.reservations == nil || j.hasReservation() || j.Priority < c.reservations.priority {
		return 0
	}
	delay := time.Duration(0)
	// The reserved work delays the start, and more of it is due until then.
	for range 3 {
		more := c.reservations.calendar.workUntil(now + wait + delay)
		if more <= delay {
			break
		}
		delay = more
	}
	return delay
}

// returnTime reserves room for a refused request and returns the time after which its caller
// should return. If there is no room until then, that is all the time that the caller has left.
// unreserved is the predicted time until a like request would be accepted.
func (c *Core) returnTime(now time.Duration, j *job, f Fingerprint, candidate choice, unreserved time.Duration, details *RefusalDetails) time.Duration {
	c.endReservation(now, j, false)
	switch {
	case candidate.u == nil || j.HandedOver:
		return unreserved
	case j.overShare():
		return c.spareReturnTime(now, j, candidate, unreserved)
	}
	if x := c.reserve(now, j, f, candidate); x != nil {
		details.Reserved = x.at - now
		return x.at - now
	}
	details.NoRoom = true
	return max(j.deadlineAt-now, minRetryAfter)
}
