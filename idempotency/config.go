package idempotency

import "time"

// Config tunes votes and claims.
type Config struct {
	// Retention is how long a vote stands. Callers must not repeat a key for
	// longer. Longer costs memory: about 200 bytes a key.
	Retention time.Duration
	// MaxClockSkew is the most that two clocks differ, callers' included.
	MaxClockSkew time.Duration
	// ClaimTTL is how long a claim may be used after it was won. It must be well
	// below Remember: a process that pauses between its claim and its request
	// finds the claim too old before the voters forget it.
	ClaimTTL time.Duration
	// Voters is how many VMs vote on a key.
	Voters int
}

// DefaultConfig returns settings for callers that repeat for ten minutes.
func DefaultConfig() Config {
	return Config{
		Retention:    20 * time.Minute,
		MaxClockSkew: 2 * time.Second,
		ClaimTTL:     5 * time.Minute,
		Voters:       7,
	}
}
