package limits

import "time"

// ShedConfig tunes a Shedder.
type ShedConfig struct {
	// LagThreshold is how far the router may be behind before it asks for no more of a team than
	// its share, and for a part of what a team without a share asks that holds it up. Above
	// MaxStreamLag it refuses all streams.
	LagThreshold, MaxStreamLag time.Duration
}

// DefaultShedConfig fits a flood that a small VM can't keep up with.
func DefaultShedConfig() ShedConfig {
	return ShedConfig{LagThreshold: 25 * time.Millisecond, MaxStreamLag: 250 * time.Millisecond}
}

// ShedReason is what a router decides on a request before it asks a home.
type ShedReason uint8

const (
	// NotShed: a home decides.
	NotShed ShedReason = iota
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
// once keeps the rest served.
//
// It isn't safe for concurrent use.
type Shedder struct {
	cfg        ShedConfig
	arrivals   arrivals
	allowances Allowances
	// credit is what of a request of a heavy team may be asked for.
	credit float64
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
	Reason ShedReason
	// RetryAfter is when the caller may come back, AllowanceAge how old the home's word is that
	// decided.
	RetryAfter, AllowanceAge time.Duration
}

// Check decides on a team's request.
func (s *Shedder) Check(now time.Duration, a Arrival) Verdict {
	heavy := s.arrivals.add(now, a.Share.Team)
	behind := a.Lag >= s.cfg.LagThreshold
	bounded := s.allowances.Limited(a.Share)
	switch {
	case a.Streaming && a.Lag > s.cfg.MaxStreamLag:
		return Verdict{Reason: Busy}
	case behind && heavy && !bounded && a.Streaming && !s.pass(a.Lag):
		return Verdict{Reason: Busy}
	}
	if ok, after, age := s.allowances.Take(now, a.Share, a.Tokens, behind); !ok {
		return Verdict{Reason: OverShare, RetryAfter: after, AllowanceAge: age}
	}
	return Verdict{}
}

// pass reports whether a request of a heavy team is asked for though the router is behind.
// A part of them is, a quarter at first and less the later the router is: its lag settles
// where it keeps up with the rest. A team of which all were refused would get nothing for
// as long as anything holds the router up.
func (s *Shedder) pass(lag time.Duration) bool {
	part := float64(s.cfg.LagThreshold) / float64(2*lag)
	s.credit += part * part
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// UpdateRate takes in what a home allows a team, in tokens a second; after, if above 0, is
// when it told the caller of a refused request to come back.
func (s *Shedder) UpdateRate(now time.Duration, key ShareKey, rate float64, after time.Duration) {
	s.allowances.UpdateRate(now, key, rate, after)
}
