package fairness

import "time"

// Config tunes the accounts of one pool.
type Config struct {
	// PrechargeRatio is how much a running request is charged ahead, as a part of the
	// learned mean cost. Too low, and a team that is behind takes every freed
	// slot until its charges catch up, then overshoots; too high, and teams with
	// short requests are charged for work they don't bring.
	PrechargeRatio float64
	// ReportError is how far a router's account may leave the line its peers
	// extrapolate before it reports again, in mean costs per unit of share.
	// Lower narrows the fairness gap and costs control bytes.
	ReportError float64
	// MaxExtrapolation bounds how long a silent router's rate is assumed.
	MaxExtrapolation time.Duration
	// MaxLag is the most, in mean costs per unit of share, that a team may be
	// behind the best served waiting team. What lies beyond is forgiven, so that
	// the gap that grew in a partition is not repaid in one burst.
	MaxLag float64
}

// DefaultConfig returns the settings that `make bench` measured best for
// routers a few milliseconds apart.
func DefaultConfig() Config {
	return Config{PrechargeRatio: 0.5, ReportError: 0.5, MaxExtrapolation: 3 * time.Second, MaxLag: 100}
}
