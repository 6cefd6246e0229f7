package idempotency

import "time"

// Config holds the parameters of votes and claims.
type Config struct {
	// Retention is how long votes and records are kept. Callers must not repeat
	// a key for longer than this. A longer retention takes more memory: about 200
	// bytes per key.
	Retention time.Duration
	// MaxClockSkew is the largest difference between two clocks, including those
	// of callers.
	MaxClockSkew time.Duration
	// ClaimTTL is how long a claim may be used after it was won. It must be well
	// below Retention, so that the claim of a process that pauses before it sends
	// the request expires before the votes do.
	ClaimTTL time.Duration
	// Voters is the number of VMs that vote on a key.
	Voters int
}

// DefaultConfig returns the configuration for callers that repeat a key for up
// to ten minutes.
func DefaultConfig() Config {
	return Config{
		Retention:    20 * time.Minute,
		MaxClockSkew: 2 * time.Second,
		ClaimTTL:     5 * time.Minute,
		Voters:       7,
	}
}
