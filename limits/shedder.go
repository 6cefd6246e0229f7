package limits

import "time"

// ShedConfig tunes a Shedder.
type ShedConfig struct {
	// Lag is how far the router may be behind before it refuses teams that were just
	// found above their share, without asking again: a refusal costs a third of what a
	// question does. Above All it refuses all streams.
	Lag, All time.Duration
}

// DefaultShedConfig answers a flood that a VM with 0.19 of a core can't keep up with.
func DefaultShedConfig() ShedConfig {
	return ShedConfig{Lag: 25 * time.Millisecond, All: 250 * time.Millisecond}
}

// Shed is what a router decides on a request before it asks a home.
type Shed uint8

const (
	// Ask: a home decides.
	Ask Shed = iota
	// OverShare: refused, as the team has had its share.
	OverShare
	// Busy: refused, as the router is behind with its work.
	Busy
)

// Shedder decides what a router can't or needn't ask a home for.
//
// Callers of one team often share a few routers. When such a team floods, its
// routers' processors are the first to give out; then every request there waits,
// heartbeats are lost, and the router's view grows stale. Refusing the flood at
// once keeps the rest served. Measured on a day of 86 VMs with a team at twelve
// times its usual: one router of 0.19 cores got 2,000 requests a second, could ask
// for a third of them, and what it served came 0.1 to 1 s late.
//
// It isn't safe for concurrent use.
type Shedder struct {
	cfg ShedConfig
	*Throttle
}

// NewShedder returns a shedder that knows nothing.
func NewShedder(cfg ShedConfig, t ThrottleConfig) *Shedder {
	return &Shedder{cfg: cfg, Throttle: NewThrottle(t)}
}

// Arrived decides on a team's request, at a router that is so far behind. after is when
// the caller may come back.
func (s *Shedder) Arrived(now time.Duration, team string, streaming bool, lag time.Duration) (shed Shed, after time.Duration) {
	ok, after := s.Throttle.Arrived(now, team)
	lately, _ := s.RefusedLately(now, team)
	behind := lag >= s.cfg.Lag
	switch {
	case !ok, behind && lately:
		return OverShare, after
	case behind && streaming && s.Heavy(now, team):
		return Busy, 0
	case streaming && lag > s.cfg.All:
		return Busy, 0
	}
	return Ask, 0
}
