package dispatch

import (
	"math"
	"time"
)

// State is a snapshot of a core for operators.
type State struct {
	Upstreams int `json:"upstreams"`
	// Banned is the number of upstreams that temporarily get no requests.
	Banned int `json:"banned"`
	// Warming is the number of upstreams that get requests at a bounded rate while they
	// warm up.
	Warming int `json:"warming"`
	// Utilization is the fraction of time in which upstreams had a backlog, and Backlog
	// the predicted time to work it off. Both are means over the upstreams.
	Utilization float64       `json:"use"`
	Backlog     time.Duration `json:"unread"`
	// PrefillFactor is the ratio of the time of a prefill to its prediction from the
	// configuration, and FirstByteDelay the time to first byte in addition to it. Both are
	// means over the upstreams.
	PrefillFactor  float64       `json:"prefillFactor"`
	FirstByteDelay time.Duration `json:"firstByteDelay"`
	// Stated is what the upstreams state of their load, nil if none states its present speed.
	Stated *StatedLoad `json:"stated,omitempty"`
	// Waiting and Running are the numbers of requests over all upstreams.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Served is what all teams got within the window, Capacity what they can get, and
	// FairShare the usage up to which each team is served in full (the max-min fair
	// share), in tokens. A Capacity or FairShare of 0 means that there is no bound.
	Served    float64 `json:"served"`
	Capacity  float64 `json:"room"`
	FairShare float64 `json:"level"`
	// OverShareTargetFraction is the fraction of the target that requests of teams above
	// their share may wait.
	OverShareTargetFraction float64 `json:"overUse"`
	// Reservations is the number of callers for whom room is reserved and who haven't returned.
	Reservations int `json:"reservations"`
	// Counts are totals since the core was created.
	Counts Counts `json:"counts"`
}

// Counts are numbers of requests by decision.
type Counts struct {
	Submitted int `json:"asked"`
	Sent      int `json:"sent"`
	Refused   int `json:"refused"`
	// RefusedOverShare is the part of Refused that came from teams above their share.
	RefusedOverShare int `json:"refusedOver"`
	// Near and Far are the parts of Sent that stayed within the failure domain of their router
	// and left it. CopiedForDomain is the number of requests for which parts were copied, or
	// prefilled again, to stay within it.
	Near            int `json:"near"`
	Far             int `json:"far"`
	CopiedForDomain int `json:"copiedForDomain"`
	// HandedOver requests were left to another group, TakenOver ones came from another group.
	HandedOver int `json:"handedOver"`
	TakenOver  int `json:"takenOver"`
	// Reservations is the number of refusals for which room was reserved. It was kept if the
	// caller returned in time and its request was sent within sendTolerance, missed if the request
	// was refused again or sent later, unused if the caller did not return in time, and void if
	// engines were lost or slowed down before.
	Reservations       int `json:"reserved"`
	ReservationsKept   int `json:"reservedKept"`
	ReservationsMissed int `json:"reservedMissed"`
	ReservationsUnused int `json:"reservedUnused"`
	ReservationsVoid   int `json:"reservedVoid"`
}

// State returns the core's state.
func (c *Core) State(now time.Duration) State {
	s := State{Upstreams: len(c.upstreams), Served: c.shares.totalServed, OverShareTargetFraction: c.overShareFraction(now), Counts: c.counts}
	if c.reservations != nil {
		s.Reservations = len(c.reservations.byFingerprint)
	}
	s.FairShare, s.Capacity = finite(c.shares.fairShare), finite(c.shares.availableCapacity(now))
	for _, u := range c.upstreams {
		u.update(now)
		s.Utilization += u.utilization
		s.Backlog += u.backlog(now)
		s.PrefillFactor += u.learnt.factor
		s.FirstByteDelay += u.learnt.delay
		s.Waiting += len(u.queue)
		s.Running += u.running
		if now < u.bannedUntil {
			s.Banned++
		}
		if u.warming(now) {
			s.Warming++
		}
	}
	if n := len(c.upstreams); n > 0 {
		s.Utilization /= float64(n)
		s.Backlog /= time.Duration(n)
		s.PrefillFactor /= float64(n)
		s.FirstByteDelay /= time.Duration(n)
	}
	s.Stated = c.statedLoad(now)
	return s
}

// finite returns x, or 0 if it is infinite.
func finite(x float64) float64 {
	if math.IsInf(x, 1) {
		return 0
	}
	return x
}

// Since returns the counts since an earlier state.
func (c Counts) Since(earlier Counts) Counts {
	return Counts{
		Submitted: c.Submitted - earlier.Submitted, Sent: c.Sent - earlier.Sent,
		Refused: c.Refused - earlier.Refused, RefusedOverShare: c.RefusedOverShare - earlier.RefusedOverShare,
		Near: c.Near - earlier.Near, Far: c.Far - earlier.Far, CopiedForDomain: c.CopiedForDomain - earlier.CopiedForDomain,
		HandedOver: c.HandedOver - earlier.HandedOver, TakenOver: c.TakenOver - earlier.TakenOver,
		Reservations: c.Reservations - earlier.Reservations, ReservationsKept: c.ReservationsKept - earlier.ReservationsKept,
		ReservationsMissed: c.ReservationsMissed - earlier.ReservationsMissed, ReservationsUnused: c.ReservationsUnused - earlier.ReservationsUnused,
		ReservationsVoid: c.ReservationsVoid - earlier.ReservationsVoid,
	}
}

// Plus returns the sum of the counts.
func (c Counts) Plus(other Counts) Counts { return c.Since(Counts{}.Since(other)) }
