package gateway

import "time"

// Config tunes a Server.
type Config struct {
	Names Names
	// Linger is how long a stopping server goes on accepting, so that the
	// balancer and callers have moved before the listener closes.
	Linger time.Duration
	// Accept is how long a stopping server still sends requests to upstreams. An
	// answer that begins later might be cut when the grace ends, so the caller
	// is sent to another router instead.
	Accept time.Duration
	// Grace is how long running answers may go on after a stop.
	Grace time.Duration
	// Limits until a configuration is known.
	HeaderTimeout, IdleTimeout time.Duration
	MaxHeaderBytes             int
	// DefaultDeadline is for callers that don't say how long they wait.
	DefaultDeadline time.Duration
	// EndMargin is how long before a caller's deadline it is told that no answer
	// comes: the answer must still reach it.
	EndMargin time.Duration
}

// DefaultConfig returns the settings that a deployment changes.
func DefaultConfig() Config {
	return Config{
		Linger:          3500 * time.Millisecond,
		Accept:          2500 * time.Millisecond,
		Grace:           8 * time.Second,
		HeaderTimeout:   3 * time.Second,
		IdleTimeout:     15 * time.Second,
		MaxHeaderBytes:  16 << 10,
		DefaultDeadline: 15 * time.Second,
		EndMargin:       10 * time.Millisecond,
	}
}
