package dispatch

import (
	"math"
	"time"
)

// State is what a core knows and has decided, for operators.
type State struct {
	Upstreams int `json:"upstreams"`
	// Banned upstreams get no work for a while.
	Banned int `json:"banned"`
	// Warming upstreams get requests at a bounded rate.
	Warming int `json:"warming"`
	// Utilization is the part of the time in which upstreams had unread work, Backlog the
	// work ahead; both are means over the upstreams.
	Utilization float64       `json:"use"`
	Backlog     time.Duration `json:"unread"`
	// Waiting and Running are requests of all upstreams.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Served is what teams got within the window, Capacity what they can get, FairShare
	// the share up to which each is served in full (0: no bound), in tokens.
	Served    float64 `json:"served"`
	Capacity  float64 `json:"room"`
	FairShare float64 `json:"level"`
	// OverShareTargetFraction is the part of the target that teams above their share may wait.
	OverShareTargetFraction float64 `json:"overUse"`
	// Counts since the core was made.
	Counts Counts `json:"counts"`
}

// Counts are decisions.
type Counts struct {
	Submitted int `json:"asked"`
	Sent      int `json:"sent"`
	Refused   int `json:"refused"`
	// RefusedOverShare is the part of Refused that concerned teams above their share.
	RefusedOverShare int `json:"refusedOver"`
}

// State returns the core's state.
func (c *Core) State(now time.Duration) State {
	s := State{Upstreams: len(c.upstreams), Served: c.teams.got, OverShareTargetFraction: c.overUse(now), Counts: c.counts}
	s.FairShare, s.Capacity = finite(c.teams.level), finite(c.teams.room(now))
	for _, u := range c.upstreams {
		u.touch(now)
		s.Utilization += u.use
		s.Backlog += u.remaining(now)
		s.Waiting += len(u.queue)
		s.Running += u.running
		if now < u.banned {
			s.Banned++
		}
		if u.warming(now) {
			s.Warming++
		}
	}
	if n := len(c.upstreams); n > 0 {
		s.Utilization /= float64(n)
		s.Backlog /= time.Duration(n)
	}
	return s
}

// finite is 0 for what has no bound.
func finite(x float64) float64 {
	if math.IsInf(x, 1) {
		return 0
	}
	return x
}

// Since is what was decided after an earlier state.
func (c Counts) Since(earlier Counts) Counts {
	return Counts{
		Submitted: c.Submitted - earlier.Submitted, Sent: c.Sent - earlier.Sent,
		Refused: c.Refused - earlier.Refused, RefusedOverShare: c.RefusedOverShare - earlier.RefusedOverShare,
	}
}
