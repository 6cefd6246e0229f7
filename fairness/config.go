package fairness

import "time"

// Config tunes the accounts of one pool.
type Config struct {
	// PrechargeRatio is the part of the learned mean cost that a running request
	// is charged in advance. If it is too low, a team that is behind takes every
	// freed slot until its charges catch up, then overshoots; if it is too high,
	// teams with short requests are charged for service they don't use.
	PrechargeRatio float64
	// ReportError is the error in a team's account, in mean costs per unit of
	// share, that peers may have from extrapolation before the router reports
	// again. Lower values narrow the fairness gap and cost control bytes.
	ReportError float64
	// MaxExtrapolation bounds how long the service of a silent router is
	// extrapolated.
	MaxExtrapolation time.Duration
	// MaxLag is the most, in mean costs per unit of share, that a team may be
	// behind the best served waiting team. Any lag beyond it is forgiven, so
	// that the gap that grew in a partition is not repaid in one burst.
	MaxLag float64
}

// DefaultConfig returns the settings for routers a few milliseconds apart. They
// gave the best results in `make bench`.
func DefaultConfig() Config {
	return Config{PrechargeRatio: 0.5, ReportError: 0.5, MaxExtrapolation: 3 * time.Second, MaxLag: 100}
}
