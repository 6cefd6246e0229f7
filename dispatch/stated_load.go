package dispatch

import "time"

// StatedLoad is what the upstreams of a group state of their load, for operators.
type StatedLoad struct {
	// Upstreams is the number of upstreams that state their present speed.
	Upstreams int `json:"upstreams"`
	// Slowdown is the mean of the slowdowns that they stated last, and Age the mean time since. Compared with
	// State.PrefillFactor it shows how far machines are from their usual speed.
	Slowdown float64       `json:"slowdown"`
	Age      time.Duration `json:"age"`
	// Slow is the number of upstreams that are expected to take at least half longer than usual.
	Slow int `json:"slow"`
	// OtherRequests is the number of requests at the upstreams that this core hasn't sent.
	OtherRequests int `json:"otherRequests"`
}

// slowThreshold is the slowdown from which an upstream counts as slow for operators.
const slowThreshold = 1.5

// statedLoad returns nil if no upstream states its present speed.
func (c *Core) statedLoad(now time.Duration) *StatedLoad {
	var s StatedLoad
	for _, u := range c.upstreams {
		if u.reported == nil {
			continue
		}
		s.Upstreams++
		s.Slowdown += u.reported.speed.newestReport().slowdown
		s.Age += u.reported.speed.age(now)
		s.OtherRequests += u.reported.others.count
		if u.slowdown >= slowThreshold {
			s.Slow++
		}
	}
	if s.Upstreams == 0 {
		return nil
	}
	s.Slowdown /= float64(s.Upstreams)
	s.Age /= time.Duration(s.Upstreams)
	return &s
}

// statedSlowdown returns the expected slowdown, 0 if the upstream doesn't state its present speed.
func (u *upstream) statedSlowdown() float64 {
	if u.reported == nil {
		return 0
	}
	return u.slowdown
}
