package limits

import "time"

// ShedConfig tunes a Shedder.
type ShedConfig struct {
	// Lag is how far the router may be behind before it asks for no more of a team than
	// its share, and refuses a team without a share that holds it up. Above All it
	// refuses all streams.
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
	cfg        ShedConfig
	arrivals   arrivals
	allowances Allowances
}

// NewShedder returns a shedder that has been told nothing.
func NewShedder(cfg ShedConfig) *Shedder { return &Shedder{cfg: cfg} }

// Arrival is a request that has come.
type Arrival struct {
	Share ShareKey
	// Tokens is what it counts in its team's share.
	Tokens float64
	// Streaming is set for requests that engines answer.
	Streaming bool
	// Lag is how far the router is behind.
	Lag time.Duration
}

// Verdict is a decision on an arrival.
type Verdict struct {
	Shed Shed
	// After is when the caller may come back, Age how old the home's word is that
	// decided.
	After, Age time.Duration
}

// Arrived decides on a team's request.
func (s *Shedder) Arrived(now time.Duration, a Arrival) Verdict {
	heavy := s.arrivals.add(now, a.Share.Team)
	behind := a.Lag >= s.cfg.Lag
	bounded := s.allowances.Bounded(a.Share)
	switch {
	case behind && heavy && !bounded && a.Streaming, a.Streaming && a.Lag > s.cfg.All:
		return Verdict{Shed: Busy}
	}
	if ok, after, age := s.allowances.Take(now, a.Share, a.Tokens, behind); !ok {
		return Verdict{Shed: OverShare, After: after, Age: age}
	}
	return Verdict{}
}

// Told takes in what a home allows a team, in tokens a second; after, if above 0, is
// when it told the caller of a refused request to come back.
func (s *Shedder) Told(now time.Duration, key ShareKey, rate float64, after time.Duration) {
	s.allowances.Told(now, key, rate, after)
}
