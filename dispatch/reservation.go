package dispatch

import "time"

// reservation is room that is kept for a refused request until its caller returns.
type reservation struct {
	fingerprint Fingerprint
	team        teamNumber
	// at is when the caller should return, and deadlineAt its deadline.
	at, deadlineAt time.Duration
	// work is the predicted work in group time, and taken where it is in the calendar.
	work  time.Duration
	taken []slotWork
	// returned is set once the caller has returned.
	returned bool
	// void is set if the engines can no longer do the work at that time.
	void bool
}

const (
	// returnTolerance is how early or late a caller may return. It covers the round trips between
	// a caller, a router that isn't overloaded and the home.
	returnTolerance = 50 * time.Millisecond
	// sendTolerance is how long after its time a request with a reservation may be sent: some
	// prefills of the engine that it waits for, and less than half of a short target.
	sendTolerance = 250 * time.Millisecond
)

// due reports whether the time of the reservation has come.
func (r *reservation) due(now time.Duration) bool { return now >= r.at-returnTolerance }

// hasReservation reports whether the job has a reservation that isn't void.
func (j *job) hasReservation() bool { return j.reservation != nil && !j.reservation.void }

// hasVoidReservation reports whether the job's reservation could not be kept.
func (j *job) hasVoidReservation() bool { return j.reservation != nil && j.reservation.void }

// reservationDue reports whether the job goes before those without a reservation.
func (j *job) reservationDue(now time.Duration) bool {
	return j.hasReservation() && j.reservation.due(now)
}

// isLateFor reports whether the job, whose caller has returned for a reservation, has waited longer
// than sendTolerance.
func (j *job) isLateFor(x *reservation, now time.Duration) bool {
	return now > max(x.at, j.submittedAt)+sendTolerance
}

// missesDeadline reports whether the caller's deadline certainly passes before the first byte if the
// upstream starts on the job after wait.
func (j *job) missesDeadline(now, wait, delay time.Duration) bool {
	return now+wait+j.cost+delay > j.deadlineAt
}
