package limits

import "time"

// ShedConfig configures a Shedder.
type ShedConfig struct {
	// A router whose lag reaches LagThreshold is overloaded. It uses only overloadedFraction of
	// a team's allowance, which is no more than the team's share, and sheds part of the
	// streaming requests of a heavy team without an allowance. Above MaxStreamLag it sheds all
	// streaming requests.
	LagThreshold, MaxStreamLag time.Duration
}

// DefaultShedConfig returns a configuration for floods that a small VM can't keep up with.
func DefaultShedConfig() ShedConfig {
	return ShedConfig{LagThreshold: 25 * time.Millisecond, MaxStreamLag: 250 * time.Millisecond}
}

// ShedReason is why a router refuses a request without requesting admission from its home.
type ShedReason uint8

const (
	// NotShed means that the request isn't refused; its home decides on admission.
	NotShed ShedReason = iota
	// OverShare means that the team has used up this router's allowance.
	OverShare
	// Overloaded means that the router's lag reaches a limit of ShedConfig.
	Overloaded
)

// Shedder decides which requests a router refuses without requesting admission from a home.
//
// Callers of one team often share a few routers. When such a team floods, the CPUs of those
// routers saturate first: every request there waits, heartbeats are lost and the router's view
// becomes stale. Refusing the excess immediately keeps the other requests served.
//
// It isn't safe for concurrent use.
type Shedder struct {
	cfg        ShedConfig
	arrivals   arrivals
	allowances Allowances
	// credit accumulates the fraction of heavy teams' requests that may pass while the router
	// is overloaded. Each request that passes uses 1.
	credit float64
}

// NewShedder returns a shedder without allowances.
func NewShedder(cfg ShedConfig) *Shedder { return &Shedder{cfg: cfg} }

// Arrival is a request that a router has received.
type Arrival struct {
	Share ShareKey
	// Tokens is the number of tokens that the request counts against its team's share.
	Tokens float64
	// Streaming is set for requests on streaming routes.
	Streaming bool
	// Lag is how long work currently waits at the router before it is processed.
	Lag time.Duration
}

// Verdict is the decision on an arrival.
type Verdict struct {
	Reason ShedReason
	// RetryAfter is the delay after which the caller may retry. AllowanceAge is the age of the
	// home's rate that the decision is based on. Both are set for OverShare only.
	RetryAfter, AllowanceAge time.Duration
}

// Check counts a team's request and decides whether it is shed.
func (s *Shedder) Check(now time.Duration, a Arrival) Verdict {
	heavy := s.arrivals.add(now, a.Share.Team)
	overloaded := a.Lag >= s.cfg.LagThreshold
	limited := s.allowances.Limited(a.Share)
	switch {
	case a.Streaming && a.Lag > s.cfg.MaxStreamLag:
		return Verdict{Reason: Overloaded}
	case overloaded && heavy && !limited && a.Streaming && !s.allowHeavy(a.Lag):
		return Verdict{Reason: Overloaded}
	}
	if ok, retryAfter, age := s.allowances.Take(now, a.Share, a.Tokens, overloaded); !ok {
		return Verdict{Reason: OverShare, RetryAfter: retryAfter, AllowanceAge: age}
	}
	return Verdict{}
}

// allowHeavy reports whether an overloaded router requests admission for a request of a heavy
// team. It does so for a quarter of them at LagThreshold, and for fewer as the lag grows, so that
// the lag settles where the router keeps up with the rest. If it shed all of them, the team would be
// served nothing for as long as anything delays the router.
func (s *Shedder) allowHeavy(lag time.Duration) bool {
	fraction := float64(s.cfg.LagThreshold) / float64(2*lag)
	s.credit += fraction * fraction
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// UpdateRate records the rate that a home allows a team, in tokens per second. retryAfter is the
// Retry-After delay of a refused request, or 0.
func (s *Shedder) UpdateRate(now time.Duration, key ShareKey, rate float64, retryAfter time.Duration) {
	s.allowances.UpdateRate(now, key, rate, retryAfter)
}
